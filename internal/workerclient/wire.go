package workerclient

import (
	"encoding/json"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// OpKind names an operation on a worker.
type OpKind string

// The operations of a worker.
const (
	OpReserve    OpKind = "reserve"
	OpStart      OpKind = "start"
	OpRenewAll   OpKind = "renew-all"
	OpCheckpoint OpKind = "checkpoint"
	OpThrottle   OpKind = "throttle"
	OpStop       OpKind = "stop"
	OpRelease    OpKind = "release"
	OpForget     OpKind = "forget"
)

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	TaskReserved      TaskState = "reserved"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "checkpointing"
	TaskCheckpointed  TaskState = "checkpointed" // saved and stopped
	TaskFinished      TaskState = "finished"
	TaskFailed        TaskState = "failed"
	TaskStopped       TaskState = "stopped"
	TaskLapsed        TaskState = "lapsed" // its lease ended
)

// Holds reports whether a task in this state occupies its resources.
func (s TaskState) Holds() bool {
	switch s {
	case TaskReserved, TaskRunning, TaskCheckpointing:
		return true
	}
	return false
}

// Op is one operation of a batch; fields that do not apply are left empty.
type Op struct {
	Kind         OpKind             `json:"op"`
	Task         model.TaskID       `json:"task,omitempty"`
	Gang         model.GangID       `json:"gang,omitempty"`
	Job          model.JobID        `json:"job,omitempty"`
	Workspace    model.WorkspaceID  `json:"workspace,omitempty"`
	Members      int                `json:"members,omitempty"` // size of the gang
	Accelerators model.Accelerators `json:"accelerators,omitempty"`
	Cores        model.Cores        `json:"cores,omitempty"`
	MemoryMB     model.Megabytes    `json:"memory-mb,omitempty"`
	TTL          model.Millis       `json:"ttl-ms,omitempty"`
	Percent      int                `json:"percent,omitempty"`
	Except       []model.GangID     `json:"except,omitempty"`
	Spec         json.RawMessage    `json:"spec,omitempty"`
}

// Batch is the body of POST /v1/ops; a worker applies its operations in order.
type Batch struct {
	Holder model.HostID `json:"holder"`
	Term   model.Term   `json:"term"`
	Boot   model.BootID `json:"boot,omitempty"` // the boot that Since belongs to
	Since  uint64       `json:"since"`          // return tasks changed after this version; 0 means all
	Ops    []Op         `json:"ops,omitempty"`
}

// Result answers one operation.
type Result struct {
	Task  model.TaskID    `json:"task,omitempty"`
	State TaskState       `json:"state,omitempty"`
	Error model.ErrorKind `json:"error,omitempty"`
}

// Task is a worker's report of one task.
type Task struct {
	ID           model.TaskID       `json:"id"`
	Gang         model.GangID       `json:"gang"`
	Job          model.JobID        `json:"job"`
	Workspace    model.WorkspaceID  `json:"workspace"`
	Members      int                `json:"members"`
	Accelerators model.Accelerators `json:"accelerators"`
	Cores        model.Cores        `json:"cores,omitempty"`
	MemoryMB     model.Megabytes    `json:"memory-mb,omitempty"`
	State        TaskState          `json:"state"`
	Error        string             `json:"error,omitempty"`
	RunMS        model.Millis       `json:"run-ms,omitempty"`    // time spent running so far
	UsagePct     int                `json:"usage-pct,omitempty"` // accelerator use, lagging
	Spec         json.RawMessage    `json:"spec,omitempty"`
}

// Reply is the answer to a batch. When Error is set no operation was applied.
type Reply struct {
	Worker  model.HostID    `json:"worker"`
	Boot    model.BootID    `json:"boot"`
	Term    model.Term      `json:"term"` // highest term seen
	Version uint64          `json:"version"`
	Error   model.ErrorKind `json:"error,omitempty"` // stale-term
	Full    bool            `json:"full,omitempty"`  // tasks lists all tasks, not only the changed ones
	Results []Result        `json:"results,omitempty"`
	Tasks   []Task          `json:"tasks,omitempty"`
}
