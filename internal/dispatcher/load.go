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
	load.RunTimes = d.runTimes.published
	return load
}

// maxPriorities is the number of priorities whose work is counted. The load ignores priorities beyond it; the demand for headroom
// counts them as the last one.
const maxPriorities = 16
