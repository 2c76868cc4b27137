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
	sent  sent
}

// New returns a claimer that keeps no results yet.
func New(o Options) *Claimer {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.Skew <= 0 {
		o.Skew = DefaultClockSkew
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
	return &Claimer{opts: o, store: store{maxResults: o.MaxResults, maxBytes: o.MaxBytes}, sent: sent{limit: o.MaxResults}}
}

// Claim appends a claim and waits for the verdict; a repeat of an id never wins again.
func (c *Claimer) Claim(ctx context.Context, ws model.WorkspaceID, id model.RequestID, now time.Time) Decision {
	if err := c.checkWindow(id, now); err != nil {
		return Decision{Verdict: VerdictRefused, Err: err}
	}
	if won, ok := c.opts.Index.Winner(ws, id); ok {
		return Decision{Verdict: VerdictLost, Host: won.Host}
	}
	rcpt, err := c.opts.Appender.Append(ctx, Claim{Workspace: ws, Request: id, Host: c.opts.Host})
	if err != nil {
		if notSent(err) {
			return refuse(model.ErrorKindLogUnavailable, "the claim could not be sent to the log: "+err.Error(), "retry later; the request id can be used again")
		}
		return spent(model.ErrorKindLogUnavailable, "the log did not confirm the claim: "+err.Error())
	}
	d := c.settle(ctx, rcpt, ws, id)
	d.ref = rcpt.Ref
	return d
}

// settle waits until the confirmed claim is applied and compares it with the winner.
func (c *Claimer) settle(ctx context.Context, rcpt Receipt, ws model.WorkspaceID, id model.RequestID) Decision {
	if err := c.opts.Index.WaitApplied(ctx, rcpt.Offset); err != nil {
		return spent(model.ErrorKindLogUnavailable, "the claim could not be read back from the log: "+err.Error())
	}
	won, ok := c.opts.Index.Winner(ws, id)
	// The log may have trimmed records before they were read, and time has passed.
	if err := c.checkWindow(id, c.opts.Now()); err != nil {
		return spent(err.Kind, err.Message)
	}
	switch {
	case !ok:
		return spent(model.ErrorKindTrimmed, "the claim is no longer in the log")
	case won.Ref == rcpt.Ref && won.Host == c.opts.Host:
		return Decision{Verdict: VerdictWon, Host: won.Host}
	}
	return Decision{Verdict: VerdictLost, Host: won.Host}
}

// retryAfterMS is the pause after a failed append: the appender sends at most 4 a second, so a shorter
// one would only queue up.
const retryAfterMS model.Millis = 1000

const spentRemedy = "retry with a new request id; this one can't be used again"

// spent refuses a request whose claim may be in the log. The claim is never used, so not-run is certain.
func spent(kind model.ErrorKind, message string) Decision {
	d := refuse(kind, message, spentRemedy)
	d.Spent, d.Err.RequestIDSpent = true, true
	return d
}

func refuse(kind model.ErrorKind, message, remedy string) Decision {
	e := notRun(kind, message, remedy)
	e.RetryAfterMS = retryAfterMS
	return Decision{Verdict: VerdictRefused, Err: e}
}

func notSent(err error) bool {
	var e *model.Error
	return errors.Is(err, ErrNotSent) || errors.As(err, &e) && e.Outcome == model.OutcomeNotRun
}

// Do claims the request and calls run at most once across all entry hosts, or returns the result of
// the call that did; Result.Error is set unless the request was answered.
// The context that run gets outlives ctx, so that a caller that goes away can fetch the answer by a repeat.
func (c *Claimer) Do(ctx context.Context, req Request, run RunFunc) Result {
	now := c.opts.Now()
	at, ok := idTime(req.ID)
	if !ok {
		return refused(req, c.checkWindow(req.ID, now))
	}
	c.mu.Lock()
	rec, first := c.store.enter(key{req.Workspace, req.ID}, now)
	if first {
		rec.expires = at.Add(c.opts.Window + 2*c.opts.Skew)
	}
	c.mu.Unlock()
	if rec == nil {
		return refused(req, refuse(model.ErrorKindOverloaded, "too many non-idempotent requests are in progress", "retry later; the request id can be used again").Err)
	}
	if first {
		return matched(c.first(ctx, rec, req, run), req.Digest)
	}
	res, ok := rec.wait(ctx)
	switch {
	case !ok:
		return failed(req, unknown(model.ErrorKindDeadline, "the first call with this request id is still in progress"))
	case !rec.refused:
		return matched(res, req.Digest)
	}
	// The first call was refused here, but another host may have run the request since.
	if won, ok := c.opts.Index.Winner(req.Workspace, req.ID); ok && won.Host != c.opts.Host {
		return matched(c.ask(ctx, won.Host, req), req.Digest)
	}
	return refused(req, res.Error)
}

// first runs the first call with an id on this host; the calls that wait for it are released even when run panics.
func (c *Claimer) first(ctx context.Context, rec *record, req Request, run RunFunc) (res Result) {
	res, keep := failed(req, unknown(model.ErrorKindUpstream, "the request was aborted")), true
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.store.finish(rec, res, keep, c.opts.Now())
	}()
	d := c.Claim(ctx, req.Workspace, req.ID, c.opts.Now())
	if d.Verdict == VerdictWon && ctx.Err() != nil {
		ref := d.ref
		d = spent(model.ErrorKindDeadline, "the caller left or the deadline passed before the request was sent")
		d.ref = ref
	}
	if d.Verdict == VerdictRefused {
		// A claim that was refused for the log may have lost meanwhile; the winner knows more.
		if won, ok := c.opts.Index.Winner(req.Workspace, req.ID); ok && won.Host != c.opts.Host {
			d = Decision{Verdict: VerdictLost, Host: won.Host}
		}
	}
	switch d.Verdict {
	case VerdictWon:
		if !c.maySend(rec) {
			return failed(req, unknown(model.ErrorKindAlreadyClaimed, "this host has already sent the request"))
		}
		res = run(context.WithoutCancel(ctx))
		res.Digest = req.Digest
		if e := res.Error; e != nil && e.Outcome == model.OutcomeNotRun {
			// Other hosts may already have passed this result on, so a repeat must not run the request.
			spentErr := *e
			spentErr.Remedy, spentErr.RequestIDSpent = spentRemedy, true
			res.Error = &spentErr
		}
	case VerdictLost:
		keep = false
		res = c.ask(ctx, d.Host, req)
	default:
		rec.refused, rec.ref, keep = true, d.ref, d.Spent
		res = refused(req, d.Err)
	}
	return res
}

