package journaler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/internal/sizer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Replica is this host's copy of the cluster state, built by applying the log's records in order. The zero value is empty.
type Replica struct {
	Logger    hclog.Logger
	Recoverer *recoverer.Recoverer // handles panics while a record is applied; the record is skipped

	mu              sync.Mutex
	nextOffset      model.Offset // offset of the next record to apply
	jobs            map[model.JobID]*Job
	cancellations   map[model.JobID][]storedCancellation        // newest one of each workspace, kept because the submission may be applied after its cancellation
	term            Term                                        // newest term
	leaderRecords   uint64                                      // number of applied records that leaders have written
	loadingSnapshot bool                                        // whether a snapshot is being applied
	learnedAt       map[model.JobID]time.Time                   // Job.LearnedAt of the jobs before the snapshot that is being applied
	fleet           []FleetWorker                               // newest list of the workers that a leader uses
	hosts           map[model.HostID]HostAddress                // addresses of the entry hosts
	hostList        []HostAddress                               // values of hosts, see HostAddresses; nil after a change
	queuedCounts    map[model.WorkspaceID]map[model.QueueID]int // number of queued jobs by workspace and queue
	orphans         map[model.JobID]struct{}                    // jobs of which only a cancellation is known
	held            model.Bytes                                 // memory that all jobs take
	heldBy          map[model.WorkspaceID]model.Bytes           // memory that jobs take, by workspace
}

// storedCancellation is the newest cancellation record of a job by a workspace.
type storedCancellation struct {
	workspace model.WorkspaceID
	offset    model.Offset
	learnedAt time.Time // time at which this host learned of the cancellation, by its steady clock
}

// Change describes the effect of a record.
type Change struct {
	JobID  model.JobID  // empty for a term record
	Term   *Term        // current term after a term record, nil for other records
	Offset model.Offset // offset of the record
}

// Apply applies a record and returns what it changed; ok is false when the record has no effect on a job or the term.
func (rep *Replica) Apply(r Record) (c Change, ok bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.init()
	rep.nextOffset = max(rep.nextOffset, r.Offset+1)
	kind, id := splitKey(r.Key)
	c = Change{JobID: id, Offset: r.Offset}
	if len(r.Value) == 0 {
		rep.applyTombstone(kind, id)
		return c, false
	}
	err := rep.Recoverer.Call("replica", func() (err error) {
		ok, err = rep.applyValue(kind, id, r)
		return err
	})
	if kind == keyTerm {
		t := rep.term
		c.Term = &t
	}
	if err != nil {
		rep.Logger.Error("ignoring undecodable record", "key", r.Key, "offset", r.Offset, "error", err)
		return c, false
	}
	return c, ok
}

// applyValue applies a record that has a value. It reports whether the record has an effect on a job or the term.
func (rep *Replica) applyValue(kind string, id model.JobID, r Record) (ok bool, err error) {
	switch kind {
	case kindSubmission:
		return rep.applySubmission(id, r)
	case kindCancellation:
		return rep.applyCancellation(id, r)
	case kindProgress:
		return rep.applyProgress(id, r)
	case kindHost:
		return false, rep.applyHost(model.HostID(id), r)
	case keyFleet:
		return false, rep.applyFleet(r)
	case keyTerm:
		return rep.applyTerm(r)
	}
	return false, nil
}

func (rep *Replica) init() {
	if rep.jobs == nil {
		rep.jobs = map[model.JobID]*Job{}
		rep.cancellations = map[model.JobID][]storedCancellation{}
		rep.queuedCounts = map[model.WorkspaceID]map[model.QueueID]int{}
		rep.held, rep.heldBy = 0, map[model.WorkspaceID]model.Bytes{}
		rep.orphans = map[model.JobID]struct{}{}
	}
	if rep.Logger == nil {
		rep.Logger = hclog.NewNullLogger()
	}
}

// applyTombstone removes the job, cancellation or host address whose record was deleted from the log.
func (rep *Replica) applyTombstone(kind string, id model.JobID) {
	switch kind {
	case kindSubmission:
		if j := rep.jobs[id]; j != nil {
			rep.adjustQueuedCount(j, -1)
			if j.Submission != nil {
				rep.setHeld(j, 0)
			}
			delete(rep.jobs, id)
		}
	case kindCancellation:
		delete(rep.cancellations, id)
		delete(rep.orphans, id)
	case kindHost:
		delete(rep.hosts, model.HostID(id))
		rep.hostList = nil
	}
}

// adjustQueuedCount adds n to the number of queued jobs of the job's workspace and queue if the job is queued.
func (rep *Replica) adjustQueuedCount(j *Job, n int) {
	if j.Submission != nil && j.State() == model.JobQueued {
		ws := j.Submission.Workspace
		if rep.queuedCounts[ws] == nil {
			rep.queuedCounts[ws] = map[model.QueueID]int{}
		}
		rep.queuedCounts[ws][j.Submission.Queue.ID] += n
	}
}

// updateJob calls apply, which changes the job, and updates the counts of queued jobs.
func (rep *Replica) updateJob(j *Job, apply func()) {
	rep.adjustQueuedCount(j, -1)
	apply()
	rep.adjustQueuedCount(j, 1)
}

func (rep *Replica) applySubmission(id model.JobID, r Record) (bool, error) {
	j := rep.jobs[id]
	s := &model.Submission{}
	if err := decodeSubmission(r.Value, s); err != nil {
		return false, err
	}
	switch {
	case j == nil:
		j = &Job{}
		rep.jobs[id] = j
	case j.Submission != nil:
		return rep.applyFurtherSubmission(id, j, s, r), nil
	case j.Winner != "" && j.Winner != Fingerprint(s):
		return false, nil
	}
	rep.setSubmission(id, j, s, r)
	return true, nil
}

