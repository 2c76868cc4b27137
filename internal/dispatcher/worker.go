package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// worker is the leader's view of a worker.
type worker struct {
	info                 model.Worker
	listed               bool // the platform's current list contains the worker
	session              *session
	hasReported          bool      // the worker has reported in this term, and so rejects former leaders
	formerLeasesEndAt    time.Time // when all leases of former leaders have certainly ended
	isResponding         bool      // the last call was answered
	closedByFormerLeader bool      // a former leader had closed the worker; the log names all its runs

	clock            WorkerTime // clock of the worker at clockAt
	clockAt          time.Time  // time of the last response
	lastReportAt     time.Time  // time of the last report
	startLeasesEndAt time.Time  // end of the latest lease granted by a start request; the session tracks those granted by renewals

	incarnation  int64 // of the last report; 0 before the first one
	processedEnd int64 // sequence number of the last run end that was processed
	durableEnd   int64 // sequence number of the last run end whose effect is in the log
	ackedEnd     int64 // sequence number of the last run end that was acknowledged to the worker
	runs         map[model.RunRef]*run

	health
}

// maxClockSkew is the factor by which a worker's clock may run slower than real time.
const maxClockSkew = 1.0205

// leaseMargin covers the error of the estimated time on a worker's clock.
const leaseMargin = 150 * time.Millisecond

// leaseUntil returns the time on the worker's clock at which a lease granted now expires.
func (w *worker) leaseUntil(now time.Time, lease time.Duration) WorkerTime {
	return w.clock + WorkerTime((now.Sub(w.clockAt) + lease).Milliseconds())
}

// recordStartLease records that a start request may have granted a lease until the time that leaseUntil returns.
func (w *worker) recordStartLease(now time.Time, lease time.Duration) {
	if end := leaseEnd(now, lease+clockDrift(now.Sub(w.clockAt))); end.After(w.startLeasesEndAt) {
		w.startLeasesEndAt = end
	}
}

// clockDrift returns how far the estimate of a worker's clock may be ahead of a slow clock, given the time since it was read.
// A lease that is requested until a time on that clock lasts longer by as much.
func clockDrift(since time.Duration) time.Duration {
	return since - time.Duration(float64(since)/maxClockSkew)
}

// leaseEnd returns when a lease granted at the given time has certainly ended, even on a slow clock.
func leaseEnd(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)*maxClockSkew) + leaseMargin)
}

// minSilence is the minimum time without any response from a worker before its runs are dropped. A worker that still answers
// requests will soon send a report, and its runs may have ended with a result.
const minSilence = 3 * time.Second

// leasesExpired reports whether the worker has been silent for minSilence and all its leases have ended.
func (w *worker) leasesExpired(now time.Time) bool {
	return now.After(w.startLeasesEndAt) && now.After(w.session.latestLeaseEnd()) && now.Sub(w.clockAt) > minSilence
}

// usedResources returns the resources of active runs and, separately, those of runs that are being stopped.
func (w *worker) usedResources() (active, stopping model.Resources) {
	for _, r := range w.runs {
		if r.state == runStopping || r.state == runUnconfirmed {
			stopping = stopping.Add(r.need)
		} else {
			active = active.Add(r.need)
		}
	}
	return active, stopping
}

// isSchedulable reports whether the worker accepts new tasks.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.listed && w.hasReported && w.isResponding && w.info.State == model.WorkerReady && !now.Before(w.quarantinedUntil)
}

// unoccupiedResources returns the resources that no run takes; runs that are being stopped still take theirs.
func (w *worker) unoccupiedResources() model.Resources {
	active, stopping := w.usedResources()
	return w.info.Capacity.Sub(active).Sub(stopping)
}
