package scheduler

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Planner is the planning state of one failure domain.
type Planner interface {
	// SetConfig puts a configuration in force; set is kept and must not be changed afterwards.
	SetConfig(set *model.Set, domain model.DomainID)
	// SetUsedElsewhere tells the accelerators that workspaces use in other failure domains, for quotas.
	SetUsedElsewhere(used map[model.WorkspaceID]model.Accelerators)
	// UpsertWorker adds a worker or changes its capacity, position or health.
	UpsertWorker(w allocator.Worker, now time.Time)
	// RemoveWorker takes a worker out of planning; its gangs stay until they are reported as ended.
	RemoveWorker(id model.HostID, now time.Time)
	// HoldBefore keeps jobs with a lower offset from starting until it is called with 0 (takeover, all accounted for).
	HoldBefore(offset model.Offset)

	// Admit returns a *model.Error when the job must be refused, else nil.
	Admit(spec *model.JobSpec, now time.Time) error
	// Submit adds an accepted job that has no outcome yet; a known job is left as it is.
	Submit(job model.Job, now time.Time)
	// Cancel forgets a job and returns its gang when one still holds workers; the caller stops it and reports Ended.
	Cancel(id model.JobID, now time.Time) (model.GangID, bool)

	// Adopt takes over a whole gang found running on workers; the job may be submitted before or later.
	Adopt(g Running, now time.Time)
	// Started reports that all members of a gang run.
	Started(id model.GangID, now time.Time)
	// Refused reports that no member of a gang was started; the job waits again after a back-off.
	Refused(id model.GangID, now time.Time)
	// Preempted reports that a gang has stopped after a preempt decision; the job waits again.
	Preempted(id model.GangID, now time.Time)
	// Ended reports that a gang holds no worker any more, and why.
	Ended(id model.GangID, e End, now time.Time)

	// Pass returns the decisions for the current state; the slice is valid until the next pass.
	Pass(now time.Time) []Decision
	// Explain tells why a job waits and what would let it start.
	Explain(id model.JobID, now time.Time) Explanation
	// Usages returns the usage of all workers, sorted by id.
	Usages() []allocator.Usage
	// Stats returns the figures of the domain at this moment.
	Stats(now time.Time) Stats
}

// Decision is one of Start, Preempt, Reject and Fail.
type Decision interface{ decision() }

// Start tells to start a gang attempt: member i runs on Members[i].
type Start struct {
	Job        model.JobID
	Attempt    int
	Gang       model.GangID
	Members    []model.HostID
	Guaranteed bool // within the workspace's guarantee; else lent and preemptible
}

// Preempt tells to checkpoint and stop a lent gang; it is repeated while the gang is not reported as gone.
type Preempt struct {
	Gang     model.GangID
	For      model.JobID
	Deadline time.Time // of the checkpoint; the gang is stopped then in any case
}

// Reject tells that a waiting job can never run under the configuration in force.
type Reject struct {
	Job    model.JobID
	Reason string
}

// Fail tells that a job has failed on enough distinct healthy workers.
type Fail struct {
	Job    model.JobID
	Reason string
}

func (Start) decision()   {}
func (Preempt) decision() {}
func (Reject) decision()  {}
func (Fail) decision()    {}

// Running describes a gang found running on workers.
type Running struct {
	Job       model.JobID
	Attempt   int
	Gang      model.GangID
	Workspace model.WorkspaceID
	Caller    model.CallerID // empty when unknown; Submit fills it in
	Class     model.ClassID  // empty when unknown; Submit fills it in
	Shape     model.Shape
	Members   []model.HostID // worker of each member
	StartedAt time.Time
}

// Reason says why a gang ended.
type Reason string

// The reasons for the end of a gang.
const (
	EndFinished Reason = "finished"
	EndFailed   Reason = "failed"    // a task failed; the job is tried again or fails
	EndLost     Reason = "lost"      // a worker or lease was lost; the job waits again
	EndCanceled Reason = "cancelled" // the job is forgotten
)

// End describes the end of a gang.
type End struct {
	Reason   Reason
	Error    string         // last error of a failed task
	FailedOn []model.HostID // workers whose task failed
	RunMS    model.Millis   // time the gang ran, 0 means since its start
}

// Wait says what a job waits for.
type Wait string

// The causes of waiting.
const (
	WaitUnknown    Wait = "unknown-job"
	WaitRunning    Wait = "running"
	WaitHeld       Wait = "takeover"     // workers are still being asked what they run
	WaitBackoff    Wait = "back-off"     // a start was refused or failed
	WaitQuota      Wait = "quota"        // the workspace's quota is used up
	WaitReclaim    Wait = "reclaim"      // lent gangs are being preempted for it
	WaitCapacity   Wait = "capacity"     // no room of this shape
	WaitReserved   Wait = "reserved"     // holds the reservation
	WaitBehind     Wait = "behind"       // room exists only before a reservation begins
	WaitNextPass   Wait = "next-pass"    // not looked at yet
	WaitImpossible Wait = "never-starts" // cannot run under the configuration in force
)

// Explanation tells why a job waits and what would let it start.
type Explanation struct {
	Wait          Wait         `json:"wait"`
	Message       string       `json:"message"`
	Remedy        string       `json:"remedy,omitempty"`
	Ahead         int          `json:"ahead"`                   // waiting jobs that come first, as of the last pass
	ExpectedStart time.Time    `json:"expected-start,omitzero"` // of a job that holds a reservation
	BehindJob     model.JobID  `json:"behind-job,omitempty"`    // the holder of the reservation it waits for
	Guaranteed    bool         `json:"within-guarantee"`        // the job may use the workspace's guarantee
	Gang          model.GangID `json:"gang,omitempty"`          // when it holds workers
}

// Stats are the figures of one failure domain.
type Stats struct {
	Waiting       int
	RunningGangs  int
	Accelerators  model.Accelerators // of usable workers
	Free          model.Accelerators // among them
	Stranded      float64            // free accelerators that the mix of shapes cannot use
	Fragmentation float64            // Stranded as a share of Free, 0 when none is free
	Preempted     int64              // gangs preempted so far
	Reclaims      int64              // guaranteed starts that needed preemption so far
	Quarantined   int
	// Shortage is what jobs within unused guarantees lack because too few workers are healthy; of jobs of the same
	// workspace and shape it counts the first.
	Shortage model.Accelerators
}
