package budgeter

import (
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/sizer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxPendingTime is longer than the log may take to carry out an append whose outcome is unknown.
	maxPendingTime = 30 * time.Second
	// logInterval limits the log lines about refusals.
	logInterval = 10 * time.Second
)

// Jobs is what a host knows of the accepted jobs and of the other hosts. *journaler.Replica implements it.
type Jobs interface {
	Held(ws model.WorkspaceID) (workspace, total model.Bytes)
	JobState(id model.JobID) (st model.JobState, ws model.WorkspaceID, ok bool)
	HostAddresses() []journaler.HostAddress
}

// Ledger keeps account of the jobs that a host accepts. A nil Ledger admits all.
type Ledger struct {
	Jobs   Jobs
	Memory model.Megabytes // memory limit of this host; 0 means unknown
	Budget model.Bytes     // set by an operator; 0 means that it follows from the memory of the smallest host
	// HostCount returns the number of hosts that accept jobs; nil means that those count which have announced their addresses.
	HostCount func() int
	Logger    hclog.Logger

	refused expvar.Int // number of refused jobs

	mu       sync.Mutex
	pending  map[*Reservation]struct{}
	loggedAt time.Time
}

// Reservation is the memory of a job that is being appended.
type Reservation struct {
	ledger    *Ledger
	id        model.JobID
	workspace model.WorkspaceID
	size      model.Bytes
	expiresAt time.Time // time from which the job counts no more unless it is known; zero while it is being appended
}

// Refusal says why a job was refused.
type Refusal struct {
	TooLarge   bool          // no host can hold the job whatever others it has
	RetryAfter time.Duration // when the caller may return; 0 if TooLarge
}

// Reserve reserves the memory for a job, or refuses it. The wait is the expected time until the work ahead of the job is done.
func (l *Ledger) Reserve(s *model.Submission, wait time.Duration, now time.Time) (*Reservation, *Refusal) {
	if l == nil {
		return nil, nil
	}
	r := &Reservation{ledger: l, id: s.ID, workspace: s.Workspace, size: sizeOf(s)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	if refusal := l.decide(r, wait, now); refusal != nil {
		return nil, refusal
	}
	if l.pending == nil {
		l.pending = map[*Reservation]struct{}{}
	}
	l.pending[r] = struct{}{}
	return r, nil
}

// isPending reports whether the job is being appended already. A retry must not be told that a job which may have been accepted never runs.
// The caller holds l.mu.
func (l *Ledger) isPending(r *Reservation) bool {
	for p := range l.pending {
		if p.id == r.id && p.workspace == r.workspace {
			return true
		}
	}
	return false
}

// Check decides again on a job that has waited for the log. Its reservation stays.
func (r *Reservation) Check(wait time.Duration, now time.Time) *Refusal {
	if r == nil {
		return nil
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	delete(l.pending, r)
	defer func() { l.pending[r] = struct{}{} }()
	return l.decide(r, wait, now)
}

// Release ends the reservation of a job that was not appended.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	delete(r.ledger.pending, r)
}

// Appended ends the reservation once the replica has the job, which was or may have been appended.
func (r *Reservation) Appended(now time.Time) {
	if r == nil {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.expiresAt = now.Add(maxPendingTime)
}

// sizeOf returns the memory that a job takes if its record can't be compressed.
func sizeOf(s *model.Submission) model.Bytes {
	return sizer.Held(s, len(s.Payload)+int(sizer.Steps(s.Steps)))
}

// settle drops the reservations of jobs that the replica has, or that were not appended in time. The caller holds l.mu.
func (l *Ledger) settle(now time.Time) {
	for r := range l.pending {
		if _, _, known := l.Jobs.JobState(r.id); known || !r.expiresAt.IsZero() && now.After(r.expiresAt) {
			delete(l.pending, r)
		}
	}
}

// decide returns the refusal of a job that is not among the pending ones, or nil. The caller holds l.mu.
func (l *Ledger) decide(r *Reservation, wait time.Duration, now time.Time) *Refusal {
	budget, use := l.budget(), l.use(r.workspace)
	if Admits(budget, r.size, use) || l.isPending(r) {
		return nil
	}
	l.refused.Add(1)
	if now.Sub(l.loggedAt) >= logInterval {
		l.loggedAt = now
		l.Logger.Warn("jobs refused for the memory of accepted jobs",
			"remedy", "find the workspace whose jobs are large or do not end and cancel them, or raise the memory of the smallest host",
			"workspace", r.workspace, "job-bytes", r.size, "workspace-bytes", use.Workspace, "held-bytes", use.Total, "pending-bytes", use.Pending,
			"budget-bytes", budget, "smallest-host-mb", l.smallestMemory(), "refused", l.refused.Value())
	}
	if !Fits(budget, r.size) {
		return &Refusal{TooLarge: true}
	}
	return &Refusal{RetryAfter: retryAfter(wait)}
}

// use returns the memory that jobs take. The caller holds l.mu.
func (l *Ledger) use(ws model.WorkspaceID) Use {
	u := Use{Hosts: len(l.Jobs.HostAddresses())}
	if l.HostCount != nil {
		u.Hosts = l.HostCount()
	}
	u.Workspace, u.Total = l.Jobs.Held(ws)
	for r := range l.pending {
		u.Pending += r.size
		if r.workspace == ws {
			u.PendingOwn += r.size
		}
		if r.size > smallJob {
			u.PendingLarge += r.size
		}
	}
	return u
}

func (l *Ledger) budget() model.Bytes {
	if l.Budget > 0 {
		return l.Budget
	}
	return For(l.smallestMemory())
}

// smallestMemory returns the memory of the smallest host that is known; 0 means unknown.
func (l *Ledger) smallestMemory() model.Megabytes {
	smallest := l.Memory
	for _, h := range l.Jobs.HostAddresses() {
		if h.MemoryMB > 0 && (smallest <= 0 || h.MemoryMB < smallest) {
			smallest = h.MemoryMB
		}
	}
	return smallest
}

// Status is the metric of the memory of accepted jobs.
type Status struct {
	Held           model.Bytes     `json:"held-bytes"`    // of all accepted jobs, and of ended ones until their states are no longer owed
	Pending        model.Bytes     `json:"pending-bytes"` // of jobs that are being appended
	Budget         model.Bytes     `json:"budget-bytes"`
	SmallestMemory model.Megabytes `json:"smallest-host-mb"`
	Refused        int64           `json:"refused"` // number of refused jobs
}

// Status returns the metric.
func (l *Ledger) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(time.Now())
	u := l.use("")
	return Status{Held: u.Total, Pending: u.Pending, Budget: l.budget(), SmallestMemory: l.smallestMemory(), Refused: l.refused.Value()}
}
