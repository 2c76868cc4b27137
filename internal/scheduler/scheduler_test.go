package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

const domain model.DomainID = "d"

// config returns a set with workspaces a and b, a guarantee of a, and racks of 8 workers of 8 accelerators.
func config(racks int, cell model.Accelerators, count int) *model.Set {
	d := model.FailureDomain{Racks: map[model.RackID]model.Rack{}}
	for r := range racks {
		d.Racks[rackID(r)] = model.Rack{Workers: 8, Accelerators: 8, Cores: 32, MemoryMB: 128 << 10}
	}
	set := &model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{domain: d},
		Workspaces:     map[model.WorkspaceID]model.Workspace{"a": {Quota: 1 << 20}, "b": {Quota: 1 << 20}},
		Classes: map[model.ClassID]model.Class{
			"urgent":   {Urgency: model.UrgencyUrgent},
			"standard": {Urgency: model.UrgencyStandard},
			"batch":    {Urgency: model.UrgencyBatch},
		},
	}
	if count > 0 {
		set.Guarantees = map[model.GuaranteeID]model.Guarantee{"g": {Workspace: "a", FailureDomain: domain, Cell: cell, Count: count}}
	}
	return set
}

func rackID(r int) model.RackID      { return model.RackID(fmt.Sprintf("r%03d", r)) }
func workerID(r, w int) model.HostID { return model.HostID(fmt.Sprintf("w%03d-%d", r, w)) }

func addWorkers(s Planner, racks int) {
	for r := range racks {
		for w := range 8 {
			s.UpsertWorker(allocator.Worker{ID: workerID(r, w), Rack: rackID(r), Index: w, Accelerators: 8, Cores: 32, MemoryMB: 128 << 10}, start)
		}
	}
}

func work(id string, ws model.WorkspaceID, class model.ClassID, workers int, acc model.Accelerators) model.Job {
	return model.Job{
		Spec: model.JobSpec{
			ID: model.JobID(id), Workspace: ws, Caller: "c", Class: class, RunMS: 3_600_000,
			Shape: model.Shape{Workers: workers, Accelerators: acc, Span: model.SpanRack},
		},
		State: model.JobQueued, AcceptedAt: start,
	}
}

func starts(ds []Decision) (out []Start) {
	for _, d := range ds {
		if x, ok := d.(Start); ok {
			out = append(out, x)
		}
	}
	return out
}

func preempts(ds []Decision) (out []Preempt) {
	for _, d := range ds {
		if x, ok := d.(Preempt); ok {
			out = append(out, x)
		}
	}
	return out
}

// TestReclaim guards against guaranteed work that waits behind lent work.
func TestReclaim(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	s.SetConfig(config(1, 32, 1), domain)
	addWorkers(s, 1)
	for i := range 8 {
		s.Submit(work(fmt.Sprint("lent", i), "b", "batch", 1, 8), start)
	}
	for _, x := range starts(s.Pass(start)) {
		is.True(!x.Guaranteed)
		s.Started(x.Gang, start)
	}
	s.Submit(work("urgent", "a", "urgent", 4, 8), start)
	ds := s.Pass(start.Add(time.Second))
	is.Equal(len(starts(ds)), 0)
	ps := preempts(ds)
	is.Equal(len(ps), 4) // half of the rack is enough
	for _, p := range ps {
		is.Equal(p.For, model.JobID("urgent"))
		s.Preempted(p.Gang, start.Add(2*time.Second))
	}
	got := starts(s.Pass(start.Add(2 * time.Second)))
	is.Equal(len(got), 1)
	is.True(got[0].Guaranteed)
	is.Equal(len(got[0].Members), 4)
	is.Equal(s.Explain("lent0", start).Wait == WaitRunning || s.Explain("lent7", start).Wait == WaitRunning, true)
}
