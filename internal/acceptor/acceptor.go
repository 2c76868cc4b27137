package acceptor

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// outageRetry is the advice to callers that are refused while the log can't be reached.
	outageRetry = 2 * time.Second
	// shortOutage is how long a call waits for the log: a host that starts, or that changes to a peer's way to the log, has
	// it back within that time, and a refused caller would stay away for longer.
	shortOutage = 400 * time.Millisecond
	// busyRetry is the advice to callers that are refused because the log refuses appends.
	busyRetry = time.Second
)

// LogReader is the host's view of the log.
type LogReader interface {
	// AwaitLog reports whether the log can be reached, and waits at most that long until it can.
	AwaitLog(ctx context.Context, most time.Duration) bool
	// CatchUp returns once the fold holds everything that was in the log when it was called.
	CatchUp(ctx context.Context) error
}

// Acceptor serves callers from the fold and writes what they ask for to the log.
type Acceptor struct {
	Jobs      *journaler.Replica
	Log       LogReader
	Submitter *journaler.BatchAppender
	Logger    hclog.Logger
	Metrics   *Metrics
}

// Metrics counts the answers to callers.
type Metrics struct {
	Submissions *expvar.Map // by outcome
	Cancels     *expvar.Map // by outcome
	Reads       *expvar.Map // by outcome
	Submit      *recorder.HistogramSet
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{Submit: recorder.NewCoarseHistogramSet()}
	for _, p := range []**expvar.Map{&m.Submissions, &m.Cancels, &m.Reads} {
		*p = new(expvar.Map).Init()
	}
	return m
}

// Vars returns the metrics by name.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"submissions": m.Submissions, "cancellations": m.Cancels, "reads": m.Reads, "submit": m.Submit,
	}
}

// Submit accepts a job; once it returns nil the job is in the log and will be run or reported.
func (a *Acceptor) Submit(ctx context.Context, s *model.Submission) error {
	began := time.Now()
	err := a.submit(ctx, s, began)
	outcome := "accepted"
	var e *model.Error
	if errors.As(err, &e) {
		outcome = string(e.Kind)
	}
	a.Metrics.Submissions.Add(outcome, 1)
	a.Metrics.Submit.Record(string(s.Queue.ID), time.Since(began))
	return err
}

func (a *Acceptor) submit(ctx context.Context, s *model.Submission, began time.Time) error {
	if _, _, known := a.Jobs.JobState(s.ID); known {
		a.Logger.Info("job is known already", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID)
		return nil
	}
	if !a.Log.AwaitLog(ctx, shortOutage) {
		return a.refuse(s, model.ErrorKindLogUnavailable, "the log can't be reached", outageRetry, 0)
	}
	term, _ := a.Jobs.Term()
	if v := admitter.Decide(term.Load, s); !v.Accept {
		return a.refuse(s, model.ErrorKindOverloaded, "the work ahead of the job takes too long", v.RetryAfter, v.Wait)
	}
	s.SentAtMS = began.UnixMilli()
	r, err := journaler.NewSubmissionRecord(s)
	if err != nil {
		return err
	}
	switch err := a.Submitter.Append(ctx, r); {
	case err == nil:
		a.Logger.Info("job accepted", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "priority", s.Queue.Priority,
			"steps", len(s.Steps), "took-ms", time.Since(began).Milliseconds())
		return nil
	case errors.Is(err, journaler.ErrRejected):
		return a.refuse(s, model.ErrorKindLogUnavailable, "the log refused the job", busyRetry, 0)
	default:
		a.Logger.Warn("job may have been accepted", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID,
			"took-ms", time.Since(began).Milliseconds(), "error", err)
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindDeadline, Message: "the log gave no answer in time",
			Remedy: "repeat with the same id",
		}
	}
}

func (a *Acceptor) refuse(s *model.Submission, kind model.ErrorKind, why string, retry, wait time.Duration) error {
	a.Logger.Info("job refused", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "kind", kind, "reason", why,
		"wait-ms", wait.Milliseconds(), "retry-after-ms", retry.Milliseconds())
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: kind, Message: why, Remedy: "retry later",
		RetryAfterMS: model.Millis(retry.Milliseconds()),
	}
}

// JobState returns the state of a job of the workspace.
func (a *Acceptor) JobState(ctx context.Context, id model.JobID, ws model.WorkspaceID) (model.JobState, error) {
	st, owner, ok := a.Jobs.JobState(id)
	if !ok {
		if err := a.Log.CatchUp(ctx); err != nil {
			a.Metrics.Reads.Add("unavailable", 1)
			return "", unavailable(err)
		}
		st, owner, ok = a.Jobs.JobState(id)
	}
	if !ok || owner != ws {
		a.Metrics.Reads.Add("unknown", 1)
		a.Logger.Info("job is not known", "job", id, "workspace", ws, "known", ok)
		return "", notFound(id)
	}
	a.Metrics.Reads.Add("known", 1)
	return st, nil
}

// Cancel cancels a job of the workspace; a cancellation outlasts a submission that is still on its way.
func (a *Acceptor) Cancel(ctx context.Context, id model.JobID, ws model.WorkspaceID) error {
	err := a.cancel(ctx, id, ws)
	outcome := "accepted"
	var e *model.Error
	if errors.As(err, &e) {
		outcome = string(e.Kind)
	}
	a.Metrics.Cancels.Add(outcome, 1)
	a.Logger.Info("cancellation answered", "job", id, "workspace", ws, "outcome", outcome)
	return err
}

func (a *Acceptor) cancel(ctx context.Context, id model.JobID, ws model.WorkspaceID) error {
	st, owner, ok := a.Jobs.JobState(id)
	if ok && owner != ws {
		return notFound(id)
	}
	if ok && st.IsFinal() {
		return nil
	}
	if !a.Log.AwaitLog(ctx, shortOutage) {
		return unavailable(journaler.ErrRejected)
	}
	r, err := journaler.NewCancellationRecord(id, ws)
	if err != nil {
		return err
	}
	switch err := a.Submitter.Append(ctx, r); {
	case errors.Is(err, journaler.ErrRejected):
		return unavailable(err)
	case err != nil:
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindDeadline, Message: "the log gave no answer in time",
			Remedy: "repeat the cancellation",
		}
	}
	if ok {
		return nil
	}
	if err := a.Log.CatchUp(ctx); err != nil {
		return unavailable(err)
	}
	if _, owner, ok := a.Jobs.JobState(id); !ok || owner != ws {
		return notFound(id)
	}
	return nil
}

// WaitingJobs returns the number of jobs of a queue for which no task has started, unless the log can't be reached: a host that
// has not read it would say that none waits.
func (a *Acceptor) WaitingJobs(ctx context.Context, q model.QueueID) (int, error) {
	if !a.Log.AwaitLog(ctx, shortOutage) {
		a.Metrics.Reads.Add("unavailable", 1)
		return 0, unavailable(errors.New("acceptor: the jobs are not up to date"))
	}
	return a.Jobs.QueuedJobCount(q), nil
}

func unavailable(err error) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindLogUnavailable, Message: "the log can't be reached: " + err.Error(),
		Remedy: "retry later", RetryAfterMS: model.Millis(busyRetry.Milliseconds()),
	}
}

func notFound(id model.JobID) error {
	return &model.Error{Kind: model.ErrorKindNotFound, Message: "no job " + string(id) + " in the workspace", Remedy: "check the id and the key"}
}
