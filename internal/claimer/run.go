package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Claimer claims and runs non-idempotent requests; it is safe for concurrent use.
type Claimer struct {
	opts Options

	mu    sync.Mutex
	store store
}

// New returns a claimer that keeps no results yet.
func New(o Options) *Claimer {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Skew <= 0 {
		o.Skew = DefaultSkew
	}
	if o.MaxResults <= 0 {
		o.MaxResults = DefaultMaxResults
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Claimer{opts: o, store: store{maxResults: o.MaxResults, maxBytes: o.MaxBytes}}
}

// Claim appends a claim and waits for the verdict; a repeat of an id never wins again.
func (c *Claimer) Claim(ctx context.Context, ws model.WorkspaceID, id model.RequestID, now time.Time) Decision {
	if err := c.checkWindow(id, now); err != nil {
		return Decision{Verdict: VerdictRefused, Err: err}
	}
	rcpt, err := c.opts.Appender.Append(ctx, Claim{Workspace: ws, Request: id, Host: c.opts.Host})
	if err != nil {
		if notSent(err) {
			e := notRun(model.KindLogUnavailable, "the claim could not be sent to the log: "+err.Error(), "retry later; the request id can be used again")
			e.RetryAfterMS = retryAfterMS
			return Decision{Verdict: VerdictRefused, Err: e}
		}
		return spent(model.KindLogUnavailable, "the log did not confirm the claim: "+err.Error())
	}
	if err := c.opts.Fold.WaitApplied(ctx, rcpt.Offset); err != nil {
		return spent(model.KindLogUnavailable, "the claim could not be read back from the log: "+err.Error())
	}
	won, ok := c.opts.Fold.Winner(ws, id)
	// The log may have trimmed records before they were read, and time has passed.
	if err := c.checkWindow(id, c.opts.Now()); err != nil {
		return spent(err.Kind, err.Message)
	}
	switch {
	case !ok:
		return spent(model.KindTrimmed, "the claim is no longer in the log")
	case won.Ref == rcpt.Ref && won.Host == c.opts.Host:
		return Decision{Verdict: VerdictWon, Host: won.Host}
	}
	return Decision{Verdict: VerdictLost, Host: won.Host}
}

// retryAfterMS is the pause after a failed append: the appender sends at most 4 a second, so a shorter
// one would only queue up.
const retryAfterMS model.Millis = 1000

// spent refuses a request whose claim may be in the log. The claim is never used, so not-run is certain.
func spent(kind model.ErrorKind, message string) Decision {
	e := notRun(kind, message, "retry with a new request id; this one can't be used again")
	e.RetryAfterMS = retryAfterMS
	return Decision{Verdict: VerdictRefused, Err: e, Spent: true}
}

func notSent(err error) bool {
	var e *model.Error
	return errors.Is(err, ErrNotSent) || errors.As(err, &e) && e.Outcome == model.OutcomeNotRun
}

// Do claims the request and calls run at most once across all entry hosts, or returns the result of
// the call that did; Result.Error is set unless the request was answered.
// The context that run gets outlives ctx, so that a caller that goes away can fetch the answer by a repeat.
func (c *Claimer) Do(ctx context.Context, req Request, run RunFunc) Result {
	k := key{req.Workspace, req.ID}
	at, ok := idTime(req.ID)
	now := c.opts.Now()
	if !ok {
		return Result{Digest: req.Digest, Error: c.checkWindow(req.ID, now)}
	}
	c.mu.Lock()
	rec, first := c.store.enter(k, now)
	if first {
		rec.expires = at.Add(c.opts.Window + 2*c.opts.Skew)
	}
	c.mu.Unlock()
	switch {
	case rec == nil:
		e := notRun(model.KindOverloaded, "too many non-idempotent requests are in progress", "retry later; the request id can be used again")
		e.RetryAfterMS = retryAfterMS
		return Result{Digest: req.Digest, Error: e}
	case !first:
		res, ok := rec.wait(ctx)
		if !ok {
			return Result{Digest: req.Digest, Error: unknown(model.KindDeadline, "the first call with this request id is still in progress")}
		}
		return matched(res, req.Digest)
	}
	// Waiters are released even when run panics.
	res, keep := Result{Digest: req.Digest, Error: unknown(model.KindUpstream, "the request was aborted")}, true
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.store.finish(rec, res, keep, c.opts.Now())
	}()
	res, keep = c.lead(ctx, req, run)
	return matched(res, req.Digest)
}

// lead returns the result and whether it is to be kept for repeats.
func (c *Claimer) lead(ctx context.Context, req Request, run RunFunc) (res Result, keep bool) {
	d := c.Claim(ctx, req.Workspace, req.ID, c.opts.Now())
	switch {
	case d.Verdict == VerdictRefused:
		return Result{Digest: req.Digest, Error: d.Err}, d.Spent
	case d.Verdict == VerdictLost && d.Host == c.opts.Host:
		return Result{Digest: req.Digest, Error: unknown(model.KindAlreadyClaimed, "this host claimed the request id before and no longer keeps its answer")}, false
	case d.Verdict == VerdictLost:
		res, err := c.opts.Answers.Answer(ctx, d.Host, req.Workspace, req.ID)
		if err != nil {
			return Result{Digest: req.Digest, Error: unknown(model.KindAlreadyClaimed, "entry host "+string(d.Host)+" claimed the request id and gave no answer: "+err.Error())}, false
		}
		return res, false
	case ctx.Err() != nil:
		return Result{Digest: req.Digest, Error: spent(model.KindDeadline, "the caller left or the deadline passed before the request was sent").Err}, true
	}
	res = run(context.WithoutCancel(ctx))
	res.Digest = req.Digest
	return res, true
}

// Answer returns the result of a request that this host claimed, for other entry hosts;
// it waits while the request is in progress, and ok is false when nothing is known.
func (c *Claimer) Answer(ctx context.Context, ws model.WorkspaceID, id model.RequestID) (res Result, ok bool) {
	c.mu.Lock()
	rec := c.store.records[key{ws, id}]
	c.mu.Unlock()
	if rec == nil {
		return Result{}, false
	}
	return rec.wait(ctx)
}

// matched withholds the result of a different request that used the same id.
func matched(res Result, digest string) Result {
	if res.Digest == digest {
		return res
	}
	return Result{Digest: digest, Error: notRun(model.KindConflict, "the request id was used for a different request", "make a new request id for each request")}
}
