package reserver

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// running returns a domain with one planner and a gang that runs on all workers.
func running(t *testing.T, workers, planners int) (*sim, *simPlanner) {
	t.Helper()
	s := newSim(3, workers, planners)
	s.slow = 0 // the rules' bounds are checked to the tick
	s.planners[0].retake = s.now
	s.submit(workers)
	for range 100 {
		if s.run(100 * time.Millisecond); s.counts["GangStarted"] > 0 {
			for _, w := range s.workers {
				w.tasks[0].due = s.now.Add(time.Hour)
			}
			return s, s.planners[0]
		}
	}
	t.Fatal("the gang did not start")
	return nil, nil
}

// states returns the state of the first task on each worker, empty where there is none.
func (s *sim) states() (out []workerclient.TaskState) {
	for _, w := range s.workers {
		w.advance(s.now)
		out = append(out, "")
		if len(w.tasks) > 0 {
			out[len(out)-1] = w.tasks[0].State
		}
	}
	return out
}

// Guards against a planner that goes on renewing without a majority of the workers.
func TestStepDownWithoutMajority(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 5, 1)
	for _, w := range s.workers[:3] {
		p.cut[w.host.ID] = true
	}
	s.run(13 * time.Second)
	is.Equal(p.Status().Role, RoleSteppedDown)
	p.retake = time.Time{}
	p.Handle(s.now, Tick{})
	sends, _ := p.Drain()
	is.Equal(len(sends), 0) // nothing is sent after the step down
}

// Guards against a gang that goes on without one of its members.
func TestUnconfirmedMemberStopsGang(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 5, 1)
	p.cut["w02"] = true
	s.run(4 * time.Second) // the last confirmation, two polls and the stop
	st := s.states()
	is.Equal(st[2], workerclient.TaskRunning) // unreachable, until its lease ends
	is.Equal(slices.Index(slices.Delete(st, 2, 3), workerclient.TaskRunning), -1)
	is.Equal(s.counts["GangLost"], 1)
	is.Equal(s.counts["GangEnded"], 0) // it may still run on w02
	s.run(18 * time.Second)
	is.Equal(s.counts["GangEnded"], 1)
	is.Equal(s.states()[2], workerclient.TaskLapsed)
}

// Guards against an end that is reported while a member that was never found may still run.
func TestPartialGangAtTakeover(t *testing.T) {
	is := is.New(t)
	s, a := running(t, 5, 2)
	b := s.planners[1]
	b.cut["w04"] = true
	a.retake = time.Time{}
	s.handle(a, StepDown{"moved"})
	b.retake = s.now
	s.run(6 * time.Second)
	is.Equal(s.counts["GangAdopted"], 0)
	is.Equal(s.states()[0], workerclient.TaskStopped) // the found part is stopped
	is.Equal(s.counts["GangEnded"], 0)
	ok, until := b.Status().Accounted(s.now, s.jobs[0].accepted)
	is.True(!ok && until.After(s.now) && until.Sub(s.now) <= 20*time.Second)
	s.run(18 * time.Second)
	is.Equal(s.counts["GangEnded"], 1)
	is.Equal(len(s.faults), 0)
}

// Guards against renewals of a found gang before it is known to be complete.
func TestFoundGangIsNotRenewed(t *testing.T) {
	is := is.New(t)
	s, a := running(t, 3, 2)
	a.retake = time.Time{}
	s.handle(a, StepDown{"moved"})
	b := s.planners[1]
	b.cut["w02"] = true
	lease := s.workers[0].tasks[0].lease
	b.retake = s.now
	s.run(2 * time.Second)
	is.Equal(s.workers[0].tasks[0].lease, lease)
	clear(b.cut)
	s.run(time.Second)
	is.Equal(s.counts["GangAdopted"]+s.counts["GangLost"], 1)
}

