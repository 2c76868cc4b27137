package dispatcher

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a record that says for long that the end of a worker counts against a task, although the task has no run there.
func TestRecordFollowsEvidenceOfCrashes(t *testing.T) {
	for name, play := range map[string]func(f crashFixture, written func()){
		"reset, worker lives": func(f crashFixture, written func()) {
			f.failStart(10, syscall.ECONNRESET)
			written()
			f.report(300, 1, 90_000)
		},
		"reset, worker lives, run is gone": func(f crashFixture, written func()) {
			f.failStart(10, syscall.ECONNRESET)
			written()
			(&stopEvent{worker: "w0", run: f.runID(1), sentAt: f.later(20), respondedAt: f.later(30)}).apply(f.Dispatcher, f.later(30))
			f.report(300, 1, 90_000)
		},
		"run is gone": func(f crashFixture, written func()) {
			f.confirmStart(10)
			written()
			f.report(300, 1, 90_000)
		},
		"run is lost": func(f crashFixture, written func()) {
			f.confirmStart(10)
			written()
			f.dropLostRuns(f.worker, f.later(12_000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crashFixture{newFixture(t)}
			j := f.task.step.job
			p := j.progressRecord(1)
			written := func() { p = j.progressRecord(1); clear(f.journal.dirty) }
			play(f, written)
			if f.journal.dirty[j.submission.ID] != nil {
				written()
			}
			next := newJob(journaler.Job{Submission: j.submission, Progress: *p}, f.now)
			nt := next.steps[0].tasks[0]
			is.True(nt.formerWorker == "" || nt.formerBlameless) // the next leader counts no later restart of the worker
		})
	}
}

// Guards against a record that names the worker of a former leader's run after that run has ended unnoticed.
func TestRecordDropsRunOfFormerLeader(t *testing.T) {
	is := is.New(t)
	first := crashFixture{newFixture(t)}
	first.confirmStart(10)
	next := first.succeed(t)
	next.report(300, 1, 90_000)
	clear(next.journal.dirty)
	next.waitingTasks(next.task.step, next.later(400))
	is.True(next.journal.dirty["job"] != nil)
	is.Equal(len(next.task.step.progressRecord().RunningTasks), 0)
}

// Guards against a task whose crashes are not counted across leaders, because its record was written before its start was confirmed.
func TestRecordShowsThatRunHasBegun(t *testing.T) {
	is := is.New(t)
	f := crashFixture{newFixture(t)}
	j := f.task.step.job
	j.state = model.JobRunning
	p := j.progressRecord(1)
	clear(f.journal.dirty)
	f.confirmStart(10)
	if f.journal.dirty[j.submission.ID] != nil {
		p = j.progressRecord(1)
	}
	is.True(!newJob(journaler.Job{Submission: j.submission, Progress: *p}, f.now).steps[0].tasks[0].formerBlameless)
}

// Guards against the same where the next leader adopts the run, and dies before the worker ends.
func TestRecordShowsThatAdoptedRunHasBegun(t *testing.T) {
	is := is.New(t)
	next := crashFixture{newFixture(t)}.succeed(t)
	is.True(next.task.formerBlameless) // recorded before the start was confirmed
	clear(next.journal.dirty)
	next.task.step.job.state = model.JobRunning
	next.updateRun(next.worker, model.RunProgress{Run: next.runID(1)}, next.later(300))
	is.True(next.journal.dirty["job"] != nil)
	is.True(!next.task.isBlameless())
}
