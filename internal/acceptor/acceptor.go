package acceptor

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/budgeter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/spooler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxLogWait is the time that a cancellation or query waits for the log to be reachable. A host that is starting, or switching
	// to the connection through a peer, reaches the log within that time, and a refused caller would retry only later.
	maxLogWait = 400 * time.Millisecond
	// refusedRetryAfter is the Retry-After hint to callers whose cancellation or query fails because the log can't be reached.
	refusedRetryAfter = time.Second
	// idTakenRetryAfter is the Retry-After hint to callers who use the ID of another workspace's job. It is free once that job has ended and
	// its state is no longer owed.
	idTakenRetryAfter = 30 * time.Second
)

// LogFollower keeps this host's replica of the jobs up to date with the log.
type LogFollower interface {
	// AwaitLog reports whether the log can be reached, and waits up to maxWait until it can.
	AwaitLog(ctx context.Context, maxWait time.Duration) bool
	// CatchUp returns once the replica includes everything that was in the log when CatchUp was called.
	CatchUp(ctx context.Context) error
	// AwaitJob returns once the replica has a job, or the context ends.
	AwaitJob(ctx context.Context, id model.JobID) error
}

// Acceptor serves queries from the replica and appends submissions and cancellations to the log.
type Acceptor struct {
	Jobs     *journaler.Replica       // this host's replica of the jobs
	Follower LogFollower              // keeps Jobs up to date
	Spooler  *spooler.Spooler         // appends submissions
	Ledger   *budgeter.Ledger         // bounds the memory of accepted jobs; nil sets no bound
	Appender *journaler.BatchAppender // appends cancellations
	Logger   hclog.Logger
	Metrics  *Metrics
}

// Metrics holds counters and latencies of calls.
type Metrics struct {
	Submissions   *expvar.Map            // number of submissions per outcome
	Cancellations *expvar.Map            // number of cancellations per outcome
	Reads         *expvar.Map            // number of queries per outcome
	SubmitTime    *recorder.HistogramSet // latency of submissions per queue
}

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics {
	m := &Metrics{SubmitTime: recorder.NewCoarseHistogramSet()}
	for _, p := range []**expvar.Map{&m.Submissions, &m.Cancellations, &m.Reads} {
		*p = new(expvar.Map).Init()
	}
	return m
}

// Vars returns the metrics, keyed by their published names.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"submissions": m.Submissions, "cancellations": m.Cancellations, "reads": m.Reads, "submit": m.SubmitTime,
	}
}

// Submit accepts a job. Once it returns nil, the job is in the log and survives the loss of this host. A job whose id is
// already known is not added again.
func (a *Acceptor) Submit(ctx context.Context, s *model.Submission) error {
	start := time.Now()
	err := a.submit(ctx, s, start)
	outcome := "accepted"
	var e *model.Error
	if errors.As(err, &e) {
		outcome = string(e.Kind)
	}
	a.Metrics.Submissions.Add(outcome, 1)
	a.Metrics.SubmitTime.Record(string(s.Queue.ID), time.Since(start))
	return err
}

func (a *Acceptor) submit(ctx context.Context, s *model.Submission, start time.Time) error {
	if known, err := a.isKnown(s); known {
		a.Logger.Info("job already known", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "refused", err != nil)
		return err
	}
	wait, err := a.admit(s)
	if err != nil {
		return a.unlessKnown(s, err)
	}
	reservation, refused := a.Ledger.Reserve(s, wait, start)
	if refused != nil {
		return a.unlessKnown(s, a.refuseForMemory(s, refused, wait))
	}
	s.AcceptedAtMS = start.UnixMilli()
	r, err := journaler.NewSubmissionRecord(s)
	if err == nil && !r.Fits() {
		err = a.refuseAsTooLarge(s, "the log does not take records as large as that of the job")
	}
	if err != nil {
		reservation.Release()
		return err
	}
	err = a.Spooler.Append(ctx, &spooler.Submission{
		Record: r, Priority: s.Queue.Priority,
		Admit: func() error { return a.unlessKnown(s, a.admitAgain(s, reservation)) },
		Known: func() (bool, error) { return a.isKnown(s) },
	})
	if err == nil {
		err = a.readBack(ctx, s)
	}
	var refusal *spooler.Refusal
	var decided *model.Error
	switch isRefusal := errors.As(err, &refusal); {
	case isRefusal, errors.As(err, &decided):
		reservation.Release()
	default:
		reservation.Appended(time.Now())
	}
	switch {
	case err == nil:
		a.Logger.Info("job accepted", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "priority", s.Queue.Priority,
			"steps", len(s.Steps), "took-ms", time.Since(start).Milliseconds())
		return nil
	case refusal != nil:
		return a.refuse(s, model.ErrorKindLogUnavailable, refusalMessage(refusal.Reason), refusal.RetryAfter, time.Since(start))
	case decided != nil:
		return err
	default:
		a.Logger.Warn("job may have been accepted", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID,
			"took-ms", time.Since(start).Milliseconds(), "error", err)
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindDeadline, Message: "the log gave no answer in time",
			Remedy: "repeat with the same id",
		}
	}
}

