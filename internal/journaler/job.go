package journaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Job is the state of a job according to the records that a replica has applied.
type Job struct {
	Submission     *model.Submission
	AcceptedOffset model.Offset // offset of the first submission record; 0 when loaded from a snapshot
	LearnedAt      time.Time    // time at which this host learned of the job, by its steady clock
	Cancelled      bool         // whether the job was cancelled before a final state was written
	Progress       Progress     // newest progress record
	Winner         string       // fingerprint of the valid submission; empty while there was only one under the ID
	IsContested    bool         // the newest record under the ID may be of another submission

	// submissionOffset is the offset of the first submission record that the replica has applied. A snapshot only has the newest one.
	submissionOffset model.Offset
	cancelOffset     model.Offset // offset of the cancellation record; not used
	finalOffset      model.Offset // offset of the record with the final state
	endWritten       bool         // a leader has written a final state, see Replica.releaseEnded
	recordBytes      int          // size of the submission record
	held             model.Bytes  // memory that the job takes, see Replica.Held
}

// State returns the job's state as shown to callers.
func (j *Job) State() model.JobState {
	switch {
	case j.Cancelled && !j.Progress.State.IsFinal():
		return model.JobCancelled
	case j.Progress.State == "":
		return model.JobQueued
	}
	return j.Progress.State
}

// AcceleratorsInUse returns the number of accelerators that the job's running tasks occupy according to the log.
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

// JobState returns the state and workspace of a job; ok is false when the job is unknown.
func (rep *Replica) JobState(id model.JobID) (st model.JobState, ws model.WorkspaceID, ok bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	j := rep.jobs[id]
	if j == nil || j.Submission == nil {
		return "", "", false
	}
	return j.State(), j.Submission.Workspace, true
}

// QueuedJobCount returns the number of jobs in a queue that have not started a task, over all workspaces.
func (rep *Replica) QueuedJobCount(q model.QueueID) int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	n := 0
	for _, queues := range rep.queuedCounts {
		n += queues[q]
	}
	return n
}

// QueuedJobCounts returns, by queue, the number of a workspace's jobs that have not started a task.
func (rep *Replica) QueuedJobCounts(ws model.WorkspaceID) map[model.QueueID]int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return maps.Clone(rep.queuedCounts[ws])
}

// Job returns a copy of a job and whether the job is known.
func (rep *Replica) Job(id model.JobID) (Job, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	j := rep.jobs[id]
	if j == nil || j.Submission == nil {
		return Job{}, false
	}
	return *j, true
}

// JobCount returns the number of jobs in the log, including ended ones that are kept.
func (rep *Replica) JobCount() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return len(rep.jobs)
}

// Jobs returns a copy of every job whose submission is known, in the order of submission.
func (rep *Replica) Jobs() []Job {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	out := make([]Job, 0, len(rep.jobs))
	for _, j := range rep.jobs {
		if j.Submission != nil {
			out = append(out, *j)
		}
	}
	slices.SortFunc(out, func(a, b Job) int { return cmp.Compare(a.submissionOffset, b.submissionOffset) })
	return out
}
