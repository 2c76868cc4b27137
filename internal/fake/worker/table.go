package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	defaultRunTime = time.Second
	// faultDelay is the time after which a worker with the fault fail-tasks fails a task.
	faultDelay = 20 * time.Millisecond
)

// Config describes a worker; nil stores are replaced by private ones.
type Config struct {
	Worker         model.HostID
	Accelerators   model.Accelerators
	Cores          model.Cores
	MemoryMB       model.Megabytes
	RunTime        time.Duration // of a task whose payload gives none, 0 means 1 s
	CheckpointTime time.Duration // from the operation until the state is saved
	UsageLag       time.Duration // until the report shows the use of accelerators
	Checkpoints    *Checkpoints  // shared by workers that resume each other's tasks
	Ledger         *Ledger       // shared by workers that run members of the same gangs
}

// Table is the lease table of a worker; it is not safe for concurrent use.
type Table struct {
	cfg       Config
	boot      model.BootID
	term      model.Term
	version   uint64
	now       time.Time
	tasks     map[model.TaskID]*task
	starts    int64 // over all boots
	refuse    bool
	failTasks bool
}

// NewTable returns an empty table of a worker that has just started.
func NewTable(cfg Config, boot model.BootID) *Table {
	if cfg.RunTime == 0 {
		cfg.RunTime = defaultRunTime
	}
	if cfg.Checkpoints == nil {
		cfg.Checkpoints = &Checkpoints{}
	}
	if cfg.Ledger == nil {
		cfg.Ledger = &Ledger{}
	}
	return &Table{cfg: cfg, boot: boot, tasks: map[model.TaskID]*task{}}
}

// SetFaults makes the table refuse all reservations, or fail all tasks that start from now on.
func (t *Table) SetFaults(refuse, failTasks bool) {
	t.refuse, t.failTasks = refuse, failTasks
}

// Apply advances the table to now and applies a batch, unless its term is stale.
func (t *Table) Apply(now time.Time, b workerclient.Batch) workerclient.Reply {
	t.Advance(now)
	if b.Term.Compare(t.term) < 0 {
		return workerclient.Reply{
			Worker: t.cfg.Worker, Boot: t.boot, Term: t.term, Version: t.version, Error: model.KindStaleTerm,
		}
	}
	t.term = b.Term
	reply := workerclient.Reply{Worker: t.cfg.Worker, Boot: t.boot, Term: t.term}
	for _, op := range b.Ops {
		state, kind := t.apply(op)
		reply.Results = append(reply.Results, workerclient.Result{Task: op.Task, State: state, Error: kind})
	}
	t.Advance(now) // operations may leave tasks whose time is already over
	reply.Version = t.version
	reply.Full = b.Since == 0 || b.Boot != t.boot || b.Since > t.version
	for _, id := range slices.Sorted(maps.Keys(t.tasks)) {
		if x := t.tasks[id]; reply.Full || x.version > b.Since {
			reply.Tasks = append(reply.Tasks, x.snapshot(t.now))
		}
	}
	return reply
}

// Advance applies all that has happened until now, in the order in which it happened; time never goes back.
func (t *Table) Advance(now time.Time) {
	for {
		x, at := t.next()
		if x == nil || at.After(now) {
			break
		}
		// An operation may leave an event in the past; it takes effect when it was decided.
		if at.Before(t.now) {
			at = t.now
		}
		t.now = at
		t.occur(x, at)
	}
	if now.After(t.now) {
		t.now = now
	}
}

// Next returns the time of the next change that no batch causes, and false when there is none.
func (t *Table) Next() (time.Time, bool) {
	x, at := t.next()
	return at, x != nil
}

// Restart loses all tasks and the term.
func (t *Table) Restart(now time.Time, boot model.BootID) {
	t.Advance(now)
	for _, x := range t.tasks {
		if x.runs() {
			t.cfg.Ledger.ended(t.now, x.report, false)
		}
	}
	t.tasks = map[model.TaskID]*task{}
	t.boot, t.term, t.version = boot, model.Term{}, 0
}

// Tasks returns the reports of all tasks, ordered by id.
func (t *Table) Tasks() []workerclient.Task {
	var out []workerclient.Task
	for _, id := range slices.Sorted(maps.Keys(t.tasks)) {
		out = append(out, t.tasks[id].snapshot(t.now))
	}
	return out
}

// Lease returns the end of a task's lease, and false when the task is unknown.
func (t *Table) Lease(id model.TaskID) (time.Time, bool) {
	x := t.tasks[id]
	if x == nil {
		return time.Time{}, false
	}
	return x.lease, true
}

// Free returns the resources that no task holds.
func (t *Table) Free() (model.Accelerators, model.Cores, model.Megabytes) {
	a, c, m := t.cfg.Accelerators, t.cfg.Cores, t.cfg.MemoryMB
	for _, x := range t.tasks {
		if x.report.State.Holds() {
			a -= x.report.Accelerators
			c -= x.report.Cores
			m -= x.report.MemoryMB
		}
	}
	return a, c, m
}

// next returns the task with the earliest event, by task id among equals.
func (t *Table) next() (*task, time.Time) {
	var first *task
	var firstAt time.Time
	for _, x := range t.tasks {
		at, ok := x.next()
		if !ok {
			continue
		}
		if c := at.Compare(firstAt); first == nil || c < 0 || c == 0 && cmp.Less(x.report.ID, first.report.ID) {
			first, firstAt = x, at
		}
	}
	return first, firstAt
}

// occur applies the event of a task that is due; the end of the lease wins over all else.
func (t *Table) occur(x *task, at time.Time) {
	switch {
	case due(x.lease, at):
		t.end(x, workerclient.TaskLapsed, "the lease ended")
	case x.report.State == workerclient.TaskCheckpointing && due(x.saveAt, at):
		t.cfg.Checkpoints.save(x.report, x.progress)
		t.end(x, workerclient.TaskCheckpointed, "")
	case x.report.State == workerclient.TaskCheckpointing && due(x.bound, at):
		t.end(x, workerclient.TaskStopped, "the checkpoint took longer than its bound")
	case x.report.State == workerclient.TaskRunning && due(x.finishAt(), at):
		if x.failure != "" {
			t.end(x, workerclient.TaskFailed, x.failure)
		} else {
			t.end(x, workerclient.TaskFinished, "")
		}
	case due(x.usageAt, at):
		x.report.UsagePct = x.percent
		x.usageAt = time.Time{}
		t.touch(x)
	}
}

func (t *Table) end(x *task, state workerclient.TaskState, reason string) {
	if x.runs() {
		x.advance(t.now)
		x.endedAt = t.now
		t.cfg.Ledger.ended(t.now, x.report, state == workerclient.TaskFinished)
	}
	x.report.State, x.report.Error, x.report.UsagePct = state, reason, 0
	x.usageAt = time.Time{}
	t.touch(x)
}

func (t *Table) touch(x *task) {
	t.version++
	x.version = t.version
}
