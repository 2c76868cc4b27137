package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/fitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// pendingLoad returns the schedulable capacity in accelerators, and the remaining work of each priority as the accelerator-seconds of the
// capacity that it fills by the scarcest resource, without what runs in evacuated failure domains and what no worker can ever run.
func (d *Dispatcher) pendingLoad(now time.Time) journaler.Load {
	var load journaler.Load
	var capacity model.Resources
	for _, w := range d.workers {
		if w.isSchedulable(now) {
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	load.Fleet = d.fleet
	load.Capacity = capacity.Accelerators
	load.AllEvacuated = load.Capacity == 0 && d.allEvacuated()
	var b backlog
	for _, j := range d.jobs {
		if !j.state.IsFinal() {
			b.addJob(j, d.fleet, now)
		}
	}
	b.publish(&load, capacity, d.entitlements.Guaranteed)
	load.RunTimes = d.runTimes.published
	d.Metrics.setBacklog(load)
	return load
}

// observeFleet notes the workers that are listed now.
func (d *Dispatcher) observeFleet() {
	listed := fitter.Fleet{}
	for _, w := range d.workers {
		if w.listed {
			listed.Add(w.info.Service, w.info.Capacity)
		}
	}
	d.fleet = d.fleet.Union(listed)
}

// maxPriorities is the number of priorities whose work is counted. The load ignores priorities beyond it.
const maxPriorities = 16