// isKnown reports whether the replica has a job under the ID of a submission. The error is that of the submission: it is not accepted if the
// job is of another workspace.
func (a *Acceptor) isKnown(s *model.Submission) (known bool, err error) {
	_, owner, known := a.Jobs.JobState(s.ID)
	if known && owner != s.Workspace {
		err = idTakenError(s.ID)
	}
	return known, err
}

// unlessKnown returns the refusal of a job, or nil if an earlier attempt was accepted meanwhile: a caller who retries must not be told that the
// job never runs.
func (a *Acceptor) unlessKnown(s *model.Submission, refusal error) error {
	if refusal == nil {
		return nil
	}
	if known, err := a.isKnown(s); known {
		return err
	}
	return refusal
}

// readBack waits until the replica has the job of a submission that is in the log. Another workspace may have submitted a job under the same ID
// at another host; the first one in the log is valid, and the other never runs.
func (a *Acceptor) readBack(ctx context.Context, s *model.Submission) error {
	if err := a.Follower.AwaitJob(ctx, s.ID); err != nil {
		return errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	_, err := a.isKnown(s)
	if err != nil {
		a.Logger.Warn("job refused, its id is in use", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID)
	}
	return err
}

// refusalMessage returns why a submission was not appended to the log. It ends with the reason, by which operators find the log line.
func refusalMessage(r spooler.Reason) string {
	cause := "the log can't be reached: "
	switch r {
	case spooler.ReasonDeadline:
		cause = "the caller's time ended before the log could accept the job: "
	case spooler.ReasonBudget:
		cause = "the memory for submissions that wait for the log is used up: "
	}
	return cause + string(r)
}

// admit refuses a job whose result would be worthless after the work ahead of it. It returns the expected time until that is done.
func (a *Acceptor) admit(s *model.Submission) (wait time.Duration, err error) {
	term, _ := a.Jobs.Term()
	decision := admitter.Decide(term.Load, s)
	if !decision.Accepted {
		err = a.refuse(s, model.ErrorKindOverloaded, decision.Reason, decision.RetryAfter, decision.Wait)
	}
	return decision.Wait, err
}

// admitAgain decides on a job that was held, by the load and the memory of accepted jobs at its append.
func (a *Acceptor) admitAgain(s *model.Submission, r *budgeter.Reservation) error {
	wait, err := a.admit(s)
	if err != nil {
		return err
	}
	if refused := r.Check(wait, time.Now()); refused != nil {
		return a.refuseForMemory(s, refused, wait)
	}
	return nil
}

// refuseForMemory refuses a job for which the hosts have no memory.
func (a *Acceptor) refuseForMemory(s *model.Submission, r *budgeter.Refusal, wait time.Duration) error {
	if !r.TooLarge {
		return a.refuse(s, model.ErrorKindOverloaded, "the memory for accepted jobs is used up", r.RetryAfter, wait)
	}
	return a.refuseAsTooLarge(s, "the job takes more memory than the hosts have for jobs")
}

// refuseAsTooLarge refuses a job that would be refused whenever it came.
func (a *Acceptor) refuseAsTooLarge(s *model.Submission, reason string) error {
	a.Logger.Info("job refused", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "kind", model.ErrorKindTooLarge,
		"reason", reason, "steps", len(s.Steps))
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindTooLarge, Message: reason, Remedy: "submit smaller jobs"}
}

func (a *Acceptor) refuse(s *model.Submission, kind model.ErrorKind, reason string, retryAfter, wait time.Duration) error {
	a.Logger.Info("job refused", "job", s.ID, "workspace", s.Workspace, "queue", s.Queue.ID, "kind", kind, "reason", reason,
		"wait-ms", wait.Milliseconds(), "retry-after-ms", retryAfter.Milliseconds())
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: kind, Message: reason, Remedy: "retry later",
		RetryAfterMS: model.Millis(retryAfter.Milliseconds()),
	}
}

