package journaler

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Job is a job as folded from the log.
type Job struct {
	Submission     *model.Submission
	AcceptedOffset model.Offset // of the first submission seen; 0 when it came from a snapshot
	Cancelled      bool         // cancelled before a final state was written
	Progress       Progress

	cancelAt model.Offset
	finalAt  model.Offset // of the final state
}

// State returns the state that callers see.
func (j *Job) State() model.JobState {
	switch {
	case j.Cancelled && !j.Progress.State.IsFinal():
		return model.JobCancelled
	case j.Progress.State == "":
		return model.JobQueued
	}
	return j.Progress.State
}

// AcceleratorsInUse returns the accelerators that the log shows as taken by the job.
func (j *Job) AcceleratorsInUse() model.Accelerators {
	n := model.Accelerators(0)
	for i, st := range j.Submission.Steps {
		for k := range j.Submission.Occurrences() {
			for _, tasks := range j.Progress.Steps[StepKey(k, i)].RunningTasks {
				n += st.Need.Accelerators * model.Accelerators(len(tasks))
			}
		}
	}
	return n
}

// Replica is the state of all jobs after the records applied so far; its zero value is empty.
type Replica struct {
	Logger hclog.Logger

	mu      sync.Mutex
	next    model.Offset // of the next record to apply
	jobs    map[model.JobID]*Job
	cancels map[model.JobID]cancelMark // of jobs whose submission is not known
	term    Term
	termAt  model.Offset // first record of the term in force
	seen    uint64       // counts records written by leaders
	loading bool         // a snapshot is being applied
	fleet   []FleetWorker
	hosts   map[model.HostID]HostAddress
	waiting map[model.WorkspaceID]map[model.QueueID]int
}

type cancelMark struct {
	ws model.WorkspaceID
	at model.Offset
}

// Change tells what a record changed.
type Change struct {
	JobID  model.JobID // empty for a term
	Term   *Term
	Offset model.Offset
}

// Apply folds a record and returns what it changed; ok is false for records without effect.
func (f *Replica) Apply(r Record) (c Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.next = max(f.next, r.Offset+1)
	kind, id := cutKey(r.Key)
	c = Change{JobID: id, Offset: r.Offset}
	if len(r.Value) == 0 {
		f.drop(kind, id)
		return c, false
	}
	var err error
	switch kind {
	case kindSubmission:
		ok, err = f.submission(id, r)
	case kindCancellation:
		ok, err = f.cancellation(id, r)
	case kindProgress:
		ok, err = f.progress(id, r)
	case kindHost:
		err = f.hostRecord(model.HostID(id), r)
	case keyFleet:
		err = f.fleetRecord(r)
	case keyTerm:
		ok, err = f.leaderTerm(r)
		t := f.term
		c.Term = &t
	}
	if err != nil {
		f.Logger.Error("a record cannot be read and is left out", "key", r.Key, "offset", r.Offset, "error", err)
		return c, false
	}
	return c, ok
}

func (f *Replica) init() {
	if f.jobs == nil {
		f.jobs = map[model.JobID]*Job{}
		f.cancels = map[model.JobID]cancelMark{}
		f.waiting = map[model.WorkspaceID]map[model.QueueID]int{}
	}
	if f.Logger == nil {
		f.Logger = hclog.NewNullLogger()
	}
}

func (f *Replica) drop(kind string, id model.JobID) {
	switch kind {
	case kindSubmission:
		if j := f.jobs[id]; j != nil {
			f.count(j, -1)
			delete(f.jobs, id)
		}
	case kindCancellation:
		delete(f.cancels, id)
	case kindHost:
		delete(f.hosts, model.HostID(id))
	}
}

// count keeps the number of jobs of each queue for which no task has started.
func (f *Replica) count(j *Job, n int) {
	if j.Submission != nil && j.State() == model.JobQueued {
		ws := j.Submission.Workspace
		if f.waiting[ws] == nil {
			f.waiting[ws] = map[model.QueueID]int{}
		}
		f.waiting[ws][j.Submission.Queue.ID] += n
	}
}

// change applies a change to a job and keeps the counts.
func (f *Replica) change(j *Job, apply func()) {
	f.count(j, -1)
	apply()
	f.count(j, 1)
}

func (f *Replica) submission(id model.JobID, r Record) (bool, error) {
	j := f.jobs[id]
	if j != nil && j.Submission != nil {
		return false, nil // a repeat of the same job
	}
	s := &model.Submission{}
	if err := decode(r.Value, s); err != nil {
		return false, err
	}
	if j == nil {
		j = &Job{}
		f.jobs[id] = j
	}
	f.change(j, func() {
		j.Submission = s
		if !f.loading {
			j.AcceptedOffset = r.Offset
		}
		if m, ok := f.cancels[id]; ok && m.ws == s.Workspace {
			j.Cancelled, j.cancelAt = true, m.at
			if j.Progress.State.IsFinal() && j.finalAt > m.at {
				j.Progress.State = model.JobCancelled // the cancellation came first
			}
		}
	})
	return true, nil
}

