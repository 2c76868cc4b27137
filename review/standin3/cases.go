package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(s *site, trouble bool) error{
	"ends-at-takeover":  playEndsAtTakeover,
	"id-of-two-tenants": playIDOfTwoTenants,
	"cancel-far":        playCancelFar,
	"gang-far":          playGangFar,
	"late-start":        playLateStart,
}

// startDeployment starts entries and runners next to them, and waits until they serve.
func startDeployment(s *site, entries, runners int) error {
	return startSite(s, entries, runners, []string{"kartli-a", "kartli-b", "imereti-a"}, "kartli-a", 0)
}

// startSite starts entries in zones and runners in one zone, and waits until they serve.
func startSite(s *site, entries, runners int, zones []string, runnerZone string, oneWay time.Duration) error {
	for i := range runners {
		if err := s.addRunner(fmt.Sprintf("i-%d", i), runnerZone, fmt.Sprintf("r%d", i/8), oneWay); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.addEntry(fmt.Sprintf("front-%d", i), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if !s.awaitReady() {
		return errors.New("the entries are not ready")
	}
	return nil
}

// submit hands a job in, and reports an error unless it was accepted.
func submit(s *site, e *entry, key, id string, work time.Duration, steps ...map[string]any) error {
	s.mu.Lock()
	s.works[id] = work
	s.mu.Unlock()
	status, _ := s.call(e, http.MethodPost, key, id, map[string]any{"task_spec": "cut " + id, "steps": steps})
	if status != http.StatusOK {
		return fmt.Errorf("job %s was not accepted: %d", id, status)
	}
	return nil
}

// playEndsAtTakeover lets more than 500 runs of one runner end while no process leads.
func playEndsAtTakeover(s *site, trouble bool) error {
	const (
		id    = "5c0e7a21d94b36f8"
		tasks = 600
		work  = 6 * time.Second
	)
	if err := startDeployment(s, 3, 4); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	s.together[id] = time.Time{}
	s.mu.Unlock()
	if err := submit(s, s.entries[0], firstKey, id, work, map[string]any{"count": tasks, "cpu": 50, "mem_mb": 64, "est_runtime_ms": work.Milliseconds()}); err != nil {
		return err
	}
	if !s.await(work-500*time.Millisecond, func() bool { return s.running() == tasks }) {
		return fmt.Errorf("%d of %d tasks run", s.running(), tasks)
	}
	s.note("all %d tasks run", tasks)
	first := s.firstStart()
	time.Sleep(time.Until(first.Add(work - 150*time.Millisecond)))
	if trouble {
		leader := s.leader()
		if leader == nil {
			return errors.New("no process leads")
		}
		leader.kill()
		go func() {
			time.Sleep(3500 * time.Millisecond)
			_ = leader.start()
		}()
	}
	alive := s.entries[0]
	for _, e := range s.entries {
		if e.starts == 1 && !e.hasExited() {
			alive = e
		}
	}
	var state string
	s.await(25*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = s.state(alive, firstKey, id)
		return state == "completed" && s.running() == 0
	})
	time.Sleep(2 * time.Second)
	again := s.startsAfterDone()
	s.note("state of the job: %s; %d tasks were started after they had ended done", state, len(again))
	for _, line := range again {
		s.note("TWICE %s", line)
	}
	if len(again) > 0 {
		return fmt.Errorf("%w: TWICE: %d of %d tasks were started again after a run had ended done", errBroken, len(again), tasks)
	}
	if state != "completed" {
		return errors.New("the job has not completed")
	}
	return nil
}

// playIDOfTwoTenants lets a second tenant hand a job in under an ID that the first one has chosen for a job of its own.
func playIDOfTwoTenants(s *site, trouble bool) error {
	const (
		work     = 2 * time.Second
		firstID  = "0000000000000001"
		secondID = "0000000000000002"
	)
	if err := startDeployment(s, 3, 2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "gpu": 1, "est_runtime_ms": work.Milliseconds()}
	if err := submit(s, s.entries[0], firstKey, firstID, work, step); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	id := secondID
	if trouble {
		id = firstID
	}
	s.mu.Lock()
	s.works[id] = work
	s.mu.Unlock()
	status, _ := s.call(s.entries[1], http.MethodPost, secondKey, id, map[string]any{"task_spec": "cut for the second tenant", "steps": []any{step}})
	if status < 200 || status > 299 {
		return nil // the second tenant knows that its job was not accepted
	}
	time.Sleep(5 * time.Second) // later than visible_ms
	lost := 0
	for _, e := range s.entries {
		if state := s.state(e, secondKey, id); state == "410" {
			lost++
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: the job of the second tenant was accepted, %d of %d processes say that there is no such job, and its task ran %d times",
			errBroken, lost, len(s.entries), s.startsWith("cut for the second tenant"))
	}
	return nil
}

// playCancelFar cancels one of four jobs, which has many small tasks on a runner in the other region.
func playCancelFar(s *site, trouble bool) error {
	const (
		id       = "5c0e7a21d94b36fa"
		tasks    = 600
		work     = 80 * time.Second
		cancelMS = 3000
		others   = 3 // jobs of one task that are not cancelled, so that a share of 0.25 is
	)
	oneWay := 900 * time.Microsecond // between zones
	if trouble {
		oneWay = 20 * time.Millisecond // between regions
	}
	if err := startSite(s, 3, 4, []string{"kartli-a", "kartli-b"}, "imereti-a", oneWay); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	small := map[string]any{"count": 1, "cpu": 50, "mem_mb": 64, "est_runtime_ms": work.Milliseconds()}
	for n := range others {
		if err := submit(s, s.entries[n%len(s.entries)], secondKey, fmt.Sprintf("5c0e7a21d94b37%02x", n), work, small); err != nil {
			return err
		}
	}
	if err := submit(s, s.entries[0], firstKey, id, work, map[string]any{"count": tasks, "cpu": 50, "mem_mb": 64, "est_runtime_ms": work.Milliseconds()}); err != nil {
		return err
	}
	if !s.await(40*time.Second, func() bool { return s.running() == tasks+others }) {
		return fmt.Errorf("%d of %d tasks run", s.running(), tasks+others)
	}
	s.note("all %d tasks run", tasks)
	time.Sleep(6 * time.Second) // longer than contact_ms
	if status, _ := s.call(s.entries[1], http.MethodDelete, firstKey, id, nil); status != http.StatusOK {
		return fmt.Errorf("the cancellation was answered %d", status)
	}
	acked := time.Now()
	if !s.await(30*time.Second, func() bool { return s.running() <= others }) {
		s.note("%d tasks still run", s.running())
	}
	bound := acked.Add((cancelMS + stopMS) * time.Millisecond)
	last, late := s.lastEnd(id, bound)
	s.note("the last task ends %.3f s after the cancellation, %d of %d after cancel_ms + stop_ms", last.Sub(acked).Seconds(), late, tasks)
	if late > 0 {
		return fmt.Errorf("%w: UNASKED: %d of %d tasks ran on later than %d ms after the cancellation, the last for %.1f s", errBroken, late, tasks,
			cancelMS+stopMS, last.Sub(acked).Seconds())
	}
	return nil
}

// playGangFar hands in a gang of many small tasks that fits on a runner in the other region.
func playGangFar(s *site, trouble bool) error {
	const (
		id    = "5c0e7a21d94b36fb"
		tasks = 400
		work  = 3 * time.Second
	)
	oneWay := 900 * time.Microsecond // between zones
	if trouble {
		oneWay = 20 * time.Millisecond // between regions
	}
	if err := startSite(s, 3, 4, []string{"kartli-a", "kartli-b"}, "imereti-a", oneWay); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms
	s.mu.Lock()
	s.gangs[id] = tasks
	s.mu.Unlock()
	step := map[string]any{"count": tasks, "cpu": 50, "mem_mb": 64, "est_runtime_ms": work.Milliseconds(), "gang": true}
	if err := submit(s, s.entries[0], firstKey, id, work, step); err != nil {
		return err
	}
	state := ""
	s.await(80*time.Second, func() bool {
		time.Sleep(time.Second)
		state = s.state(s.entries[1], firstKey, id)
		return state == "completed" || state == "failed"
	})
	alone := s.endsOf(id, "alone")
	s.note("state of the job: %s; %d runs have ended alone, %d broken, %d done", state, alone, s.endsOf(id, "broken"), s.endsOf(id, "done"))
	if alone > 0 {
		return fmt.Errorf("%w: GANG: %d runs have ended alone; 80 s after its acceptance the job is shown as %s", errBroken, alone, state)
	}
	if state != "completed" {
		return errors.New("the job has not completed")
	}
	return nil
}

// playLateStart lets a start without an answer arrive at the next process of its runner, before any call of the leader does.
func playLateStart(s *site, trouble bool) error {
	const (
		id     = "5c0e7a21d94b36fc"
		other  = "5c0e7a21d94b36fd"
		others = 40
		work   = 12 * time.Second
	)
	if err := startDeployment(s, 3, 8); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.mu.Lock()
		s.lateTask = id + ".0.0.0"
		s.mu.Unlock()
	}
	small := map[string]any{"count": others, "cpu": 1000, "mem_mb": 1024, "gpu": 1, "est_runtime_ms": 1000}
	if err := submit(s, s.entries[1], firstKey, other, time.Second, small); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1024, "gpu": 1, "est_runtime_ms": work.Milliseconds()}
	if err := submit(s, s.entries[0], firstKey, id, work, step); err != nil {
		return err
	}
	if trouble {
		if !s.await(5*time.Second, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.late != nil }) {
			return errors.New("the task was not started")
		}
		late := s.late
		if !s.await(5*time.Second, func() bool { return s.runnerOf(id+".0.0.0") != nil }) {
			return errors.New("the task was not started elsewhere")
		}
		time.Sleep(time.Second)
		late.runner.crash()
		time.Sleep(time.Until(late.sentAt.Add(4300 * time.Millisecond)))
		if err := late.runner.start(); err != nil {
			return err
		}
		time.Sleep(2 * time.Millisecond)
		s.note("%d starts so far, one of them without an answer %.1f s ago", s.orders, time.Since(late.sentAt).Seconds())
		late.runner.carryOutLate(late.order)
	}
	state := ""
	s.await(30*time.Second, func() bool {
		time.Sleep(time.Second)
		state = s.state(s.entries[1], firstKey, id)
		return state == "completed"
	})
	overlap := s.overlap(id + ".0.0.0")
	s.note("state of the job: %s; two runs have worked at the same time for %.3f s", state, overlap.Seconds())
	if overlap > 0 {
		return fmt.Errorf("%w: TWICE: two runs of one task have worked at the same time for %.2f s", errBroken, overlap.Seconds())
	}
	if state != "completed" {
		return errors.New("the job is shown as " + state)
	}
	return nil
}

// firstStart returns when the first run has started.
func (s *site) firstStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, runs := range s.seen {
		for _, x := range runs {
			if first.IsZero() || x.run.startedAt.Before(first) {
				first = x.run.startedAt
			}
		}
	}
	return first
}

// hasExited reports whether the process has ended.
func (e *entry) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}
