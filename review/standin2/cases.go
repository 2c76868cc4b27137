package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	kindA = "zimo35f"
	kindB = "kuda21b"
)

// Results of a case, which are the exit codes of its script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseOf returns the kinds of the runners and the function of a case.
var cases = map[string]struct {
	kinds []string
	play  func(s *site, trouble bool) int
}{
	"crashes":  {kinds: repeatKind(kindA, 8), play: playCrashes}, // not a case, see REPORT-2.md
	"takeover": {kinds: repeatKind(kindA, 8), play: playTakeover},
	"entry":    {kinds: repeatKind(kindA, 8), play: playEntry},
	"lasting":  {kinds: repeatKind(kindA, 8), play: playLasting},
	"late":     {kinds: repeatKind(kindA, 8), play: playLate},
	"kind":     {kinds: append(repeatKind(kindA, 4), repeatKind(kindB, 4)...), play: playKind},
}

func repeatKind(kind string, n int) []string { return slices.Repeat([]string{kind}, n) }

// playCrashes hands in a job of one task. Three times, the runner of the task crashes and starts again. The job may not be shown as
// failed, because none of its runs has ended so.
func playCrashes(s *site, trouble bool) int {
	const (
		work     = 24 * time.Second
		workTime = 3000 * time.Millisecond // time of work before each crash
		downTime = time.Second
		crashes  = 3
		timeout  = 90 * time.Second
	)
	id := newJobID()
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1, "est_runtime_ms": work.Milliseconds()}
	if !s.submit(id, []map[string]any{step}, fmt.Sprint(work.Milliseconds())) {
		return couldNot
	}
	crashed := 0
	last := ""
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for r, u := range s.fleet.running(s.runners, id) {
			if trouble && crashed < crashes && time.Since(u.startedAt) >= workTime {
				crashed++
				r.crash()
				go restart(s, r, downTime)
			}
		}
		state := s.state(id)
		if state != last {
			s.record.printf("client: the job is %q", state)
			last = state
		}
		switch state {
		case "failed":
			return judgeFailed(s, id)
		case "completed":
			return held
		}
	}
	s.record.printf("the job is %q after %v", last, timeout)
	return couldNot
}

// judgeFailed returns broken unless runs of the job's task have ended failed as often as the queue allows.
func judgeFailed(s *site, id string) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, e := range s.fleet.ends {
		if strings.HasPrefix(e.task, id) && e.how == "failed" {
			n++
		}
	}
	s.record.printf("verdict: the job is shown as failed after %d ends failed; max_attempts is %d", n, maxAttempts)
	if n < maxAttempts {
		return broken
	}
	return held
}

// restart starts the process of a runner again after a time.
func restart(s *site, r *runner, after time.Duration) {
	time.Sleep(after)
	if err := r.boot(); err != nil {
		s.record.printf("runner %s can't start: %v", r.id, err)
	}
}

