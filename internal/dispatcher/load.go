package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// pendingLoad returns the schedulable capacity in accelerators, and the remaining work of each priority in accelerator-seconds, without what
// runs in evacuated failure domains.
func (d *Dispatcher) pendingLoad(now time.Time) journaler.Load {
	var load journaler.Load
	for _, w := range d.workers {
		if w.isSchedulable(now) {
			load.Capacity += w.info.Capacity.Accelerators
		}
	}
	load.AllEvacuated = load.Capacity == 0 && d.allEvacuated()
	for _, j := range d.jobs {
		if j.state.IsFinal() {
			continue
		}
		p := int(j.submission.Queue.Priority)
		for len(load.Backlog) <= p && p < maxPriorities {
			load.Backlog = append(load.Backlog, 0)
		}
		if p < len(load.Backlog) {
			load.Backlog[p] += j.remainingWork(now)
		}
	}
	return load
}

// maxPriorities is the number of priorities whose work is counted. The load ignores priorities beyond it.
const maxPriorities = 16

// remainingWork estimates the accelerator-seconds that the job still needs, from its estimated run times and its progress.
func (j *job) remainingWork(now time.Time) float64 {
	sum := 0.0
	for _, s := range j.steps {
		perTask := float64(s.spec.EstimatedRunMS) / 1000 * float64(max(1, s.spec.Need.Accelerators))
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.activeRun != nil && t.activeRun.state == runRunning && t.activeRun.worker.evacuated:
			case t.activeRun != nil && t.activeRun.state == runRunning:
				sum += t.activeRun.estimateRemaining(now).Seconds() * float64(max(1, s.spec.Need.Accelerators))
			default:
				sum += perTask
			}
		}
	}
	return sum
}
