package reserver

import (
	"encoding/json"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Report is an output of the state machine for the scheduler.
type Report interface{ report() }

// Role is the part that this host plays for its failure domain.
type Role string

// The roles, in the order in which they are taken.
const (
	RoleStandby     Role = "standby"
	RoleTakingOver  Role = "taking-over"
	RolePlanner     Role = "planner"
	RoleSteppedDown Role = "stepped-down"
)

// RoleChanged reports a change of role; all gangs and workers are unknown after a step down.
type RoleChanged struct {
	Role   Role
	Term   model.Term
	Reason string
}

// Member is one member of a gang with its place and last known state.
type Member struct {
	Task   model.TaskID
	Worker model.HostID
	Index  int
	State  workerclient.TaskState
}

// GangStarted reports that all members of a gang run.
type GangStarted struct {
	Gang model.GangID
	Job  model.JobID
	At   time.Time
}

// MemberFailed reports a member that failed, lapsed, disappeared or was not confirmed.
type MemberFailed struct {
	Gang   model.GangID
	Job    model.JobID
	Task   model.TaskID
	Worker model.HostID
	Cause  Cause
	Error  string // the worker's message, only for CauseFailed
}

// Cause says why a member counts as failed.
type Cause string

// The causes; only the first is a statement about the job.
const (
	CauseFailed      Cause = "failed"
	CauseLapsed      Cause = "lapsed"
	CauseDisappeared Cause = "disappeared"
	CauseUnconfirmed Cause = "unconfirmed"
	CauseNotStarted  Cause = "not-started" // the worker refused the start
	CauseStopped     Cause = "stopped"     // stopped or checkpointed without this planner's request
)

// Outcome says how a gang ended.
type Outcome string

// The outcomes of a gang.
const (
	OutcomeFinished  Outcome = "finished"
	OutcomeFailed    Outcome = "failed" // a member failed by itself
	OutcomeStopped   Outcome = "stopped"
	OutcomePreempted Outcome = "preempted"
	OutcomeLost      Outcome = "lost" // a member was lost, or the gang was found incomplete
)

// GangEnded reports that no member of a gang runs any more; repeated after a takeover until acknowledged.
// The receiver compares the attempt with the job's record, since old attempts may be found late.
type GangEnded struct {
	Gang         model.GangID
	Job          model.JobID
	Workspace    model.WorkspaceID
	Outcome      Outcome
	Checkpointed bool // every member saved its state
	Started      bool // some member may have run
	Run          time.Duration
	Error        string       // of the first failed member
	Worker       model.HostID // of the first failed member
	Members      []Member
	Spec         json.RawMessage
}

// GangAdopted reports a complete running gang found at a takeover.
type GangAdopted struct {
	Gang         model.GangID
	Job          model.JobID
	Workspace    model.WorkspaceID
	Accelerators model.Accelerators // per member
	Cores        model.Cores        // per member
	MemoryMB     model.Megabytes    // per member
	Run          time.Duration      // time spent running so far
	Members      []Member
	Spec         json.RawMessage
}

// GangLost reports that a gang can't continue; GangEnded follows once no member can still run.
type GangLost struct {
	Gang   model.GangID
	Job    model.JobID
	Reason string
}

// GangPartial reports, once, a gang of which a part is confirmed running beyond the bound of a partial gang.
type GangPartial struct {
	Gang    model.GangID
	Job     model.JobID
	Since   time.Time
	Running int // members that their workers confirm
	Size    int
	Members []Member
}

// CheckpointDone reports that every member of a preempted gang saved its state; GangEnded follows.
type CheckpointDone struct {
	Gang model.GangID
	Job  model.JobID
}

// GangRefused reports that an attempt was not started; a start before RetryAt is refused again.
type GangRefused struct {
	Gang    model.GangID
	Job     model.JobID
	Worker  model.HostID    // the worker that refused, if one did
	Kind    model.ErrorKind // no-capacity, deadline (no answer in time), not-ready (not accounted for) ...
	RetryAt time.Time
}

// WorkerUp reports a listed worker that acknowledged the term, or whose list entry changed.
type WorkerUp struct{ Host hostclient.Host }

// WorkerDown reports a worker that is unlisted or did not answer for two polls.
type WorkerDown struct {
	Worker model.HostID
	Listed bool
}

// WorkerRestarted reports a worker with a new boot id; its tasks are gone.
type WorkerRestarted struct{ Worker model.HostID }

// WorkerReporting carries the tasks that a worker reported as changed, for usage and run times.
type WorkerReporting struct {
	Worker model.HostID
	Tasks  []workerclient.Task
}

// WorkerOver reports, once, a worker that lists tasks which together hold more than the rack declares for it.
type WorkerOver struct {
	Worker   model.HostID
	Held     Resources
	Declared Resources
	Tasks    []model.TaskID
}

func (RoleChanged) report()     {}
func (GangStarted) report()     {}
func (MemberFailed) report()    {}
func (GangEnded) report()       {}
func (GangAdopted) report()     {}
func (GangLost) report()        {}
func (GangPartial) report()     {}
func (CheckpointDone) report()  {}
func (GangRefused) report()     {}
func (WorkerUp) report()        {}
func (WorkerDown) report()      {}
func (WorkerRestarted) report() {}
func (WorkerReporting) report() {}
func (WorkerOver) report()      {}

// Status is a copy of the reserver's authority for other goroutines.
type Status struct {
	Role        Role
	Term        model.Term
	Highest     model.Term // highest term seen from anyone
	TakenOverAt time.Time  // when a majority had acknowledged the term, zero before
	MajorityAt  time.Time  // latest time at which a majority is known to have held to the term
	FreshUntil  time.Time  // starts are refused after it, until the majority is confirmed again
	NewAfter    time.Time  // jobs accepted after it can't have been started by an earlier planner
	Unaccounted int        // positions and workers not accounted for
	AccountedAt time.Time  // when all of them are accounted for at the latest, as far as is known
	Workers     int        // workers listed as live
	Reachable   int        // of these, those that acknowledged the term and answer
	Gangs       int        // gangs not yet acknowledged
}

// Accounted reports whether a queued job may be started now, or else the time at which to ask again.
// A zero time means that it depends on the majority and can't be told.
func (s Status) Accounted(now, acceptedAt time.Time) (bool, time.Time) {
	if s.Role != RolePlanner || now.After(s.FreshUntil) {
		return false, time.Time{}
	}
	if s.Unaccounted == 0 || acceptedAt.After(s.NewAfter) {
		return true, time.Time{}
	}
	return false, s.AccountedAt
}
