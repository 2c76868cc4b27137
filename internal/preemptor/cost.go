package preemptor

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// CoreSeconds is an amount of work, with an accelerator counted as coresPerAccelerator.
type CoreSeconds float64

// coresPerAccelerator is what an accelerator counts as in the use of a service. The platform's prices count it so.
const coresPerAccelerator = 8

// restartTime is the time that a preempted run loses until it runs again, in addition to its lost work.
const restartTime = 300 * time.Millisecond

// maxCheckpointLoss is the maximum run time whose work a run with checkpoints loses when it is preempted.
const maxCheckpointLoss = 800 * time.Millisecond

// Work returns the work of a task with the given need that runs for a time.
func Work(need model.Resources, d time.Duration) CoreSeconds {
	cores := float64(need.Cores)/1000 + coresPerAccelerator*float64(need.Accelerators)
	return CoreSeconds(cores * d.Seconds())
}

// Run is a run that may be stopped.
type Run struct {
	Need      model.Resources
	Priority  model.Priority
	Elapsed   time.Duration // time for which it has run
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

// Cost returns the accelerator-seconds lost by stopping the run, weighted by the urgency of its job.
func (r *Run) Cost() float64 {
	return (r.LostTime() + restartTime).Seconds() * float64(max(1, r.Need.Accelerators)) * urgencyWeight(r.Priority)
}

// urgencyWeight returns the weight of the work of a priority. Urgent work that starts over misses its target duration.
func urgencyWeight(p model.Priority) float64 {
	switch p {
	case 0:
		return 16
	case 1:
		return 2
	}
	return 1
}
