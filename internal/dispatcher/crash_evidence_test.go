package dispatcher

import (
	"context"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// crashFixture is a fixture that plays what a worker shows of itself, at milliseconds after the start request of its run.
type crashFixture struct{ *fixture }

// failStart lets the start request of run 1 fail.
func (f crashFixture) failStart(ms int, err error) {
	(&startEvent{worker: "w0", run: f.runID(1), sentAt: f.now, respondedAt: f.later(ms), err: err}).apply(f.Dispatcher, f.later(ms))
}

// confirmStart confirms run 1.
func (f crashFixture) confirmStart(ms int) {
	(&startEvent{worker: "w0", run: f.runID(1), sentAt: f.now, respondedAt: f.later(ms)}).apply(f.Dispatcher, f.later(ms))
}

// failReport lets a lease renewal fail.
func (f crashFixture) failReport(ms int, err error) {
	(&reportEvent{worker: "w0", sentAt: f.later(ms - 1), respondedAt: f.later(ms), err: err, handled: make(chan struct{})}).apply(f.Dispatcher, f.later(ms))
}

// report reports a process that runs nothing and started some milliseconds before. The worker is listed again.
func (f crashFixture) report(ms int, incarnation int64, age int) {
	f.workers["w0"], f.worker.listed = f.worker, true
	r := Report{Incarnation: incarnation, Clock: WorkerTime(age)}
	e := &reportEvent{worker: "w0", report: r, sentAt: f.later(ms - 1), respondedAt: f.later(ms), handled: make(chan struct{})}
	e.apply(f.Dispatcher, f.later(ms))
}

// lose drops the runs of the worker, whose entry has expired, and checks all workers then.
func (f crashFixture) lose(ms int) {
	f.worker.listed = false
	f.dropLostRuns(f.worker, f.later(ms))
	f.checkWorkers(f.later(ms))
}

var errReplaced = &RefusedError{Reason: RefusedWrongWorker}

// Guards against jobs that fail although no run of them has begun, since a start request was swallowed or reset by a cut.
func TestStartThatWasOnlySentIsNoCrash(t *testing.T) {
	for name, play := range map[string]func(crashFixture){
		"silent, crashes behind the cut, another uses its address": func(f crashFixture) {
			f.failStart(300, context.DeadlineExceeded)
			f.failReport(5500, errReplaced)
			f.lose(6500)
		},
		"silent, crashes behind the cut, restarts": func(f crashFixture) {
			f.failStart(300, context.DeadlineExceeded)
			f.report(5500, 2, 100)
		},
		"silent, restarts at once": func(f crashFixture) {
			f.failStart(300, context.DeadlineExceeded)
			f.report(400, 2, 50)
		},
		"reset, lives, restarts later": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.report(300, 1, 90_000)
			f.report(1000, 2, 100)
		},
		"reset, lives but is not heard in time, restarts later": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.lose(6500)
			f.report(7000, 1, 90_000)
			f.report(8000, 2, 100)
		},
		"reset, crashes behind the cut, restarts": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.report(5500, 2, 100)
		},
		"reset, had restarted before": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.report(300, 2, 2000)
		},
		"reset, was cut off before, another uses its address": func(f crashFixture) {
			f.task.activeRun.workerSeenAt = f.later(-5000)
			f.failStart(10, syscall.ECONNRESET)
			f.failReport(5500, errReplaced)
			f.lose(6500)
		},
		"reset, was cut off before, gone": func(f crashFixture) {
			f.task.activeRun.workerSeenAt = f.later(-5000)
			f.failStart(10, syscall.ECONNRESET)
			f.lose(6500)
			f.checkWorkers(f.later(60_000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crashFixture{newFixture(t)}
			play(f)
			is.Equal(f.task.crashes, 0)
			f.checkWorkers(f.later(60_000))
			is.Equal(f.task.crashes, 0)
			is.True(!f.task.isSuspect())
		})
	}
}

