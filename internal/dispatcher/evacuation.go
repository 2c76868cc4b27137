package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxLoggedDomains is the maximum number of failure domains that are logged when their state changes in one event.
const maxLoggedDomains = 32

// evacuationsEvent says that the requests to evacuate failure domains have changed.
type evacuationsEvent struct{}

// UpdateEvacuations notifies the dispatcher that the requests to evacuate failure domains have changed.
func (d *Dispatcher) UpdateEvacuations() { d.post(&evacuationsEvent{}) }

func (e *evacuationsEvent) apply(d *Dispatcher, now time.Time) { d.updateEvacuations(now) }

// updateEvacuations applies the present requests to all workers, and logs the failure domains that have changed. A request that came and
// went since the last event changes nothing; sessions withdraw what they would have sent meanwhile.
func (d *Dispatcher) updateEvacuations(now time.Time) {
	for _, w := range d.workers {
		d.updateEvacuation(w)
	}
	before := d.evacuated
	d.evacuated = d.Evacuator.Domains()
	logged := 0
	for _, domain := range d.evacuated {
		if !slices.Contains(before, domain) && logged < maxLoggedDomains {
			logged++
			workers, runs := d.leftIn(domain, now)
			d.Logger.Info("failure domain evacuated", "domain", domain, "workers", workers, "runs", runs)
		}
	}
	for _, domain := range before {
		if !slices.Contains(d.evacuated, domain) && logged < maxLoggedDomains {
			logged++
			workers, runs := d.leftIn(domain, now)
			d.Logger.Info("failure domain back in use", "domain", domain, "workers", workers, "runs", runs)
		}
	}
	d.countEvacuated(now)
}

// updateEvacuation notes whether the failure domain of a worker is evacuated. The worker then gets no tasks: what is planned there is
// dropped, and start requests that have not been sent are withdrawn. Runs go on.
//
// The fleet record says that the worker gets no tasks, so a successor need not wait for the worker once its runs have ended. The worker gets
// tasks again once a later record says so.
func (d *Dispatcher) updateEvacuation(w *worker) {
	evacuated := d.Evacuator.IsEvacuated(w.info.FailureDomain)
	if evacuated == w.evacuated {
		return
	}
	w.evacuated = evacuated
	d.scheduleUpToDate = false
	d.fleetDirty = true
	if evacuated {
		d.dropPlans(w)
		w.session.withdrawStarts()
		return
	}
	d.journal.appendSoon = d.journal.appendSoon || w.mayGetTasks() // its tasks wait for the fleet record
}

// leftIn returns the number of workers in a failure domain, and of runs on them as countLeft counts them.
func (d *Dispatcher) leftIn(domain model.DomainID, now time.Time) (workers, runs int) {
	return d.countLeft(now, func(w *worker) bool { return w.info.FailureDomain == domain })
}

// countEvacuated updates the metric of evacuated failure domains, and of the workers and runs left there.
func (d *Dispatcher) countEvacuated(now time.Time) {
	workers, runs := d.countLeft(now, func(w *worker) bool { return w.evacuated })
	d.Metrics.setEvacuated(len(d.evacuated), workers, runs)
}

// countLeft returns the number of workers that meet a condition, and of runs on them that are not being stopped. A worker that has not told
// this leader its runs counts with one at least, so that operators don't take the domain as empty after a takeover.
func (d *Dispatcher) countLeft(now time.Time, isIn func(*worker) bool) (workers, runs int) {
	for _, w := range d.workers {
		if !isIn(w) {
			continue
		}
		workers++
		known := 0
		for _, r := range w.runs {
			if r.state == runStarting || r.state == runRunning {
				known++
			}
		}
		if !w.hasReported && now.Before(w.formerLeaseEndsAt) {
			known = max(known, 1)
		}
		runs += known
	}
	return workers, runs
}

// allEvacuated reports whether all workers that could get tasks are in evacuated failure domains, and there are such workers.
func (d *Dispatcher) allEvacuated() bool {
	evacuated := false
	for _, w := range d.workers {
		switch {
		case w.mayGetTasks():
			return false
		case w.listed && w.evacuated:
			evacuated = true
		}
	}
	return evacuated
}

// oldViewLogDelay is the time without starts because of an old view of the requests after which that is logged.
const oldViewLogDelay = time.Second

// oldView is the state of the log lines on an old view of the requests to evacuate failure domains.
type oldView struct {
	since  time.Time // start of the first pass since which the view is too old to start tasks; zero while it is not
	logged bool      // a log line was written since then
}

// logOldView logs that nothing is started because the view of the requests is too old, and the end of that.
func (d *Dispatcher) logOldView(now time.Time) {
	v := &d.oldView
	if d.Evacuator.AllowsStart(now) {
		_, known := d.Evacuator.ViewAge(now)
		switch {
		case v.logged && !known:
			d.Logger.Warn("starting tasks without the requests to evacuate failure domains, which can't be read", "for-ms", now.Sub(v.since).Milliseconds(),
				"remedy", "restore the connection to the operator's records, or set the bound for evacuations to start nothing without them")
		case v.logged:
			d.Logger.Info("requests to evacuate failure domains are confirmed again, starting tasks", "for-ms", now.Sub(v.since).Milliseconds())
		}
		*v = oldView{}
		return
	}
	if v.since.IsZero() {
		v.since = now
	}
	if v.logged || now.Sub(v.since) < oldViewLogDelay {
		return
	}
	v.logged = true
	age, known := d.Evacuator.ViewAge(now)
	d.Logger.Warn("starting no tasks, the requests to evacuate failure domains can't be read", "known", known, "view-age-ms", age.Milliseconds(),
		"remedy", "restore the connection to the operator's records")
}