func (f *Replica) cancellation(id model.JobID, r Record) (bool, error) {
	var c cancellation
	if err := decode(r.Value, &c); err != nil {
		return false, err
	}
	f.cancels[id] = cancelMark{ws: c.Workspace, at: r.Offset}
	j := f.jobs[id]
	if j == nil || j.Submission == nil || j.Cancelled {
		return false, nil
	}
	if c.Workspace != j.Submission.Workspace || j.Progress.State.IsFinal() {
		return false, nil
	}
	f.change(j, func() { j.Cancelled, j.cancelAt = true, r.Offset })
	return true, nil
}

func (f *Replica) progress(id model.JobID, r Record) (bool, error) {
	var p Progress
	if err := decode(r.Value, &p); err != nil {
		return false, err
	}
	f.seen++
	j := f.jobs[id]
	if j == nil {
		j = &Job{}
		f.jobs[id] = j
	}
	if p.Fence < j.Progress.Fence || j.Progress.State.IsFinal() {
		return false, nil
	}
	if j.Cancelled && p.State.IsFinal() && p.State != model.JobCancelled {
		return false, nil // the cancellation came first, and callers have seen it
	}
	f.change(j, func() { j.Progress = p })
	if p.State.IsFinal() {
		j.finalAt = r.Offset
	}
	return true, nil
}

func (f *Replica) leaderTerm(r Record) (bool, error) {
	var t Term
	if err := decode(r.Value, &t); err != nil {
		return false, err
	}
	f.seen++
	if t.Fence < f.term.Fence || t.Fence == f.term.Fence && t.Nonce != f.term.Nonce {
		return false, nil // the first host that wrote a term has it
	}
	if t.Fence > f.term.Fence {
		f.termAt = r.Offset
	}
	f.term = t
	return true, nil
}

func (f *Replica) fleetRecord(r Record) error {
	var workers []FleetWorker
	if err := decode(r.Value, &workers); err != nil {
		return err
	}
	f.seen++
	f.fleet = workers
	return nil
}

func (f *Replica) hostRecord(id model.HostID, r Record) error {
	var h HostAddress
	if err := decode(r.Value, &h); err != nil {
		return err
	}
	if f.hosts == nil {
		f.hosts = map[model.HostID]HostAddress{}
	}
	f.hosts[id] = h
	return nil
}

// HostAddresses returns where the entry hosts answer their peers.
func (f *Replica) HostAddresses() []HostAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.hosts))
}

// Fleet returns the workers that leaders have used.
func (f *Replica) Fleet() []FleetWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet
}

// NextOffset returns the offset of the next record to apply.
func (f *Replica) NextOffset() model.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Term returns the term in force and the count of records that leaders have written.
func (f *Replica) Term() (Term, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.seen
}

// JobState returns the state and workspace of a job; ok is false when the job is not known.
func (f *Replica) JobState(id model.JobID) (st model.JobState, ws model.WorkspaceID, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	if j == nil || j.Submission == nil {
		return "", "", false
	}
	return j.State(), j.Submission.Workspace, true
}

// QueuedJobCount returns the number of jobs of a queue for which no task has started.
func (f *Replica) QueuedJobCount(q model.QueueID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, queues := range f.waiting {
		n += queues[q]
	}
	return n
}

// QueuedJobCounts returns, for a workspace, the number of jobs of each queue for which no task has started.
func (f *Replica) QueuedJobCounts(ws model.WorkspaceID) map[model.QueueID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.waiting[ws])
}

// Job returns a copy of a job.
func (f *Replica) Job(id model.JobID) (Job, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	if j == nil || j.Submission == nil {
		return Job{}, false
	}
	return *j, true
}

// Jobs returns a copy of every job.
func (f *Replica) Jobs() []Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Job, 0, len(f.jobs))
	for _, j := range f.jobs {
		if j.Submission != nil {
			out = append(out, *j)
		}
	}
	return out
}

// LoadSnapshot replaces the state with a snapshot; the next record to apply has the offset next.
func (f *Replica) LoadSnapshot(records []Record, next model.Offset) {
	f.mu.Lock()
	f.jobs, f.cancels, f.waiting, f.fleet = nil, nil, nil, nil
	f.loading = true
	f.mu.Unlock()
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range records {
		f.Apply(r)
	}
	f.mu.Lock()
	f.loading = false
	f.init()
	f.next = next
	f.mu.Unlock()
}
