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

// faultInjector holds the current fault of calls to the log.
type faultInjector struct{ current atomic.Value }

func (f *faultInjector) get() log.CallFault {
	fault, _ := f.current.Load().(log.CallFault)
	return fault
}

func (f *faultInjector) set(fault log.CallFault) { f.current.Store(fault) }

// testLogReader is a LogReader that reads the log only in CatchUp.
type testLogReader struct {
	log       *log.DirectStream
	replica   *journaler.Replica
	reachable bool
}

func (reader *testLogReader) AwaitLog(context.Context, time.Duration) bool { return reader.reachable }

func (reader *testLogReader) CatchUp(ctx context.Context) error {
	b, err := reader.log.Read(ctx, reader.replica.NextOffset(), 0)
	for _, r := range b.Records {
		reader.replica.Apply(r)
	}
	return err
}

func newAcceptor(fault *faultInjector) (*Acceptor, *testLogReader) {
	l := &log.DirectStream{Log: log.New(log.Options{}), StreamName: "jobs", InjectFault: fault.get}
	reader := &testLogReader{log: l, replica: &journaler.Replica{}, reachable: true}
	return &Acceptor{
		Jobs: reader.replica, Follower: reader, Appender: &journaler.BatchAppender{Log: l}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(),
	}, reader
}

func submission(id model.JobID) *model.Submission {
	return &model.Submission{ID: id, Workspace: "w", Queue: model.Queue{ID: "q"}, Steps: []model.Step{{Count: 1}}}
}

// refusal returns the kind and the outcome of an error.
func refusal(err error) (model.ErrorKind, model.Outcome) {
	var e *model.Error
	if !errors.As(err, &e) {
		return "", ""
	}
	return e.Kind, e.Outcome
}

// Guards against refusals that are untrue, and against a lost response of the log reported as a refusal or as an
// acceptance.
func TestAnswersToSubmissions(t *testing.T) {
	is := is.New(t)
	fault := &faultInjector{}
	a, reader := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	is.NoErr(reader.CatchUp(t.Context()))
	is.NoErr(a.Submit(t.Context(), submission("a"))) // a repeated submission is the same job
	n, err := a.QueuedJobCount(t.Context(), "q")
	is.NoErr(err)
	is.Equal(n, 1)
	fault.set(log.FaultUnavailable)
	kind, outcome := refusal(a.Submit(t.Context(), submission("b")))
	is.Equal(kind, model.ErrorKindLogUnavailable)
	is.Equal(outcome, model.OutcomeNotRun)
	reader.reachable = false
	_, outcome = refusal(a.Submit(t.Context(), submission("b")))
	is.Equal(outcome, model.OutcomeNotRun)
	reader.reachable = true
	fault.set(log.FaultResponseLost)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, outcome = refusal(a.Submit(ctx, submission("c")))
	is.Equal(outcome, model.OutcomeUnknown)
	fault.set(log.NoFault)
	is.NoErr(reader.CatchUp(t.Context()))
	_, err = a.JobState(t.Context(), "b", "w")
	kind, _ = refusal(err)
	is.Equal(kind, model.ErrorKindNotFound)
	st, err := a.JobState(t.Context(), "c", "w") // the submission was stored
	is.NoErr(err)
	is.Equal(st, model.JobQueued)
}

// Guards against a host that reports a job as missing before it has read it, and against access to jobs of other
// workspaces.
func TestStateOfUnreadJob(t *testing.T) {
	is := is.New(t)
	fault := &faultInjector{}
	a, reader := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	st, err := a.JobState(t.Context(), "a", "w")
	is.NoErr(err)
	is.Equal(st, model.JobQueued)
	_, err = a.JobState(t.Context(), "a", "other")
	kind, _ := refusal(err)
	is.Equal(kind, model.ErrorKindNotFound)
	fault.set(log.FaultUnavailable)
	_, err = a.JobState(t.Context(), "x", "w")
	kind, _ = refusal(err)
	is.Equal(kind, model.ErrorKindLogUnavailable) // whether the job exists is unknown
	is.True(reader.reachable)
}

// Guards against cancellations that are lost, or that affect jobs of other workspaces.
func TestCancellations(t *testing.T) {
	is := is.New(t)
	fault := &faultInjector{}
	a, reader := newAcceptor(fault)
	is.NoErr(a.Submit(t.Context(), submission("a")))
	kind, _ := refusal(a.Cancel(t.Context(), "a", "other"))
	is.Equal(kind, model.ErrorKindNotFound)
	is.NoErr(a.Cancel(t.Context(), "a", "w"))
	is.NoErr(reader.CatchUp(t.Context()))
	st, err := a.JobState(t.Context(), "a", "w")
	is.NoErr(err)
	is.Equal(st, model.JobCancelled)
	kind, _ = refusal(a.Cancel(t.Context(), "late", "w")) // the submission may still be in transit
	is.Equal(kind, model.ErrorKindNotFound)
	is.NoErr(a.Submit(t.Context(), submission("late")))
	is.NoErr(reader.CatchUp(t.Context()))
	st, err = a.JobState(t.Context(), "late", "w")
	is.NoErr(err)
	is.Equal(st, model.JobCancelled)
}

// Guards against a host that reports no waiting jobs before it has read the log.
func TestWaitingWithoutTheLog(t *testing.T) {
	is := is.New(t)
	a, reader := newAcceptor(&faultInjector{})
	reader.reachable = false
	_, err := a.QueuedJobCount(t.Context(), "q")
	kind, outcome := refusal(err)
	is.Equal(kind, model.ErrorKindLogUnavailable)
	is.Equal(outcome, model.OutcomeNotRun)
}
