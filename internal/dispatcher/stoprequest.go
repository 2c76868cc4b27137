package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/retrier"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// requestStop sends a stop request of a run after a delay.
func (d *Dispatcher) requestStop(w *worker, ref model.RunRef, s *retrier.Requests, delay time.Duration) {
	w.session.sendStop(w.info, StopRequest{Run: ref, Fence: d.Term.Fence}, s.Next(), delay, d.pacer.Timeout())
}

// repeatStops sends the stop requests of runs whose start request may still arrive to a worker that has restarted, whether the former
// process has confirmed them or not. The new process would carry out the start request.
func (d *Dispatcher) repeatStops(w *worker) {
	for _, r := range w.runs {
		if r.startConfirmedAt.IsZero() && (r.state == runStopping || r.state == runUnconfirmed) {
			r.stopConfirmedAt = time.Time{}
			r.stops.Reset()
			d.sendStop(r, 0)
		}
	}
}
