package reserver

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func (s *sim) submit(size int) {
	s.jobs = append(s.jobs, &simJob{id: model.JobID(fmt.Sprintf("j%03d", len(s.jobs))), accepted: s.now, size: size})
}

func (s *sim) open() (n int) {
	for _, j := range s.jobs {
		if !j.done {
			n++
		}
	}
	return n
}

// Guards against tasks that run twice, two attempts of a job at once, partial gangs beyond
// their bound and lost jobs, under loss, duplication, reordering, partitions, pauses,
// restarts of planners and workers, and two planners at once.
func TestFaults(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 8).Draw(t, "workers"), 2)
		s.planners[0].retake = s.now
		planner := func(t *rapid.T) *simPlanner { return s.planners[rapid.IntRange(0, 1).Draw(t, "planner")] }
		worker := func(t *rapid.T) *simWorker {
			return s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "worker")]
		}
		run := func(t *rapid.T) {
			s.run(time.Duration(rapid.SampledFrom([]int{20, 300, 2000, 6000, 25_000}).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": run, "run-2": run, "run-3": run, "run-4": run,
			"submit": func(t *rapid.T) {
				for range 3 {
					s.submit(rapid.IntRange(1, len(s.workers)).Draw(t, "size"))
				}
			},
			"network": func(t *rapid.T) {
				s.loss, s.dup = rapid.IntRange(0, 40).Draw(t, "loss"), rapid.IntRange(0, 40).Draw(t, "dup")
			},
			"cut":        func(t *rapid.T) { planner(t).cut[worker(t).host.ID] = true },
			"heal":       func(t *rapid.T) { clear(planner(t).cut) },
			"contend":    func(t *rapid.T) { planner(t).retake = s.now },
			"retire":     func(t *rapid.T) { p := planner(t); p.retake = time.Time{}; s.handle(p, StepDown{"retired"}) },
			"restart":    func(t *rapid.T) { s.restart(planner(t)) },
			"fail-tasks": func(t *rapid.T) { w := worker(t); w.fails = !w.fails },
			"pause": func(t *rapid.T) {
				d := time.Duration(rapid.SampledFrom([]int{300, 3000, 9000, 30_000}).Draw(t, "ms")) * time.Millisecond
				planner(t).paused = s.now.Add(d)
				s.slack += d
			},
			"restart-worker": func(t *rapid.T) {
				w := worker(t)
				w.boots, w.term, w.version, w.tasks = w.boots+1, model.Term{}, 0, nil
			},
			"unlist": func(t *rapid.T) {
				w := worker(t)
				w.host.Domain = map[model.DomainID]model.DomainID{"d": "", "": "d"}[w.host.Domain]
			},
			"preempt": func(t *rapid.T) {
				for _, j := range s.jobs {
					for _, p := range s.planners {
						if g := p.gangs[j.id]; g != "" && !s.now.Before(p.paused) && rapid.Bool().Draw(t, "preempt") {
							s.handle(p, PreemptGang{g})
						}
					}
				}
			},
			"": func(t *rapid.T) {
				if len(s.faults) > 0 {
					t.Fatalf("%v", s.faults[0])
				}
			},
		})
		// Without faults and with one planner everything finishes.
		s.loss, s.dup = 0, 0
		for i, p := range s.planners {
			clear(p.cut)
			p.paused, p.retake = time.Time{}, time.Time{}
			if i == 0 {
				p.retake = s.now
			} else {
				s.handle(p, StepDown{"healed"})
			}
		}
		for _, w := range s.workers {
			w.fails, w.host.Domain = false, "d"
		}
		for range 40 {
			if s.run(time.Minute); s.open() == 0 {
				break
			}
		}
		if len(s.faults) > 0 || s.open() > 0 {
			t.Fatalf("%d jobs are open, faults: %v, status: %+v", s.open(), s.faults, s.planners[0].Status())
		}
		if n := s.planners[0].Status().Gangs; n > 0 {
			s.run(time.Minute)
			if n = s.planners[0].Status().Gangs; n > 0 {
				t.Fatalf("%d gangs are left after all jobs finished", n)
			}
		}
		for k, n := range s.counts {
			total[k] += n
		}
	})
	t.Log(total)
}

// Guards against planners that undo each other's work for ever: both take over again
// after each step down, and still all jobs finish.
func TestRacingPlanners(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSim(seed, 6, 2)
		s.loss, s.dup = 5, 5
		for _, p := range s.planners {
			p.retake = s.now
		}
		for i := range 12 {
			s.submit(1 + i%6)
		}
		for i := 0; i < 60 && (s.open() > 0 || i < 5); i++ {
			s.run(time.Minute)
		}
		is.Equal(len(s.faults), 0)
		is.Equal(s.open(), 0)                 // jobs finish in spite of the race
		is.True(s.counts["RoleChanged"] > 10) // the planners did race
	}
}

// Guards against a job that is accepted just after a takeover and that both planners start:
// the earlier one still reaches a minority of the workers and has not noticed yet.
func TestJobAcceptedDuringTakeover(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSim(seed, 5, 2)
		a, b := s.planners[0], s.planners[1]
		a.retake = s.now
		s.run(3 * time.Second)
		for i, w := range s.workers {
			a.cut[w.host.ID], b.cut[w.host.ID] = i < 3, i >= 3
		}
		b.retake = s.now
		for b.Status().Role != RolePlanner {
			s.run(10 * time.Millisecond)
		}
		s.run(10 * time.Millisecond)
		for range 4 {
			s.submit(1)
		}
		s.run(8 * time.Second)
		s.submit(1) // this one no earlier planner can have started
		last := s.jobs[4]
		s.run(time.Second)
		is.True(last.attempt == 1 || last.done)
		s.run(2 * time.Minute)
		is.Equal(len(s.faults), 0)
		is.Equal(s.open(), 0)
	}
}
