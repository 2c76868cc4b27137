package dispatcher

import (
	"context"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// succeed returns a fixture of the next leader, which knows the job and its worker from the records of this one.
func (f crashFixture) succeed(t *testing.T) crashFixture {
	t.Helper()
	j := f.task.step.job
	next := crashFixture{newFixture(t)}
	next.removeRun(next.task.activeRun, next.now)
	next.formerRunsKnown, next.worker.hasReported, next.worker.formerIncarnation = false, false, f.worker.knownIncarnation()
	next.worker.incarnation, next.worker.clockAt, next.worker.formerLeaseEndsAt = 0, next.now.AddDate(0, 0, -1), next.later(4000)
	next.task = next.addJob(journaler.Job{Submission: j.submission, Progress: *j.progressRecord(1)}, next.now).steps[0].tasks[0]
	return next
}

// Guards against a crash that counts twice across a takeover, or under a run whose start was only sent.
func TestCrashAcrossLeaders(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(crashFixture)
		crashes       int
	}{
		"counted, worker restarts again": {
			func(f crashFixture) { f.failStart(10, syscall.ECONNRESET); f.report(300, 2, 100) },
			func(f crashFixture) { f.report(300, 3, 100) }, 1,
		},
		"counted": {
			func(f crashFixture) { f.failStart(10, syscall.ECONNRESET); f.report(300, 2, 100) },
			func(f crashFixture) { f.report(300, 2, 1000) }, 1,
		},
		"start in flight, worker restarts": {
			func(crashFixture) {},
			func(f crashFixture) { f.report(300, 2, 100) }, 0,
		},
		"start without an answer, worker restarts": {
			func(f crashFixture) { f.failStart(300, context.DeadlineExceeded) },
			func(f crashFixture) { f.report(300, 2, 100) }, 0,
		},
		"reset, worker lives, then restarts": {
			func(f crashFixture) { f.failStart(10, syscall.ECONNRESET); f.report(300, 1, 90_000) },
			func(f crashFixture) { f.report(300, 2, 100) }, 0,
		},
		"reset, worker restarts": {
			func(f crashFixture) { f.failStart(10, syscall.ECONNRESET) },
			func(f crashFixture) { f.report(300, 2, 100) }, 1,
		},
		"running, worker restarts": {
			func(f crashFixture) { f.confirmStart(10) },
			func(f crashFixture) { f.report(300, 2, 100) }, 1,
		},
		"running, connections closed until the lease has ended, worker lives": {
			func(f crashFixture) { f.confirmStart(10) },
			func(f crashFixture) {
				f.failReport(100, syscall.ECONNRESET)
				f.waitingTasks(f.task.step, f.later(5000))
				f.report(7000, 1, 90_000)
			}, 0,
		},
		"running, connections closed until the lease has ended, worker restarts": {
			func(f crashFixture) { f.confirmStart(10) },
			func(f crashFixture) {
				f.failReport(100, syscall.ECONNREFUSED)
				f.waitingTasks(f.task.step, f.later(5000))
				f.report(7000, 2, 2000)
			}, 1,
		},
		"running, another worker uses the address": {
			func(f crashFixture) { f.confirmStart(10) },
			func(f crashFixture) { f.failReport(100, errReplaced) }, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := crashFixture{newFixture(t)}
			c.before(first)
			next := first.succeed(t)
			is.Equal(next.task.formerWorker, model.HostID("w0"))
			c.after(next)
			next.waitingTasks(next.task.step, next.later(9000))
			is.Equal(next.task.crashes, c.crashes)
			is.Equal(next.task.possibleCrashes, 0)
		})
	}
}
