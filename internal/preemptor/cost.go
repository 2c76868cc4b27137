package preemptor

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// CoreSeconds is an amount of work, with an accelerator counted as CoresPerAccelerator.
type CoreSeconds float64

// CoresPerAccelerator is what an accelerator counts as in the use of a service. The platform's prices count it so.
const CoresPerAccelerator = 8

// restartTime is the time that a preempted run loses until it runs again, in addition to its lost work and its wait for other workers: the
// run ends, its end is reported, the start request waits for its turn on the link of the leader, and a gang waits for its last member.
const restartTime = time.Second

// requeueTime is the time for which a preempted run is expected to wait for other workers. The work that took its place runs for seconds.
const requeueTime = 2 * time.Second

// maxCheckpointLoss is the maximum run time whose work a run with checkpoints loses when it is preempted.
const maxCheckpointLoss = 800 * time.Millisecond

// Work returns the work of a task with the given need that runs for a time.
func Work(need model.Resources, d time.Duration) CoreSeconds {
	cores := float64(need.Cores)/1000 + CoresPerAccelerator*float64(need.Accelerators)
	return CoreSeconds(cores * d.Seconds())
}

// Run is a run that may be stopped.
type Run struct {
	Need      model.Resources
	Elapsed   time.Duration // time for which it has run
	Remaining time.Duration // expected time until it ends on its own
	Resumable bool          // its next run resumes from its last checkpoint
}

// LostTime returns the run time whose work is lost when the run is stopped now.
func (r *Run) LostTime() time.Duration {
	if r.Resumable {
		return min(r.Elapsed, maxCheckpointLoss)
	}
	return r.Elapsed
}

// LostWork returns the work that is thrown away when the run is stopped now.
func (r *Run) LostWork() CoreSeconds { return Work(r.Need, r.LostTime()) }

// Job is what the stop of a run costs beyond the run itself.
type Job struct {
	ID       model.JobID
	Priority model.Priority
	Deadline Deadline
	Work     CoreSeconds // work of all tasks of the step that runs
}

// drop returns the part of its worth that the job loses if the run is stopped.
func (j *Job) drop(r *Run) float64 {
	return j.Deadline.worth(r.Remaining) - j.Deadline.worth(r.Remaining+r.LostTime()+restartTime+requeueTime)
}

// Cost returns what the stop of a run of the job costs, without regard to its other runs.
func (j *Job) Cost(r *Run) CoreSeconds {
	cost := Work(r.Need, r.LostTime()+restartTime)
	if drop := j.drop(r); drop > 0 {
		cost += CoreSeconds(drop) * Work(r.Need, r.Elapsed+r.Remaining)
	}
	return weight(j.Priority) * cost
}

// IsProtected reports whether a run may be stopped only for a guarantee: its task was stopped before, and can still end in time.
func (j *Job) IsProtected(r *Run, stoppedBefore bool) bool {
	return stoppedBefore && j.Deadline.allows(r.Remaining)
}

// Victim is running work that is stopped as a whole: a run, or all members of a gang.
type Victim struct {
	Job  Job
	Runs []Run
}

// weight returns the weight of the work of a priority. It is about the inverse of the work of a job, so that jobs of all priorities are
// worth about the same to their callers.
func weight(p model.Priority) CoreSeconds {
	switch p {
	case 0:
		return 16
	case 1:
		return 2
	}
	return 1
}
