package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// stopRetryDelay is the delay before a failed stop request is retried. It doubles with each failure, up to maxStopDoublings times and
	// to maxStopRetryDelay.
	stopRetryDelay    = 300 * time.Millisecond
	maxStopDoublings  = 4
	maxStopRetryDelay = 3 * time.Second
)

// stopRequests counts the stop requests of a run on one worker. Only the newest is retried after a failure, so that a request that is sent
// at once replaces one that waits for its delay or for a response.
type stopRequests struct {
	newest   int // number of the newest stop request; 0 before the first
	failures int // number of failures in a row of the newest one and those that it retries
}

// isNewest reports whether an event is the outcome of the newest stop request.
func (s *stopRequests) isNewest(e *stopEvent) bool { return e.number == s.newest }

// nextDelay counts a failure and returns the delay before the next stop request.
func (s *stopRequests) nextDelay() time.Duration {
	s.failures++
	return min(stopRetryDelay<<min(s.failures-1, maxStopDoublings), maxStopRetryDelay)
}

// requestStop sends a stop request of a run after a delay.
func (d *Dispatcher) requestStop(w *worker, ref model.RunRef, s *stopRequests, delay time.Duration) {
	s.newest++
	w.session.sendStop(w.info, StopRequest{Run: ref, Fence: d.Term.Fence}, s.newest, delay, d.pacer.Timeout())
}

// repeatStops sends the stop requests of runs whose start request may still arrive to a worker that has restarted, whether the former
// process has confirmed them or not. The new process would carry out the start request.
func (d *Dispatcher) repeatStops(w *worker) {
	for _, r := range w.runs {
		if r.startConfirmedAt.IsZero() && (r.state == runStopping || r.state == runUnconfirmed) {
			r.stopConfirmedAt, r.stops.failures = time.Time{}, 0
			d.sendStop(r, 0)
		}
	}
}
