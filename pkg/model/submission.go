package model

import (
	"strconv"
	"time"
)

// QueueID names a queue of jobs, which is either a class or, on the users' platform, a route.
type QueueID string

// FencingToken identifies a leader term; later terms have higher tokens. A worker refuses a request whose token is lower than
// the highest that it has seen.
type FencingToken int64

// RunNumber is the number of a run of a task; it increases with each start of the task.
type RunNumber int64

// MilliCores is a number of thousandths of a processor core.
type MilliCores int64

// Checkpoint is the opaque state from which a task can resume, as reported by a worker; empty means none.
type Checkpoint string

// Priority is the scheduling priority of a queue; 0 is the highest.
type Priority int

// Resources is the capacity of a worker or the demand of a task.
type Resources struct {
	Cores        MilliCores   `json:"cores,omitempty"`
	MemoryMB     Megabytes    `json:"memory-mb,omitempty"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// CanFit reports whether r is at least other in each resource.
func (r Resources) CanFit(other Resources) bool {
	return r.Cores >= other.Cores && r.MemoryMB >= other.MemoryMB && r.Accelerators >= other.Accelerators
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Cores + other.Cores, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Max returns the larger of both values for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{Cores: max(r.Cores, o.Cores), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.Cores - other.Cores, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// TasksThatFit returns how many tasks of the given need fit into r.
func (r Resources) TasksThatFit(need Resources) int {
	n := int64(1 << 30)
	if need.Cores > 0 {
		n = min(n, int64(r.Cores/need.Cores))
	}
	if need.MemoryMB > 0 {
		n = min(n, int64(r.MemoryMB/need.MemoryMB))
	}
	if need.Accelerators > 0 {
		n = min(n, int64(r.Accelerators/need.Accelerators))
	}
	return int(max(n, 0))
}

// Step is a set of identical tasks of a submission.
type Step struct {
	Count          int       `json:"count"`                    // number of tasks
	Need           Resources `json:"need"`                     // resources that each task needs
	EstimatedRunMS Millis    `json:"estimate-ms,omitempty"`    // run time of a task as estimated by the caller; often inaccurate
	DependsOn      []int     `json:"after,omitempty"`          // indexes of the steps that must finish before this one starts
	Gang           bool      `json:"gang,omitempty"`           // all tasks must run at the same time
	OneRack        bool      `json:"one-rack,omitempty"`       // the tasks run slowly when they are spread over several racks
	Resumable      bool      `json:"checkpoints,omitempty"`    // a stopped task can resume from its last checkpoint
	Label          string    `json:"label,omitempty"`          // label that a worker must have; empty means none
	NearRack       RackID    `json:"near-rack,omitempty"`      // preferred rack; the tasks run slowly on other racks
	MaxPerWorker   int       `json:"max-per-worker,omitempty"` // maximum number of tasks on one worker; 0 means no limit
	LongRunning    bool      `json:"long-running,omitempty"`   // the tasks are restarted after any end, until the job is cancelled
}

// Submission is a job in the form that is stored and scheduled. Its steps run once or periodically.
type Submission struct {
	ID                   JobID       `json:"id"`
	Workspace            WorkspaceID `json:"workspace"`
	Caller               CallerID    `json:"caller,omitempty"`
	Queue                Queue       `json:"queue"` // configuration of the queue when the job was accepted
	Payload              string      `json:"payload"`
	AcceptedAtMS         int64       `json:"sent-at-ms,omitempty"` // time of acceptance in Unix milliseconds, by the clock of the accepting host
	Steps                []Step      `json:"steps"`
	ScheduledOccurrences int         `json:"repeats,omitempty"`     // number of occurrences; 0 means one that is due immediately
	FirstAtMS            int64       `json:"first-at-ms,omitempty"` // due time of occurrence 0 in Unix milliseconds
	PeriodMS             Millis      `json:"period-ms,omitempty"`   // interval between the due times of occurrences
	// Digest identifies the payload and the steps of an ended job, of which the payload and large steps are not kept. It is empty before.
	Digest string `json:"digest,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Submission) Occurrences() int {
	return max(1, s.ScheduledOccurrences)
}

// DueAt returns the due time of an occurrence; the zero time means immediately.
func (s *Submission) DueAt(occurrence int) time.Time {
	if s.ScheduledOccurrences == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.FirstAtMS + int64(occurrence)*int64(s.PeriodMS))
}

// StepRef identifies a step of an occurrence of a job.
type StepRef struct {
	Job        JobID `json:"job"`
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
}

// TaskRef identifies a task of a job.
type TaskRef struct {
	StepRef
	Index int `json:"index"` // index of the task within its step
}

// String returns the reference in the form JOB/OCCURRENCE/STEP/INDEX.
func (t TaskRef) String() string {
	return string(t.Job) + "/" + strconv.Itoa(t.Occurrence) + "/" + strconv.Itoa(t.Step) + "/" + strconv.Itoa(t.Index)
}

// RunRef identifies a run, one start of a task.
type RunRef struct {
	Task   TaskRef   `json:"task"`
	Number RunNumber `json:"number"`
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run can end.
const (
	EndDone            EndKind = "done"    // completed
	EndFailed          EndKind = "failed"  // the task or its worker failed
	EndStopped         EndKind = "stopped" // stopped by a request of the leader
	EndLeaseExpired    EndKind = "lapsed"  // the worker lease expired
	EndGangMemberEnded EndKind = "broken"  // another member of the gang ended without completing
	EndGangIncomplete  EndKind = "alone"   // the other members of the gang did not start in time
)

// RunProgress is a worker's report on a run that has not ended.
type RunProgress struct {
	Run         RunRef     `json:"run"`
	Checkpoint  Checkpoint `json:"checkpoint,omitempty"`
	PercentDone int        `json:"percent"` // completed share of the work, 0 to 100
}

// RunEnd is a worker's report that a run has ended. The worker sends it again until it is acknowledged.
type RunEnd struct {
	Sequence   int64      `json:"number"` // sequence number of the report within the incarnation of the worker, from 1
	Run        RunRef     `json:"run"`
	Kind       EndKind    `json:"kind"`
	Checkpoint Checkpoint `json:"checkpoint,omitempty"`
}

// WorkerState says whether a worker accepts new tasks.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining" // the worker will stop; the host list calls this state leaving
)

// Worker describes a worker according to the host list or the registry of the platform.
type Worker struct {
	ID             HostID
	Incarnation    int64  // start time of the worker in Unix milliseconds
	Address        string // host:port
	Service        ServiceID
	FailureDomain  DomainID
	Rack           RackID
	Labels         []string
	Capacity       Resources
	State          WorkerState
	MinRemainingMS Millis // minimum time until a draining worker stops
	ColdLeftMS     Millis // time for which the worker was still slow when it was described
	// ColdUntil is the time until which the worker is slow, as far as the list is accurate; zero if it is not.
	ColdUntil time.Time
}

// Queue is the configuration of a queue.
type Queue struct {
	ID             QueueID   `json:"id"`
	Service        ServiceID `json:"service"`
	Priority       Priority  `json:"priority"`
	MaxAttempts    int       `json:"max-attempts"` // number of failed runs of a task, or of its gang, after which the job fails; 0 means no limit
	TargetStretch  float64   `json:"stretch"`      // target duration of a job as a multiple of its critical path, the longest chain of dependent steps
	TargetOffsetMS Millis    `json:"target-ms"`    // added to the target duration of a job
	CallTimeoutMS  Millis    `json:"timeout-ms"`   // maximum duration of a call; 0 leaves it to the caller's deadline
	Public         bool      `json:"public"`       // callers need no API key
}
