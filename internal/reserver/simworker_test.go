package reserver

import (
	"fmt"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// simTask is a task on a modelled worker.
type simTask struct {
	workerclient.Task
	version uint64
	lease   time.Time
	due     time.Time // end of the run, or of the checkpoint
	begun   time.Time
}

// simWorker models a worker: terms, leases and idempotent operations.
type simWorker struct {
	host    hostclient.Host
	boots   int
	term    model.Term
	version uint64
	tasks   []*simTask // in the order of their reservation
	fails   bool       // every task fails
	stuck   bool       // impossible: tasks ignore leases and stops
}

func (w *simWorker) find(id model.TaskID) *simTask {
	for _, t := range w.tasks {
		if t.ID == id {
			return t
		}
	}
	return nil
}

func (w *simWorker) set(t *simTask, s workerclient.TaskState) {
	w.version++
	t.State, t.version = s, w.version
}

// advance lets leases lapse and tasks end, in that order.
func (w *simWorker) advance(now time.Time) {
	for _, t := range w.tasks {
		switch {
		case !t.State.Holds() || w.stuck:
		case !now.Before(t.lease) && (t.State == workerclient.TaskReserved || t.lease.Before(t.due)):
			w.set(t, workerclient.TaskLapsed)
		case t.State == workerclient.TaskRunning && !now.Before(t.due):
			t.RunMS = millis(t.due.Sub(t.begun))
			if w.fails {
				w.set(t, workerclient.TaskFailed)
			} else {
				w.set(t, workerclient.TaskFinished)
			}
		case t.State == workerclient.TaskCheckpointing && !now.Before(t.due):
			w.set(t, workerclient.TaskCheckpointed)
		}
	}
}

func (w *simWorker) serve(s *sim, b workerclient.Batch) workerclient.Reply {
	w.advance(s.now)
	rep := workerclient.Reply{Worker: w.host.ID, Boot: model.BootID(fmt.Sprint(w.boots)), Term: w.term}
	if b.Term.Compare(w.term) < 0 {
		rep.Error = model.KindStaleTerm
		return rep
	}
	w.term, rep.Term = b.Term, b.Term
	for _, op := range b.Ops {
		rep.Results = append(rep.Results, w.apply(s, op))
	}
	rep.Version, rep.Full = w.version, b.Since == 0 || b.Boot != rep.Boot
	for _, t := range w.tasks {
		if rep.Full || t.version > b.Since {
			rep.Tasks = append(rep.Tasks, t.Task)
		}
	}
	return rep
}

func (w *simWorker) apply(s *sim, op workerclient.Op) workerclient.Result {
	ttl := time.Duration(op.TTL) * time.Millisecond
	if op.Kind == workerclient.OpRenewAll {
		for _, t := range w.tasks {
			if t.State.Holds() && t.State != workerclient.TaskReserved && !slices.Contains(op.Except, t.Gang) {
				t.lease = s.now.Add(ttl)
			}
		}
		return workerclient.Result{}
	}
	t := w.find(op.Task)
	if op.Kind == workerclient.OpReserve {
		return w.reserve(s, t, op, ttl)
	}
	if t == nil {
		return workerclient.Result{Task: op.Task, Error: model.KindUnknownTask}
	}
	ok := true
	switch op.Kind {
	case workerclient.OpStart:
		if t.State == workerclient.TaskReserved {
			w.set(t, workerclient.TaskRunning)
			t.lease, t.begun = s.now.Add(ttl), s.now
			t.due = s.now.Add(time.Duration(500+s.rng.IntN(30_000)) * time.Millisecond)
		}
		ok = t.State == workerclient.TaskRunning
	case workerclient.OpCheckpoint:
		if ok = t.State == workerclient.TaskRunning; ok {
			w.set(t, workerclient.TaskCheckpointing)
			t.due = s.now.Add(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)
		}
	case workerclient.OpStop:
		if t.State.Holds() && !w.stuck {
			w.set(t, workerclient.TaskStopped)
		}
		ok = t.State == workerclient.TaskStopped
	case workerclient.OpRelease, workerclient.OpForget:
		want := op.Kind == workerclient.OpRelease
		ok = want == (t.State == workerclient.TaskReserved) && want == t.State.Holds()
		if ok {
			w.tasks = slices.DeleteFunc(w.tasks, func(x *simTask) bool { return x == t })
		}
	}
	res := workerclient.Result{Task: op.Task, State: t.State}
	if !ok {
		res.Error = model.KindWrongState
	}
	return res
}

func (w *simWorker) reserve(s *sim, t *simTask, op workerclient.Op, ttl time.Duration) workerclient.Result {
	res := workerclient.Result{Task: op.Task, State: workerclient.TaskReserved}
	used := op.Accelerators
	for _, x := range w.tasks {
		if x.State.Holds() && x != t {
			used += x.Accelerators
		}
	}
	switch {
	case t != nil && t.State != workerclient.TaskReserved:
		return workerclient.Result{Task: op.Task, State: t.State, Error: model.KindWrongState}
	case used > 8:
		return workerclient.Result{Task: op.Task, Error: model.KindNoCapacity}
	case t == nil:
		t = &simTask{Task: workerclient.Task{
			ID: op.Task, Gang: op.Gang, Job: op.Job, Workspace: op.Workspace,
			Members: op.Members, Accelerators: op.Accelerators,
		}}
		w.tasks = append(w.tasks, t)
		w.set(t, workerclient.TaskReserved)
	}
	t.lease = s.now.Add(ttl)
	return res
}
