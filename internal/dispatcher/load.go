package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// pendingLoad returns the schedulable capacity in accelerators, and the remaining work of each priority as the accelerator-seconds of the
// capacity that it fills by the scarcest resource, without what runs in evacuated failure domains.
func (d *Dispatcher) pendingLoad(now time.Time) journaler.Load {
	var load journaler.Load
	var capacity model.Resources
	for _, w := range d.workers {
		if w.isSchedulable(now) {
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	load.Capacity = capacity.Accelerators
	load.AllEvacuated = load.Capacity == 0 && d.allEvacuated()
	var b backlog
	for _, j := range d.jobs {
		if !j.state.IsFinal() {
			b.addJob(j, now)
		}
	}
	b.publish(&load, capacity, d.entitlements.Guaranteed)
	d.Metrics.setBacklog(load)
	return load
}

// maxPriorities is the number of priorities whose work is counted. The load ignores priorities beyond it; the demand for headroom
// counts them as the last one.
const maxPriorities = 16

// remainingWork estimates the work that the job still needs, from its estimated run times and its progress.
func (j *job) remainingWork(now time.Time) resourceSeconds {
	var sum resourceSeconds
	for _, s := range j.steps {
		perTask := float64(s.spec.EstimatedRunMS) / 1000
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.activeRun != nil && t.activeRun.state == runRunning && t.activeRun.worker.evacuated:
			case t.activeRun != nil && t.activeRun.state == runRunning:
				sum = sum.add(s.spec.Need, t.activeRun.estimateRemaining(now).Seconds())
			default:
				sum = sum.add(s.spec.Need, perTask)
			}
		}
	}
	return sum
}
