package dispatcher

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// list applies a list that shows the worker in the given state.
func (f crashFixture) list(ms int, state model.WorkerState, incarnation int64) {
	info := model.Worker{ID: "w0", State: state, Incarnation: incarnation, Capacity: f.worker.info.Capacity}
	f.updateWorkerList([]model.Worker{info}, f.later(ms))
}

// Guards against the announced end of a draining worker that counts because the list shows its next process before a report does.
func TestEndOfDrainingWorkerThatRestartsIsNoCrash(t *testing.T) {
	for name, play := range map[string]func(crashFixture){
		"listed before the report": func(f crashFixture) {
			f.list(2900, model.WorkerReady, 2)
			f.report(3000, 2, 300)
		},
		"listed after the leases have ended": func(f crashFixture) {
			f.dropLostRuns(f.worker, f.later(6500))
			f.list(6600, model.WorkerReady, 2)
			f.report(7000, 2, 3000)
		},
		"another uses its address": func(f crashFixture) {
			f.failReport(2900, errReplaced)
			f.lose(6500)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crashFixture{newFixture(t)}
			f.confirmStart(10)
			f.list(100, model.WorkerDraining, 1)
			f.failReport(2600, syscall.ECONNRESET)
			play(f)
			f.checkWorkers(f.later(60_000))
			is.Equal(f.task.crashes, 0)
		})
	}
}

// Guards against the announced end of a draining worker that the next leader counts as a crash.
func TestEndOfDrainingWorkerIsNoCrashAcrossLeaders(t *testing.T) {
	is := is.New(t)
	f := crashFixture{newFixture(t)}
	f.confirmStart(10)
	clear(f.journal.dirty)
	f.list(100, model.WorkerDraining, 1)
	is.True(f.journal.dirty["job"] != nil) // the record tells it
	next := f.succeed(t)
	next.report(300, 2, 100)
	next.waitingTasks(next.task.step, next.later(9000))
	is.Equal(next.task.crashes, 0)
}

// Guards against a crash that never counts because the worker, which only the record of the fleet names, was taken for one that drains.
func TestCrashOfFormerWorkerThatIsGoneCounts(t *testing.T) {
	is := is.New(t)
	first := crashFixture{newFixture(t)}
	first.confirmStart(10)
	next := first.succeed(t)
	next.worker.listed, next.worker.info.State = false, model.WorkerDraining // as takeOver adds it
	next.failReport(100, syscall.ECONNREFUSED)
	next.waitingTasks(next.task.step, next.later(5000))
	next.checkWorkers(next.later(6000))
	next.checkWorkers(next.later(60_000))
	is.Equal(next.task.crashes, 1)
	is.Equal(next.task.possibleCrashes, 0)
}