// playKind keeps the runners of one kind busy with jobs that are bound to this kind. One after the other, these runners crash and
// start again as another kind, under the same id, and later again as before. No task may start on a runner of another kind.
func playKind(s *site, trouble bool) int {
	const (
		jobs     = 60
		work     = 1500 * time.Millisecond
		downTime = 500 * time.Millisecond
		stay     = 4 * time.Second // time for which a runner is of the other kind
		timeout  = 80 * time.Second
	)
	step := map[string]any{"count": 1, "cpu": 30000, "mem_mb": 100000, "gpu": 8, "est_runtime_ms": work.Milliseconds(), "constraints": kindA}
	var ids []string
	for range jobs {
		id := newJobID()
		if !s.submit(id, []map[string]any{step}, fmt.Sprint(work.Milliseconds())) {
			return couldNot
		}
		ids = append(ids, id)
	}
	if trouble {
		go func() {
			for _, r := range slices.Concat(s.runners[:4], s.runners[:4]) {
				s.restartAs(r, kindB, downTime)
				time.Sleep(stay)
				s.restartAs(r, kindA, downTime)
				time.Sleep(time.Second)
			}
		}()
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open := 0
		for _, id := range ids {
			if state := s.state(id); state != "completed" {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	return judgeKind(s)
}

// restartAs lets the process of a runner crash and start again as another kind.
func (s *site) restartAs(r *runner, kind string, downTime time.Duration) {
	r.crash()
	time.Sleep(downTime)
	s.fleet.mu.Lock()
	r.kind = kind
	s.fleet.mu.Unlock()
	if err := r.boot(); err != nil {
		s.record.printf("runner %s can't start: %v", r.id, err)
	}
}

// judgeKind returns broken if a task has started on a runner without the label that its step demands.
func judgeKind(s *site) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	n := 0
	for _, st := range s.fleet.starts {
		if !slices.Contains(st.labels, kindA) {
			n++
			s.record.printf("verdict: %s run %d started on %s, whose labels are %v, without %s", st.task, st.run, st.runner.id, st.labels, kindA)
		}
	}
	s.record.printf("verdict: %d of %d starts on a runner without the label", n, len(s.fleet.starts))
	if n > 0 {
		return broken
	}
	return held
}

// playTakeover kills the leader while the only job is in its first step. 0.3 s before that, an idle runner is lost for good. The second
// step has to start although that runner does not answer the new leader.
func playTakeover(s *site, trouble bool) int {
	return s.watchSecondStep(trouble, func() { s.runners[len(s.runners)-1].crash() })
}

// playEntry is a variant of playTakeover. No runner is lost, but the store has an entry of another writer, whose service no configuration
// names and behind which nothing listens. ENTRY=0 leaves out the entry.
func playEntry(s *site, trouble bool) int {
	if os.Getenv("ENTRY") != "0" {
		s.putForeignEntry(s.addr(150, 8080))
	}
	return s.watchSecondStep(trouble, func() {})
}

// watchSecondStep hands in a job of two steps of one task each, and kills the leader before the first one ends. It returns broken if the
// job has nothing running for idleLimit after the first step, and that is so at the time at which jobs are asked for.
func (s *site) watchSecondStep(trouble bool, beforeKill func()) int {
	const (
		firstWork  = 9 * time.Second
		secondWork = 2 * time.Second
		killAfter  = 8 * time.Second
		crashLead  = 300 * time.Millisecond
		downTime   = 500 * time.Millisecond
		finish     = 14 * time.Second // finish_s
		idleLimit  = 3 * time.Second
		settleTime = 2 * time.Second
		timeout    = 60 * time.Second
	)
	time.Sleep(settleTime)
	id := newJobID()
	step := func(work time.Duration, after ...int) map[string]any {
		return map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1, "est_runtime_ms": work.Milliseconds(), "after": after}
	}
	if !s.submit(id, []map[string]any{step(firstWork), step(secondWork, 0)}, fmt.Sprint(firstWork.Milliseconds())) {
		return couldNot
	}
	trafficEnd := time.Now()
	if trouble {
		go func() {
			time.Sleep(killAfter - crashLead)
			beforeKill()
			time.Sleep(crashLead)
			if h := s.leader(); h != nil {
				h.killFor(downTime)
			}
		}()
	}
	var idleSince time.Time
	for time.Since(trafficEnd) < timeout {
		time.Sleep(50 * time.Millisecond)
		if s.state(id) == "completed" {
			return held
		}
		if len(s.fleet.running(s.runners, id)) > 0 || !s.fleet.hasEnded(id+".0.0.0") {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(trafficEnd) >= finish+idleLimit && time.Since(idleSince) >= idleLimit {
			s.record.printf("verdict: %v after the end of the traffic, the job has had nothing running for %v, with all runners that are up free",
				time.Since(trafficEnd).Round(time.Millisecond), time.Since(idleSince).Round(time.Millisecond))
			return broken
		}
	}
	return couldNot
}

// putForeignEntry writes an entry of another writer, which names a service that is not in the configuration.
func (s *site) putForeignEntry(addr string) {
	data, _ := json.Marshal(map[string]any{
		"service": "kepo77c", "address": addr, "zone": zoneNames[0], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": 32000, "mem_mb": 131072, "gpu": 8}, "labels": []string{kindA, "r1-1"}, "clock_ms": 1000, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	s.store.put("keyed.servers", "i-0badc0de", data)
	s.record.printf("store: another writer's entry i-0badc0de of the unknown service kepo77c at %s", addr)
}

// hasEnded reports whether a run of a task has ended done.
func (f *fleet) hasEnded(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.ends, func(e end) bool { return e.task == task && e.how == "done" })
}

// playLasting hands in a job with one task that lasts. The runner of the task is lost for good soon after the start. From 6 s after
// that on, the task may not be without a run for 3 s.
func playLasting(s *site, trouble bool) int {
	const (
		workTime  = 800 * time.Millisecond // time between the start and the crash
		grace     = 6 * time.Second        // time after the last run of a task that lasts
		idleLimit = 3 * time.Second
		watchTime = 25 * time.Second
	)
	id := newJobID()
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1, "est_runtime_ms": 1000, "long_running": true}
	if !s.submit(id, []map[string]any{step}, lastsSpec) {
		return couldNot
	}
	var lostAt, idleSince time.Time
	result := held
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		active := s.fleet.running(s.runners, id)
		for r, u := range active {
			if trouble && lostAt.IsZero() && time.Since(u.startedAt) >= workTime {
				r.crash()
				lostAt = time.Now()
			}
		}
		if len(active) > 0 || lostAt.IsZero() || time.Since(lostAt) < grace {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if result == held && time.Since(idleSince) >= idleLimit {
			s.record.printf("verdict: the task has no run %v after its last one, and had none in the %v before, beside 7 free runners",
				time.Since(lostAt).Round(time.Millisecond), idleLimit)
			result = broken
		}
	}
	if trouble && lostAt.IsZero() {
		return couldNot
	}
	return result
}

// playLate can be limited to one of its disruptions by ONLY=late or ONLY=crash. It holds back one start request of many for some seconds. Meanwhile its runner restarts under its id, so that it has forgotten
// the stop that the leader has sent. No task may run twice at the same time.
func playLate(s *site, trouble bool) int {
	const (
		others     = 24 // jobs beside the one whose start is late
		otherPause = 150 * time.Millisecond
		otherWork  = 2500 * time.Millisecond
		work       = 14 * time.Second
		delay      = 6 * time.Second
		crashAfter = 3 * time.Second // after the start request was held back
		downTime   = time.Second
		watchTime  = 30 * time.Second
	)
	need := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 8000, "gpu": 1}
	steps := func(work time.Duration) []map[string]any {
		step := maps.Clone(need)
		step["est_runtime_ms"] = work.Milliseconds()
		return []map[string]any{step}
	}
	for range others {
		if !s.submit(newJobID(), steps(otherWork), fmt.Sprint(otherWork.Milliseconds())) {
			return couldNot
		}
		time.Sleep(otherPause)
	}
	id := newJobID()
	if trouble && os.Getenv("ONLY") != "crash" {
		s.fleet.mu.Lock()
		l := &lateStart{taskPrefix: id, delay: delay}
		for _, r := range s.runners {
			r.late = l
		}
		s.fleet.mu.Unlock()
	}
	if !s.submit(id, steps(work), fmt.Sprint(work.Milliseconds())) {
		return couldNot
	}
	return s.watchLate(id, trouble, crashAfter, downTime, watchTime)
}

// watchLate restarts the runner whose start request is held back, and returns broken if two runs of the job's task are at work at once.
func (s *site) watchLate(id string, trouble bool, crashAfter, downTime, watchTime time.Duration) int {
	crashed := false
	result := held
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r := s.heldBackAt(crashAfter); trouble && !crashed && r != nil && os.Getenv("ONLY") != "late" {
			crashed = true
			r.crash()
			go restart(s, r, downTime)
		}
		active := s.fleet.running(s.runners, id)
		for r, u := range active {
			if os.Getenv("ONLY") == "crash" && trouble && !crashed && time.Since(u.startedAt) >= crashAfter {
				crashed = true
				r.crash()
				go restart(s, r, downTime)
			}
		}
		if len(active) > 1 && result == held {
			for r, u := range active {
				s.record.printf("verdict: %s run %d is at work on %s since %v", u.task, u.number, r.id, time.Since(u.startedAt).Round(time.Millisecond))
			}
			result = broken
		}
		if len(active) == 0 && s.state(id) == "completed" {
			break
		}
	}
	if trouble && !crashed && os.Getenv("ONLY") == "" {
		return couldNot
	}
	return result
}

// heldBackAt returns the runner whose start request has been held back for a time; nil if there is none.
func (s *site) heldBackAt(since time.Duration) *runner {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, r := range s.runners {
		if r.late != nil && r.heldBack && time.Since(r.late.heldAt) >= since {
			return r
		}
	}
	return nil
}