// Guards against a task that crashes worker after worker before any of them responds, and is never found.
func TestCrashBeforeResponseCounts(t *testing.T) {
	for name, play := range map[string]func(crashFixture){
		"restarts": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.report(3010, 2, 100)
		},
		"restarts after its lease": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.lose(6500)
			f.report(7000, 2, 5000)
		},
		"another uses its address": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.failReport(3000, errReplaced)
			f.lose(6500)
		},
		"another uses its address later": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.dropLostRuns(f.worker, f.later(6500))
			f.failReport(7000, errReplaced)
			f.checkWorkers(f.later(7500))
		},
		"gone": func(f crashFixture) {
			f.failStart(10, syscall.ECONNRESET)
			f.lose(6500)
			f.checkWorkers(f.later(6500 + int(goneTime.Milliseconds())))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crashFixture{newFixture(t)}
			play(f)
			is.Equal(f.task.crashes, 1)
			f.checkWorkers(f.later(60_000))
			is.Equal(f.task.crashes, 1) // counted once
			is.Equal(f.task.possibleCrashes, 0)
		})
	}
}

// Guards against a cut of the network that counts as a crash under a run that has begun, and against a crash that does not count.
func TestCutUnderRunIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		play    func(crashFixture)
		crashes int
	}{
		"lives":                            {func(f crashFixture) { f.report(9000, 1, 90_000) }, 0},
		"lives, crashes long after":        {func(f crashFixture) { f.report(30_000, 2, 100) }, 0},
		"restarts":                         {func(f crashFixture) { f.report(7000, 2, 5000) }, 1},
		"another uses its address":         {func(f crashFixture) { f.failReport(7000, errReplaced) }, 1},
		"gone":                             {func(crashFixture) {}, 1},
		"lives, entry expired for a while": {func(f crashFixture) { f.checkWorkers(f.later(9000)); f.report(12_000, 1, 90_000) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crashFixture{newFixture(t)}
			f.worker.lastStartAt, f.worker.startLeaseEndsAt = f.now, f.later(6400)
			f.worker.session.maxLease = 0
			f.confirmStart(10)
			f.failReport(100, syscall.ECONNRESET)
			f.dropLostRuns(f.worker, f.later(6500))
			is.Equal(f.task.crashes, 0) // not known yet
			is.True(f.task.isSuspect())
			f.worker.listed = false
			c.play(f)
			f.checkWorkers(f.later(40_000))
			f.checkWorkers(f.later(60_000))
			is.Equal(f.task.crashes, c.crashes)
			is.Equal(f.task.possibleCrashes, 0)
		})
	}
}

// Guards against the end of a worker that drains, which ends its runs as announced, and counts as a crash under them.
func TestEndOfDrainingWorkerIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := crashFixture{newFixture(t)}
	f.confirmStart(10)
	f.list(100, model.WorkerDraining, 1)
	f.failReport(3000, syscall.ECONNREFUSED)
	f.lose(6500)
	f.checkWorkers(f.later(60_000))
	is.Equal(f.task.crashes, 0)
}

// Guards against a crash that counts against a run that has worked for long, beside one that has just begun.
func TestCrashCountsAgainstNewestRun(t *testing.T) {
	is := is.New(t)
	f := crashFixture{newFixture(t)}
	f.confirmStart(10)
	old := f.task
	f.task = f.addJob(journaler.Job{Submission: newSubmission("other", 1, 1)}, f.now).steps[0].tasks[0]
	e := &reportEvent{
		worker: "w0", sentAt: f.later(2900), respondedAt: f.later(3000), handled: make(chan struct{}),
		report: Report{Incarnation: 1, Running: []model.RunProgress{{Run: model.RunRef{Task: old.ref(), Number: 1}}}},
	}
	e.apply(f.Dispatcher, f.later(3000))
	f.startRun(f.task, f.worker, 1, f.later(3000))
	f.confirmStart(3010)
	f.report(6000, 2, 100)
	is.Equal(f.task.crashes, 1)
	is.Equal(old.crashes, 0)
}

// Guards against a crash that counts against a run that has begun a moment before, beside the start request under which the worker ended.
func TestCrashCountsAgainstStartThatWasCutOff(t *testing.T) {
	is := is.New(t)
	f := crashFixture{newFixture(t)}
	f.confirmStart(10)
	old := f.task
	f.task = f.addJob(journaler.Job{Submission: newSubmission("other", 1, 1)}, f.now).steps[0].tasks[0]
	f.startRun(f.task, f.worker, 1, f.later(500))
	f.failStart(510, syscall.ECONNRESET)
	f.report(3500, 2, 100)
	is.Equal(f.task.crashes, 1)
	is.Equal(old.crashes, 0)
}