// Guards against an unlimited checkpoint, and against a preempted gang that goes on running.
func TestPreemptIsBounded(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 4, 1)
	s.jobs[0].done = true // no further attempt
	s.handle(p, PreemptGang{"j000/1"})
	s.run(100 * time.Millisecond)
	s.workers[0].tasks[0].due = s.now.Add(time.Hour) // this checkpoint hangs
	s.run(1200 * time.Millisecond)
	is.True(!slices.ContainsFunc(s.states(), workerclient.TaskState.Holds))
	is.Equal(s.counts["GangEnded"], 1)
	is.Equal(s.counts["CheckpointDone"], 0)
}

// Guards against a pause of the planner that counts as evidence against the workers.
func TestPauseKeepsGangs(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 5, 1)
	s.loss = 100 // the batches before the pause stay unanswered
	s.run(time.Second)
	s.loss = 0
	p.paused = s.now.Add(6 * time.Second)
	s.run(20 * time.Second)
	is.Equal(s.counts["GangLost"], 0)
	is.Equal(s.states(), slices.Repeat([]workerclient.TaskState{workerclient.TaskRunning}, 5))
}

// Guards against a reservation's time that is counted from the answer instead of the request,
// and against refused attempts that leave their reservations behind.
func TestReservationTimeStartsAtRequest(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 1, 1)
	s.planners[0].Reserver.cfg.ReserveTTL = 300 * time.Millisecond
	s.planners[0].retake = s.now
	s.run(3 * time.Second)
	p := s.planners[0]
	p.Handle(s.now, StartGang{Gang: "j/1", Job: "j", AcceptedAt: s.now, Workers: []model.HostID{"w00"}, Accelerators: 1})
	sends, _ := p.Drain()
	is.Equal(len(sends), 1)
	rep := s.workers[0].serve(s, sends[0].Batch)
	p.Handle(s.now.Add(310*time.Millisecond), Replied{"w00", sends[0].Seq, rep})
	sends, reports := p.Drain()
	i := slices.IndexFunc(reports, func(x Report) bool { _, ok := x.(GangRefused); return ok })
	is.True(i >= 0)
	is.Equal(reports[i].(GangRefused).Kind, model.KindDeadline)
	is.Equal(sends[0].Batch.Ops[0].Kind, workerclient.OpRelease)
}

// Guards against an unacknowledged outcome that workers forget, and against leftovers after it.
func TestForgetAfterAcknowledge(t *testing.T) {
	is := is.New(t)
	s, p := running(t, 2, 1)
	for _, w := range s.workers {
		w.tasks[0].due = s.now.Add(time.Second)
	}
	var ended bool
	for range 50 {
		s.now = s.now.Add(tickEvery)
		p.Handle(s.now, Tick{})
		sends, reports := p.Drain()
		for _, x := range reports {
			_, end := x.(GangEnded)
			ended = ended || end
		}
		for _, x := range sends {
			w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.host.ID == x.Worker })]
			p.Handle(s.now, Replied{x.Worker, x.Seq, w.serve(s, x.Batch)})
		}
	}
	is.True(ended)
	is.Equal(s.states()[0], workerclient.TaskFinished) // kept until the outcome is durable
	s.handle(p, Acknowledge{"j000/1"})
	s.run(2 * time.Second)
	is.Equal(len(s.workers[0].tasks)+len(s.workers[1].tasks), 0)
	is.Equal(p.Status().Gangs, 0)
}

// Guards against adopted tasks whose leases, granted by the earlier planner up to a poll ago,
// end before this planner's first renewal.
func TestAdoptedGangIsRenewedSoon(t *testing.T) {
	is := is.New(t)
	s, a := running(t, 5, 2)
	a.retake = time.Time{}
	s.handle(a, StepDown{"moved"})
	b := s.planners[1]
	b.cfg.Poll, b.cfg.TaskLease = 30*time.Second, 90*time.Second // the design size
	b.retake = s.now
	s.run(12 * time.Second)
	is.Equal(s.counts["GangAdopted"], 1)
	for _, w := range s.workers {
		is.True(w.tasks[0].lease.Sub(s.now) > 70*time.Second)
	}
}