// JobState returns the state of a job in the workspace. It reads the log before it reports that there is no such job.
func (a *Acceptor) JobState(ctx context.Context, id model.JobID, ws model.WorkspaceID) (model.JobState, error) {
	st, owner, ok := a.Jobs.JobState(id)
	if !ok {
		if err := a.Follower.CatchUp(ctx); err != nil {
			a.Metrics.Reads.Add("unavailable", 1)
			return "", logUnavailableError(err)
		}
		st, owner, ok = a.Jobs.JobState(id)
	}
	if !ok || owner != ws {
		a.Metrics.Reads.Add("unknown", 1)
		a.Logger.Info("job not found", "job", id, "workspace", ws, "known", ok)
		return "", notFoundError(id)
	}
	a.Metrics.Reads.Add("known", 1)
	return st, nil
}

// Cancel cancels a job in the workspace. A cancellation also applies to a submission that reaches the log after it.
func (a *Acceptor) Cancel(ctx context.Context, id model.JobID, ws model.WorkspaceID) error {
	err := a.cancel(ctx, id, ws)
	outcome := "accepted"
	var e *model.Error
	if errors.As(err, &e) {
		outcome = string(e.Kind)
	}
	a.Metrics.Cancellations.Add(outcome, 1)
	a.Logger.Info("cancellation handled", "job", id, "workspace", ws, "outcome", outcome)
	return err
}

func (a *Acceptor) cancel(ctx context.Context, id model.JobID, ws model.WorkspaceID) error {
	st, owner, ok := a.Jobs.JobState(id)
	if ok && owner != ws {
		return notFoundError(id)
	}
	if ok && st.IsFinal() {
		return nil
	}
	if !a.Follower.AwaitLog(ctx, maxLogWait) {
		return logUnavailableError(journaler.ErrNotAppended)
	}
	if !ok && a.Jobs.OrphanCount() >= journaler.MaxOrphans {
		return a.refuseUnknown(ctx, id, ws)
	}
	r, err := journaler.NewCancellationRecord(id, ws)
	if err != nil {
		return err
	}
	switch err := a.Appender.Append(ctx, r); {
	case errors.Is(err, journaler.ErrNotAppended):
		return logUnavailableError(err)
	case err != nil:
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindDeadline, Message: "the log gave no answer in time",
			Remedy: "repeat the cancellation",
		}
	}
	if ok {
		return nil
	}
	if err := a.Follower.CatchUp(ctx); err != nil {
		return logUnavailableError(err)
	}
	if _, owner, ok := a.Jobs.JobState(id); !ok || owner != ws {
		return notFoundError(id)
	}
	return nil
}

// refuseUnknown responds to the cancellation of an unknown job while so many of these are kept that no further one is: as for a job that does not
// exist, unless it is in the log.
func (a *Acceptor) refuseUnknown(ctx context.Context, id model.JobID, ws model.WorkspaceID) error {
	a.Metrics.Cancellations.Add("not-kept", 1)
	a.Logger.Warn("cancellation of unknown job not kept", "job", id, "workspace", ws, "kept", journaler.MaxOrphans,
		"remedy", "find the client of the workspace that cancels jobs which do not exist")
	if err := a.Follower.CatchUp(ctx); err != nil {
		return logUnavailableError(err)
	}
	if _, owner, ok := a.Jobs.JobState(id); ok && owner == ws {
		return logUnavailableError(errors.New("acceptor: the job has just been accepted"))
	}
	return notFoundError(id)
}

// QueuedJobCount returns the number of jobs in a queue of which no task has started. It fails if the log can't be reached,
// because a host that has not read the log would return zero.
func (a *Acceptor) QueuedJobCount(ctx context.Context, q model.QueueID) (int, error) {
	if !a.Follower.AwaitLog(ctx, maxLogWait) {
		a.Metrics.Reads.Add("unavailable", 1)
		return 0, logUnavailableError(errors.New("acceptor: the jobs are not up to date"))
	}
	return a.Jobs.QueuedJobCount(q), nil
}

func logUnavailableError(err error) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindLogUnavailable, Message: "the log can't be reached: " + err.Error(),
		Remedy: "retry later", RetryAfterMS: model.Millis(refusedRetryAfter.Milliseconds()),
	}
}

func notFoundError(id model.JobID) error {
	return &model.Error{Kind: model.ErrorKindNotFound, Message: "no job " + string(id) + " in the workspace", Remedy: "check the id and the key"}
}

// idTakenError refuses a job under the ID of a job of another workspace. It names neither that workspace nor the state of its job.
func idTakenError(id model.JobID) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict, Message: "the job id " + string(id) + " is in use", Remedy: "choose another id",
		RetryAfterMS: model.Millis(idTakenRetryAfter.Milliseconds()),
	}
}
