package dispatcher

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a crash that is not counted because the report that shows it was requested before the run started.
func TestCrashCountsWhateverTheOrderOfEvents(t *testing.T) {
	for _, reportFirst := range []bool{false, true} {
		is := is.New(t)
		f := newFixture(t)
		cutOff := func() {
			(&startEvent{worker: "w0", run: f.runID(1), respondedAt: f.later(10), err: io.EOF}).apply(f.Dispatcher, f.later(10))
		}
		report := func() {
			e := &reportEvent{worker: "w0", report: Report{Incarnation: 2}, sentAt: f.later(-50), respondedAt: f.later(20), handled: make(chan struct{})}
			e.apply(f.Dispatcher, f.later(20))
		}
		if reportFirst {
			report()
			cutOff()
		} else {
			cutOff()
			report()
		}
		is.Equal(f.task.crashes, 1)
		f.dropLostRuns(f.worker, f.later(30))
		is.Equal(f.task.crashes, 1) // counted once
	}
}

// Guards against a restart of a worker that counts twice against a task whose run a former leader started.
func TestCrashUnderAdoptedRunCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.formerRunsKnown = false
	f.removeRun(f.task.activeRun, f.now)
	f.worker.formerIncarnation, f.task.formerWorker = 1, "w0"
	report := func(ms int, incarnation int64, running ...model.RunProgress) {
		e := &reportEvent{worker: "w0", report: Report{Incarnation: incarnation, Running: running}, sentAt: f.later(ms), handled: make(chan struct{})}
		e.apply(f.Dispatcher, f.later(ms+5))
	}
	report(10, 1, model.RunProgress{Run: f.runID(1)})
	is.True(f.task.activeRun != nil) // adopted
	report(20, 2)
	is.Equal(f.task.crashes, 1)
	f.waitingTasks(f.task.step, f.later(50))
	is.Equal(f.task.crashes, 1)
}
