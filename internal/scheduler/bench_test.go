package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The design size.
const (
	benchWorkers = 8800
	benchTasks   = 210_000
	benchTeams   = 120
)

// benchState returns a planner whose workers are all busy with lent tasks.
func benchState(b *testing.B) (*Scheduler, *model.Set) {
	b.Helper()
	set := config(benchWorkers/8, 64, 0)
	set.Guarantees = map[model.GuaranteeID]model.Guarantee{}
	for t := range benchTeams {
		ws := model.WorkspaceID(fmt.Sprint("t", t))
		set.Workspaces[ws] = model.Workspace{Quota: 20000, MaxWaiting: 1 << 20}
		set.Guarantees[model.GuaranteeID(ws)] = model.Guarantee{Workspace: ws, FailureDomain: domain, Cell: 64, Count: 8}
	}
	s := New(Options{})
	s.SetConfig(set, domain)
	addWorkers(s, benchWorkers/8)
	for i := range benchTasks {
		w := i % benchWorkers
		sh := model.Shape{Workers: 1, Cores: 1}
		if i/benchWorkers < 8 {
			sh.Accelerators = 1
		}
		id := model.JobID(fmt.Sprint("run", i))
		s.Adopt(Running{
			Job: id, Attempt: 1, Gang: model.GangID(id + "/1"), Workspace: "b", Class: "batch",
			Shape: sh, Members: []model.HostID{workerID(w/8, w%8)}, StartedAt: start.Add(-time.Duration(i) * time.Second),
		}, start)
	}
	s.Pass(start)
	return s, set
}

// BenchmarkPass measures full passes: one worker has changed and 20,000 jobs wait.
func BenchmarkPass(b *testing.B) {
	s, _ := benchState(b)
	for i := range 20_000 {
		j := work(fmt.Sprint("q", i), model.WorkspaceID(fmt.Sprint("t", i%benchTeams)), "batch", 1+i%8, model.Accelerators(1+i%8))
		j.Spec.Caller = model.CallerID(fmt.Sprint("c", i%7))
		s.Submit(j, start)
	}
	now := start
	for { // until the guarantees are used up
		ps := preempts(s.Pass(now))
		if len(ps) == 0 {
			break
		}
		for _, p := range ps {
			s.Preempted(p.Gang, now)
		}
	}
	if st := s.Stats(now); st.Waiting < 10_000 || st.RunningGangs < 150_000 {
		b.Fatalf("%+v", st)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.alloc.SetHealth("w000-0", allocator.Usable)
		s.dirty = true
		now = now.Add(time.Millisecond)
		s.Pass(now)
	}
}

// BenchmarkPassSteady measures passes in which nothing has changed.
func BenchmarkPassSteady(b *testing.B) {
	s, _ := benchState(b)
	b.ReportAllocs()
	for b.Loop() {
		s.Pass(start)
	}
}

// BenchmarkReclaim256 measures the pass that gives a gang of 256 its cells over lent tasks.
func BenchmarkReclaim256(b *testing.B) {
	s, set := benchState(b)
	g := set.Guarantees["t0"]
	g.Count = 32
	set.Guarantees["t0"] = g
	s.SetConfig(&model.Set{
		FailureDomains: set.FailureDomains, Workspaces: set.Workspaces, Classes: set.Classes, Guarantees: set.Guarantees,
	}, domain)
	s.own["t0"] = g
	s.alloc.SetCells(s.declared, s.own)
	now, n := start, 0
	for b.Loop() {
		b.StopTimer()
		j := work(fmt.Sprint("gang", n), "t0", "urgent", 256, 8)
		n++
		j.Spec.Shape.Span = ""
		s.Submit(j, now)
		b.StartTimer()
		if len(preempts(s.Pass(now))) == 0 {
			b.Fatal("nothing preempted")
		}
		b.StopTimer()
		s.Cancel(j.Spec.ID, now)
		for _, g := range s.doomed {
			s.alloc.Doom(&g.Gang, false)
		}
		s.doomed = s.doomed[:0]
		b.StartTimer()
	}
}

// BenchmarkSmallJobs measures a pass that starts 500 jobs on free workers.
func BenchmarkSmallJobs(b *testing.B) {
	for _, p := range []allocator.Policy{allocator.FirstFit, allocator.BestFit, allocator.Gradient} {
		b.Run(string(p), func(b *testing.B) {
			s := New(Options{Policy: p})
			s.SetConfig(config(benchWorkers/8, 8, 0), domain)
			addWorkers(s, benchWorkers/8)
			now, n := start, 0
			for b.Loop() {
				b.StopTimer()
				for range 500 {
					n++
					s.Submit(work(fmt.Sprint("j", n), "a", "batch", 1+n%4, 2), now)
				}
				b.StartTimer()
				ds := starts(s.Pass(now))
				b.StopTimer()
				if len(ds) != 500 {
					b.Fatal("jobs did not start")
				}
				for _, d := range ds {
					s.Ended(d.Gang, End{Reason: EndFinished}, now)
				}
				b.StartTimer()
			}
		})
	}
}