// setSubmission sets the submission of a job that has none. The caller holds rep.mu.
func (rep *Replica) setSubmission(id model.JobID, j *Job, s *model.Submission, r Record) {
	rep.updateJob(j, func() {
		j.Submission, j.submissionOffset, j.LearnedAt = s, r.Offset, time.Now()
		if at, ok := rep.learnedAt[id]; ok {
			j.LearnedAt = at
		}
		if !rep.loadingSnapshot {
			j.AcceptedOffset = r.Offset
		}
		if c, ok := rep.cancellationOf(id, s.Workspace); ok {
			j.Cancelled, j.cancelOffset = true, c.offset
			if j.Progress.State.IsFinal() && j.finalOffset > c.offset {
				j.Progress.State = model.JobCancelled // the cancellation precedes the final state in the log
			}
		}
		delete(rep.orphans, id)
		j.recordBytes = len(r.Value)
		rep.setHeld(j, sizer.Held(s, len(r.Value)))
		rep.releaseEnded(j)
	})
}

// cancellationOf returns the newest cancellation of a job by a workspace.
func (rep *Replica) cancellationOf(id model.JobID, ws model.WorkspaceID) (storedCancellation, bool) {
	i := slices.IndexFunc(rep.cancellations[id], func(c storedCancellation) bool { return c.workspace == ws })
	if i < 0 {
		return storedCancellation{}, false
	}
	return rep.cancellations[id][i], true
}

// storeCancellation stores a cancellation in place of an earlier one by the same workspace.
func (rep *Replica) storeCancellation(id model.JobID, c storedCancellation) {
	others := slices.DeleteFunc(rep.cancellations[id], func(x storedCancellation) bool { return x.workspace == c.workspace })
	rep.cancellations[id] = append(others, c)
}

func (rep *Replica) applyCancellation(id model.JobID, r Record) (bool, error) {
	var c cancellation
	if err := decode(r.Value, &c); err != nil {
		return false, err
	}
	rep.storeCancellation(id, storedCancellation{workspace: c.Workspace, offset: r.Offset, learnedAt: time.Now()})
	j := rep.jobs[id]
	if j == nil || j.Submission == nil {
		rep.noteOrphan(id)
		return false, nil
	}
	if j.Cancelled {
		return false, nil
	}
	if c.Workspace != j.Submission.Workspace || j.Progress.State.IsFinal() {
		return false, nil
	}
	rep.updateJob(j, func() { j.Cancelled, j.cancelOffset = true, r.Offset })
	return true, nil
}

func (rep *Replica) applyProgress(id model.JobID, r Record) (bool, error) {
	var p Progress
	if err := decode(r.Value, &p); err != nil {
		return false, err
	}
	rep.leaderRecords++
	j := rep.jobs[id]
	if j == nil {
		j = &Job{}
		rep.jobs[id] = j
	}
	rep.applyWinner(j, p.Winner)
	if p.Fence < j.Progress.Fence || j.Progress.State.IsFinal() {
		return false, nil
	}
	j.endWritten = j.endWritten || p.State.IsFinal()
	if j.Cancelled && p.State.IsFinal() && p.State != model.JobCancelled {
		rep.releaseEnded(j)
		return false, nil // the cancellation precedes the final state in the log, and callers may have seen it
	}
	rep.updateJob(j, func() { j.Progress = p })
	if p.State.IsFinal() {
		j.finalOffset = r.Offset
		rep.releaseEnded(j)
	}
	return true, nil
}

func (rep *Replica) applyTerm(r Record) (bool, error) {
	var t Term
	if err := decode(r.Value, &t); err != nil {
		return false, err
	}
	rep.leaderRecords++
	if t.Fence < rep.term.Fence || t.Fence == rep.term.Fence && t.Nonce != rep.term.Nonce {
		return false, nil // a term belongs to the first host that wrote its fencing token
	}
	rep.term = t
	return true, nil
}

func (rep *Replica) applyFleet(r Record) error {
	var workers []FleetWorker
	if err := decode(r.Value, &workers); err != nil {
		return err
	}
	rep.leaderRecords++
	rep.fleet = workers
	return nil
}

// Fleet returns the workers in the newest fleet record.
func (rep *Replica) Fleet() []FleetWorker {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.fleet
}

// NextOffset returns the offset of the next record to apply.
func (rep *Replica) NextOffset() model.Offset {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.nextOffset
}

// Term returns the newest term and the number of records by leaders that the replica has applied.
func (rep *Replica) Term() (Term, uint64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.term, rep.leaderRecords
}

// LoadSnapshot replaces the jobs, the cancellations and the fleet with those of a snapshot, and applies its term and host
// addresses; next is the offset of the next record to apply.
func (rep *Replica) LoadSnapshot(records []Record, next model.Offset) {
	rep.mu.Lock()
	rep.learnedAt = make(map[model.JobID]time.Time, len(rep.jobs))
	for id, j := range rep.jobs {
		if j.Submission != nil {
			rep.learnedAt[id] = j.LearnedAt
		}
	}
	rep.jobs, rep.cancellations, rep.queuedCounts, rep.fleet = nil, nil, nil, nil
	rep.loadingSnapshot = true
	rep.mu.Unlock()
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range records {
		rep.Apply(r)
	}
	rep.mu.Lock()
	rep.loadingSnapshot, rep.learnedAt = false, nil
	rep.init()
	rep.nextOffset = next
	rep.mu.Unlock()
}
