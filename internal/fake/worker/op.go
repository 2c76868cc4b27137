package worker

import (
	"encoding/json"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// apply applies one operation; each may be repeated when its answer was lost.
func (t *Table) apply(op workerclient.Op) (workerclient.TaskState, model.ErrorKind) {
	switch op.Kind {
	case workerclient.OpReserve:
		return t.reserve(op)
	case workerclient.OpRenewAll:
		return "", t.renewAll(op)
	}
	x := t.tasks[op.Task]
	if x == nil {
		return "", model.KindUnknownTask
	}
	var kind model.ErrorKind
	switch op.Kind {
	case workerclient.OpStart:
		kind = t.start(x, op)
	case workerclient.OpCheckpoint:
		kind = t.checkpoint(x, op)
	case workerclient.OpThrottle:
		kind = t.throttle(x, op)
	case workerclient.OpStop:
		if x.report.State.Holds() {
			t.end(x, workerclient.TaskStopped, "")
		}
	case workerclient.OpRelease:
		if x.report.State != workerclient.TaskReserved {
			return x.report.State, model.KindWrongState
		}
		delete(t.tasks, op.Task)
		t.version++
		return "", ""
	case workerclient.OpForget:
		if x.report.State.Holds() {
			return x.report.State, model.KindWrongState
		}
		delete(t.tasks, op.Task)
		t.version++
		return "", ""
	default:
		kind = model.KindInvalid
	}
	return x.report.State, kind
}

// reserve also accepts a task that was reserved before and never started, since a gang retries its reservations.
func (t *Table) reserve(op workerclient.Op) (workerclient.TaskState, model.ErrorKind) {
	if op.Task == "" || op.TTL <= 0 || op.Accelerators < 0 || op.Cores < 0 || op.MemoryMB < 0 {
		return "", model.KindInvalid
	}
	if x := t.tasks[op.Task]; x != nil {
		switch {
		case x.report.State == workerclient.TaskReserved:
			t.extend(x, op.TTL)
			return x.report.State, ""
		case !x.startedAt.IsZero():
			return x.report.State, model.KindWrongState
		}
	}
	a, c, m := t.Free()
	if t.refuse || op.Accelerators > a || op.Cores > c || op.MemoryMB > m {
		return "", model.KindNoCapacity
	}
	x := &task{report: workerclient.Task{
		ID: op.Task, Gang: op.Gang, Job: op.Job, Workspace: op.Workspace, Members: op.Members,
		Accelerators: op.Accelerators, Cores: op.Cores, MemoryMB: op.MemoryMB,
		State: workerclient.TaskReserved, Spec: op.Spec,
	}}
	t.tasks[op.Task] = x
	t.extend(x, op.TTL)
	t.touch(x)
	return x.report.State, ""
}

func (t *Table) start(x *task, op workerclient.Op) model.ErrorKind {
	switch x.report.State {
	case workerclient.TaskRunning:
	case workerclient.TaskReserved:
		p := parsePayload(x.report.Spec)
		x.run, x.percent = t.cfg.RunTime, 100
		if p.RunMS != nil {
			x.run = time.Duration(*p.RunMS) * time.Millisecond
		}
		if p.Fail {
			x.failure = "the task failed"
		}
		x.progress = t.cfg.Checkpoints.load(x.report)
		if t.failTasks {
			x.run, x.progress, x.failure = faultDelay, 0, "the worker failed the task"
		}
		x.startedAt, x.since = t.now, t.now
		x.usageAt = t.now.Add(t.cfg.UsageLag)
		x.report.State = workerclient.TaskRunning
		t.starts++
		t.cfg.Ledger.started(t.now, x.report)
		t.touch(x)
	default:
		return model.KindWrongState
	}
	if op.TTL > 0 {
		t.extend(x, op.TTL)
	}
	return ""
}

// renewAll leaves reservations alone: they are short on purpose, so that racing gangs free them.
func (t *Table) renewAll(op workerclient.Op) model.ErrorKind {
	if op.TTL <= 0 {
		return model.KindInvalid
	}
	for _, x := range t.tasks {
		if x.runs() && !slices.Contains(op.Except, x.report.Gang) {
			t.extend(x, op.TTL)
		}
	}
	return ""
}

// checkpoint saves the progress made so far; the task is stopped when that takes longer than the TTL.
func (t *Table) checkpoint(x *task, op workerclient.Op) model.ErrorKind {
	switch x.report.State {
	case workerclient.TaskCheckpointing, workerclient.TaskCheckpointed:
		return ""
	case workerclient.TaskRunning:
	default:
		return model.KindWrongState
	}
	x.advance(t.now)
	x.saveAt = t.now.Add(t.cfg.CheckpointTime)
	if op.TTL > 0 {
		x.bound = t.now.Add(time.Duration(op.TTL) * time.Millisecond)
	}
	x.report.State = workerclient.TaskCheckpointing
	t.touch(x)
	return ""
}

// throttle sets the speed as a share of the full speed; 0 pauses the task.
func (t *Table) throttle(x *task, op workerclient.Op) model.ErrorKind {
	if x.report.State != workerclient.TaskRunning {
		return model.KindWrongState
	}
	if op.Percent < 0 || op.Percent > 100 {
		return model.KindInvalid
	}
	x.advance(t.now)
	x.percent = op.Percent
	x.usageAt = t.now.Add(t.cfg.UsageLag)
	t.touch(x)
	return ""
}

// extend lets the lease run from now, the receipt of the batch; it never shortens it.
func (t *Table) extend(x *task, ttl model.Millis) {
	if end := t.now.Add(time.Duration(ttl) * time.Millisecond); end.After(x.lease) {
		x.lease = end
	}
}

// payload is the part of a job payload that decides how a task runs.
type payload struct {
	RunMS *model.Millis `json:"run-ms"`
	Fail  bool          `json:"fail"`
}

// parsePayload accepts the payload itself or a job specification that holds it; the declared
// run time of a job specification is not used, since it may be far off.
func parsePayload(spec json.RawMessage) payload {
	var outer struct {
		payload
		Shape   json.RawMessage `json:"shape"`
		Payload json.RawMessage `json:"payload"`
	}
	_ = json.Unmarshal(spec, &outer)
	if outer.Shape == nil && outer.Payload == nil {
		return outer.payload
	}
	var inner payload
	_ = json.Unmarshal(outer.Payload, &inner)
	return inner
}
