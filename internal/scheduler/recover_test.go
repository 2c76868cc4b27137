package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
)

// TestNoConfigRejectsNothing guards against a planner that takes over before it
// has the configuration and declares accepted jobs as not run.
func TestNoConfigRejectsNothing(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	s.SetConfig(nil, domain)
	s.Submit(work("j", "a", "batch", 1, 8), start)
	is.Equal(len(s.Pass(start)), 0)
	s.SetConfig(&model.Set{}, domain)
	is.Equal(len(s.Pass(start)), 0)
	s.SetConfig(config(1, 8, 0), domain)
	addWorkers(s, 1)
	is.Equal(len(starts(s.Pass(start))), 1)
	set := config(1, 8, 0)
	delete(set.Workspaces, "a")
	s.Submit(work("k", "b", "batch", 8, 8), start)
	s.SetConfig(set, domain)
	s.Ended("j/1", End{Reason: EndLost}, start)
	ds := s.Pass(start)
	is.Equal(len(ds), 2) // j can run no more, k takes its room
	is.Equal(ds[0].(Reject).Job, model.JobID("j"))
}

// TestAdoptKeepsGuarantee guards against a new planner that preempts guaranteed
// work of one workspace for another, or starts jobs that it has not accounted for.
func TestAdoptKeepsGuarantee(t *testing.T) {
	is := is.New(t)
	set := config(1, 32, 1)
	set.Guarantees["h"] = model.Guarantee{Workspace: "b", FailureDomain: domain, Cell: 32, Count: 1}
	s := New(Options{})
	s.SetConfig(set, domain)
	s.HoldBefore(10)
	wide := work("wide", "b", "urgent", 4, 8)
	wide.Offset = 5
	s.Submit(wide, start)
	for i := range 2 { // the gang is known before its workers
		s.Adopt(Running{
			Job: "old", Attempt: 3, Gang: "old/3", Workspace: "a", Shape: work("", "", "", 4, 8).Spec.Shape,
			Members: []model.HostID{workerID(0, 4), workerID(0, 5), workerID(0, 6), workerID(0, 7)}, StartedAt: start,
		}, start)
		is.Equal(len(s.Pass(start.Add(time.Duration(i)))), 0)
	}
	addWorkers(s, 1)
	for i := range 4 {
		id := model.JobID(fmt.Sprint("lent", i))
		s.Adopt(Running{Job: id, Attempt: 1, Gang: model.GangID(id + "/1"), Workspace: "c", Shape: model.Shape{Workers: 1, Accelerators: 8}, Members: []model.HostID{workerID(0, i)}, StartedAt: start.Add(time.Hour)}, start)
	}
	is.Equal(len(s.Pass(start.Add(time.Second))), 0)
	s.HoldBefore(0)
	ps := preempts(s.Pass(start.Add(time.Second)))
	is.Equal(len(ps), 4) // the lent work, although the guaranteed gang is one gang only
	for _, p := range ps {
		is.True(p.Gang != "old/3")
	}
	old := work("old", "a", "batch", 4, 8)
	old.State = model.JobRunning
	s.Submit(old, start)
	s.Ended("old/3", End{Reason: EndLost}, start)
	got := starts(s.Pass(start.Add(time.Second)))
	is.Equal(len(got), 1)
	is.Equal(got[0].Gang, model.GangID("old/4"))
	is.True(got[0].Guaranteed)
}
