package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a log that fills the links between regions: each end of a run wrote the records of all jobs of which a
// task had started, and all hosts read them.
func TestRecordsOfStartsWait(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	other := f.addJob(journaler.Job{Submission: submission("other", 1, 1)}, f.now)
	f.startRun(other.steps[0].tasks[0], f.w, 1, f.now)
	f.report(20, model.RunEnd{Sequence: 1, Run: f.run(1), Kind: model.EndFailed})
	f.journal.renewAt = f.after(10_000)
	f.fleetDirty = false
	b, err := f.journal.batch(f.after(30))
	is.NoErr(err)
	is.Equal(len(b.records), 1) // of the job whose run has ended
	is.True(!f.journal.dueAt().Before(f.now.Add(lazyGap)))
	b, err = f.journal.batch(f.after(1000))
	is.NoErr(err)
	is.Equal(len(b.records), 1) // of the other one
	is.Equal(len(f.journal.dirty), 0)
}

// Guards against runs that the next leader does not know: a list that calls a worker closed promises that the log names all
// that it runs.
func TestClosedWorkersNeedAllRecords(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.journal.renewAt = f.after(10_000)
	f.fleetDirty = true
	b, err := f.journal.batch(f.after(30))
	is.NoErr(err)
	is.Equal(len(b.records), 2) // the job and the list
}
