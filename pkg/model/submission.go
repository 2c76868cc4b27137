package model

import (
	"strconv"
	"time"
)

// QueueID names a queue of jobs; its configuration gives the priority and the service that runs them.
type QueueID string

// FencingToken orders the leaders of a deployment; a worker refuses an order with a lower fence than it has seen.
type FencingToken int64

// RunNumber counts the starts of a task; it rises with each start.
type RunNumber int64

// MilliCores counts thousandths of a processor core.
type MilliCores int64

// Checkpoint is the opaque progress that a worker reports for a task; empty means none.
type Checkpoint string

// Priority orders queues; 0 comes first.
type Priority int

// Resources is what a worker offers or a task takes.
type Resources struct {
	Cores        MilliCores   `json:"cores,omitempty"`
	MemoryMB     Megabytes    `json:"memory-mb,omitempty"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// CanFit reports whether r has room for o.
func (r Resources) CanFit(o Resources) bool {
	return r.Cores >= o.Cores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Step is a set of equal tasks of a submission.
type Step struct {
	Count          int       `json:"count"`
	Need           Resources `json:"need"`                  // of each task
	EstimatedRunMS Millis    `json:"estimate-ms,omitempty"` // declared run time, often far off
	DependsOn      []int     `json:"after,omitempty"`       // steps that must be done first
	Gang           bool      `json:"gang,omitempty"`        // the tasks start and end together
	OneRack        bool      `json:"one-rack,omitempty"`    // slow on more than one rack
	Resumable      bool      `json:"checkpoints,omitempty"` // a stopped task can resume
	Label          string    `json:"label,omitempty"`       // label that a worker must have
	NearRack       RackID    `json:"near-rack,omitempty"`   // slow on other racks
	MaxPerWorker   int       `json:"max-per-worker,omitempty"`
	LongRunning    bool      `json:"long-running,omitempty"` // restarted however it ends, until cancelled
}

// Submission is a job as its caller sent it: steps of tasks, run once or at set times.
type Submission struct {
	ID                   JobID       `json:"id"`
	Workspace            WorkspaceID `json:"workspace"`
	Caller               CallerID    `json:"caller,omitempty"`
	Queue                Queue       `json:"queue"` // as configured when the job was accepted
	Payload              string      `json:"payload"`
	SentAtMS             int64       `json:"sent-at-ms,omitempty"` // Unix milliseconds on the clock of the host that accepted it
	Steps                []Step      `json:"steps"`
	ScheduledOccurrences int         `json:"repeats,omitempty"`     // occurrences; 0 means one, due at once
	FirstAtMS            int64       `json:"first-at-ms,omitempty"` // Unix milliseconds of occurrence 0
	PeriodMS             Millis      `json:"period-ms,omitempty"`   // between occurrences
}

// Occurrences returns how many times the steps run.
func (s *Submission) Occurrences() int {
	return max(1, s.ScheduledOccurrences)
}

// DueAt returns the due time of an occurrence; the zero time means at once.
func (s *Submission) DueAt(occurrence int) time.Time {
	if s.ScheduledOccurrences == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.FirstAtMS + int64(occurrence)*int64(s.PeriodMS))
}

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
}

// TaskRef names a task of a job.
type TaskRef struct {
	StepRef
	Index int `json:"index"`
}

// String returns the reference for log lines.
func (t TaskRef) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// RunRef is one start of a task.
type RunRef struct {
	Task   TaskRef   `json:"task"`
	Number RunNumber `json:"number"`
}

// EndKind tells how a run ended.
type EndKind string

// The ways a run ends.
const (
	EndDone            EndKind = "done"
	EndFailed          EndKind = "failed"  // by its own fault or the worker's
	EndStopped         EndKind = "stopped" // on an order
	EndLeaseExpired    EndKind = "lapsed"  // its lease expired
	EndGangMemberEnded EndKind = "broken"  // another member of its gang ended
	EndGangIncomplete  EndKind = "alone"   // the other members of its gang did not come
)

// RunProgress is a run that a worker reports as running.
type RunProgress struct {
	Run         RunRef     `json:"run"`
	Checkpoint  Checkpoint `json:"checkpoint,omitempty"`
	PercentDone int        `json:"percent"` // of its work
}

// RunEnd is the end of a run that a worker reports until it is acknowledged.
type RunEnd struct {
	Sequence   int64      `json:"number"` // counts the ends of one incarnation of a worker from 1
	Run        RunRef     `json:"run"`
	Kind       EndKind    `json:"kind"`
	Checkpoint Checkpoint `json:"checkpoint,omitempty"`
}

// WorkerState says whether a worker takes new tasks.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// Worker is a worker as the platform's registry describes it.
type Worker struct {
	ID             HostID
	Incarnation    int64 // Unix milliseconds of its start
	Address        string
	Service        ServiceID
	FailureDomain  DomainID
	Rack           RackID
	Labels         []string
	Capacity       Resources
	State          WorkerState
	MinRemainingMS Millis // while draining, the least time left
}

// Queue is the configuration of a queue.
type Queue struct {
	ID             QueueID   `json:"id"`
	Service        ServiceID `json:"service"`
	Priority       Priority  `json:"priority"`
	MaxAttempts    int       `json:"max-attempts"` // runs of a task that may fail
	TargetStretch  float64   `json:"stretch"`      // objective as a multiple of the longest chain of work
	TargetOffsetMS Millis    `json:"target-ms"`    // added to the objective
	CallTimeoutMS  Millis    `json:"timeout-ms"`   // of a call
	Public         bool      `json:"public"`       // callers need no key
}
