package acceptor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// faults is what goes wrong with calls to the log now.
type faults struct{ now atomic.Value }

func (f *faults) get() log.DirectFault {
	now, _ := f.now.Load().(log.DirectFault)
	return now
}

func (f *faults) set(now log.DirectFault) { f.now.Store(now) }

// view follows a log when it is told to.
type view struct {
	log  *log.Direct
	fold *journaler.Replica
	up   bool
}

func (v *view) AwaitLog(context.Context, time.Duration) bool { return v.up }

func (v *view) CatchUp(ctx context.Context) error {
	b, err := v.log.Read(ctx, v.fold.NextOffset(), 0)
	for _, r := range b.Records {
		v.fold.Apply(r)
	}
	return err
}

func newAcceptor(fault *faults) (*Acceptor, *view) {
	l := &log.Direct{Log: log.New(log.Options{}), Name: "jobs", Fault: fault.get}
	v := &view{log: l, fold: &journaler.Replica{}, up: true}
	return &Acceptor{
		Jobs: v.fold, Log: v, Submitter: &journaler.BatchAppender{Log: l}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(),
	}, v
}

func submission(id model.JobID) *model.Submission {
	return &model.Submission{ID: id, Workspace: "w", Queue: model.Queue{ID: "q"}, Steps: []model.Step{{Count: 1}}}
}

// refusal returns kind and outcome of an error.
func refusal(err error) (model.ErrorKind, model.Outcome) {
	var e *model.Error
	if !errors.As(err, &e) {
		return "", ""
	}
	return e.Kind, e.Outcome
}

// Guards against refusals that are not true, and a lost answer that is told as a refusal or as an acceptance.
func TestAnswersToSubmissions(t *testing.T) {
	is := is.New(t)
	fault := &faults{}
	a, v := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	is.NoErr(v.CatchUp(t.Context()))
	is.NoErr(a.Submit(t.Context(), submission("a"))) // a repeat is the same job
	n, err := a.WaitingJobs(t.Context(), "q")
	is.NoErr(err)
	is.Equal(n, 1)
	fault.set(log.DirectDown)
	kind, outcome := refusal(a.Submit(t.Context(), submission("b")))
	is.Equal(kind, model.ErrorKindLogUnavailable)
	is.Equal(outcome, model.OutcomeNotRun)
	v.up = false
	_, outcome = refusal(a.Submit(t.Context(), submission("b")))
	is.Equal(outcome, model.OutcomeNotRun)
	v.up = true
	fault.set(log.DirectLost)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, outcome = refusal(a.Submit(ctx, submission("c")))
	is.Equal(outcome, model.OutcomeUnknown)
	fault.set(log.DirectOK)
	is.NoErr(v.CatchUp(t.Context()))
	_, err = a.JobState(t.Context(), "b", "w")
	kind, _ = refusal(err)
	is.Equal(kind, model.ErrorKindNotFound)
	st, err := a.JobState(t.Context(), "c", "w") // it was stored
	is.NoErr(err)
	is.Equal(st, model.JobQueued)
}

// Guards against a host that has not read a job yet and says that there is none, and against other workspaces' eyes.
func TestStateOfUnreadJob(t *testing.T) {
	is := is.New(t)
	fault := &faults{}
	a, v := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	st, err := a.JobState(t.Context(), "a", "w")
	is.NoErr(err)
	is.Equal(st, model.JobQueued)
	_, err = a.JobState(t.Context(), "a", "other")
	kind, _ := refusal(err)
	is.Equal(kind, model.ErrorKindNotFound)
	fault.set(log.DirectDown)
	_, err = a.JobState(t.Context(), "x", "w")
	kind, _ = refusal(err)
	is.Equal(kind, model.ErrorKindLogUnavailable) // it can't be known
	is.True(v.up)
}

// Guards against cancellations that are lost, or that reach jobs of other workspaces.
func TestCancellations(t *testing.T) {
	is := is.New(t)
	fault := &faults{}
	a, v := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	kind, _ := refusal(a.Cancel(t.Context(), "a", "other"))
	is.Equal(kind, model.ErrorKindNotFound)
	is.NoErr(a.Cancel(t.Context(), "a", "w"))
	is.NoErr(v.CatchUp(t.Context()))
	st, err := a.JobState(t.Context(), "a", "w")
	is.NoErr(err)
	is.Equal(st, model.JobCancelled)
	kind, _ = refusal(a.Cancel(t.Context(), "late", "w")) // the submission may still be on its way
	is.Equal(kind, model.ErrorKindNotFound)
	is.NoErr(a.Submit(t.Context(), submission("late")))
	is.NoErr(v.CatchUp(t.Context()))
	st, err = a.JobState(t.Context(), "late", "w")
	is.NoErr(err)
	is.Equal(st, model.JobCancelled)
}

// Guards against a host that has not read the log yet and says that no job waits.
func TestWaitingWithoutTheLog(t *testing.T) {
	is := is.New(t)
	a, v := newAcceptor(&faults{})
	v.up = false
	_, err := a.WaitingJobs(t.Context(), "q")
	kind, outcome := refusal(err)
	is.Equal(kind, model.ErrorKindLogUnavailable)
	is.Equal(outcome, model.OutcomeNotRun)
}
