package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// worker is a worker as the leader sees it.
type worker struct {
	info     model.Worker
	listed   bool // in the platform's list
	session  *session
	settled  bool      // has answered under this term's fence
	settleBy time.Time // when runs that a former leader ordered have ended in any case
	answers  bool      // the last call got an answer
	closed   bool      // a former leader gave it no tasks but those that the log names

	clock     WorkerTime // at clockAt
	clockAt   time.Time  // of the last answer
	reportAt  time.Time  // of the last report
	leaseEnds time.Time  // no lease that a start granted lasts longer; those of reports are with the session

	incarnation int64
	seen        int64 // last end that was processed
	durable     int64 // last end whose effect is in the log
	acked       int64 // last end that the worker was told to forget
	runs        map[model.RunRef]*run

	health
}

// clockSkew is how much slower a worker's clock may run than true time.
const clockSkew = 1.0205

// leaseSlack covers the error of a worker's clock estimate.
const leaseSlack = 150 * time.Millisecond

// leaseUntil returns the time on the worker's clock at which a lease granted now ends.
func (w *worker) leaseUntil(now time.Time, lease time.Duration) WorkerTime {
	return w.clock + WorkerTime((now.Sub(w.clockAt) + lease).Milliseconds())
}

// granted notes that a lease may have been granted by leaseUntil.
func (w *worker) granted(now time.Time, lease time.Duration) {
	if end := leaseEnd(now, lease+drift(now.Sub(w.clockAt))); end.After(w.leaseEnds) {
		w.leaseEnds = end
	}
}

// drift returns how far the estimate of a worker's clock may be ahead of a slow clock some time after it was read. A
// lease that is asked for until a time on that clock lasts longer by as much.
func drift(since time.Duration) time.Duration {
	return since - time.Duration(float64(since)/clockSkew)
}

// leaseEnd returns when a lease granted at a time has ended for certain, also on a slow clock.
func leaseEnd(at time.Time, lease time.Duration) time.Time {
	return at.Add(time.Duration(float64(lease)*clockSkew) + leaseSlack)
}

// silentFor is how long a worker must have answered nothing before its runs are given up. One that answers orders will
// soon report, and its runs may have ended with a result.
const silentFor = 3 * time.Second

// lapsed reports whether every lease of a silent worker has ended.
func (w *worker) lapsed(now time.Time) bool {
	return now.After(w.leaseEnds) && now.After(w.session.leaseEnds()) && now.Sub(w.clockAt) > silentFor
}

// used returns the room that runs take, and the part of it that is being stopped.
func (w *worker) used() (active, stopping model.Resources) {
	for _, r := range w.runs {
		if r.state == runStopping || r.state == runDoubtful {
			stopping = stopping.Add(r.need)
		} else {
			active = active.Add(r.need)
		}
	}
	return active, stopping
}

// open reports whether the worker may get new tasks.
func (w *worker) open(now time.Time) bool {
	return w.listed && w.settled && w.answers && w.info.State == model.WorkerReady && !now.Before(w.closedUntil)
}

// physical returns the room that nothing takes, runs that are being stopped included.
func (w *worker) physical() model.Resources {
	active, stopping := w.used()
	return w.info.Capacity.Sub(active).Sub(stopping)
}
