package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against leases on the clock of a process that has ended, whose response is processed after the first report of the next one.
func TestResponseOfFormerProcessSetsNoClock(t *testing.T) {
	for _, stop := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(t)
		run := f.runID(1)
		f.applyReport(0)
		e := &reportEvent{worker: "w0", report: Report{Incarnation: 2, Clock: 5}, sentAt: f.later(100), respondedAt: f.later(101), handled: make(chan struct{})}
		e.apply(f.Dispatcher, f.later(101))
		var late event = &startEvent{worker: "w0", run: run, response: Response{Clock: 3_600_000}, sentAt: f.now, respondedAt: f.later(20)}
		if stop {
			f.worker.runs[run].startConfirmedAt = f.now
			late = &stopEvent{worker: "w0", run: run, response: Response{Clock: 3_600_000}, sentAt: f.now, respondedAt: f.later(20)}
		}
		late.apply(f.Dispatcher, f.later(102))
		is.Equal(f.worker.clock, WorkerTime(5))
	}
}