// ask gets the result from the host whose claim won; it is the only one that may have run the request.
func (c *Claimer) ask(ctx context.Context, host model.HostID, req Request) Result {
	if host == c.opts.Host {
		return failed(req, unknown(model.ErrorKindAlreadyClaimed, "this host claimed the request id before and no longer keeps its answer"))
	}
	res, err := c.opts.Results.FetchResult(ctx, host, req.Workspace, req.ID)
	if err != nil {
		return failed(req, unknown(model.ErrorKindAlreadyClaimed, "entry host "+string(host)+" claimed the request id and gave no answer: "+err.Error()))
	}
	return res
}

func failed(req Request, err *model.Error) Result { return Result{Digest: req.Digest, Error: err} }

// refused is the result of a call that this host sends nothing for.
func refused(req Request, err *model.Error) Result {
	if req.Repeat {
		e := unknown(err.Kind, err.Message)
		e.RetryAfterMS, e.RequestIDSpent = err.RetryAfterMS, err.RequestIDSpent
		return failed(req, e)
	}
	return failed(req, err)
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
	if res, ok = rec.wait(ctx); !ok || !rec.refused {
		return res, ok
	}
	// A refusal is the whole truth only if the winner is this very claim, not that of an earlier process of this host.
	won, ok := c.opts.Index.Winner(ws, id)
	return res, ok && won.Host == c.opts.Host && won.Ref == rec.ref && rec.ref != Ref{}
}

// matched withholds the result of a different request that used the same id.
func matched(res Result, digest string) Result {
	if res.Digest == digest {
		return res
	}
	return Result{Digest: digest, Error: notRun(model.ErrorKindConflict, "the request id was used for a different request", "make a new request id for each request")}
}
