package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Claimer claims and runs non-idempotent requests. It is safe for concurrent use.
type Claimer struct {
	opts Options

	mu           sync.Mutex
	results      resultStore
	sentRequests sentRequests
}

// New returns a claimer without stored results.
func New(o Options) *Claimer {
	if o.ClaimWindow <= 0 {
		o.ClaimWindow = DefaultClaimWindow
	}
	if o.ClockSkew <= 0 {
		o.ClockSkew = DefaultClockSkew
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
	return &Claimer{opts: o, results: resultStore{maxResults: o.MaxResults, maxBytes: o.MaxBytes}, sentRequests: sentRequests{limit: o.MaxResults}}
}

// Claim appends a claim and waits for its outcome. A claim is lost if an earlier one of the same request id is in the log, even
// one of this host.
func (c *Claimer) Claim(ctx context.Context, ws model.WorkspaceID, id model.RequestID, now time.Time) Decision {
	if err := c.checkWindow(id, now); err != nil {
		return Decision{Outcome: ClaimRefused, Err: err}
	}
	if winner, ok := c.opts.Index.Winner(ws, id); ok {
		return Decision{Outcome: ClaimLost, Winner: winner.Host}
	}
	receipt, err := c.opts.Appender.Append(ctx, Claim{Workspace: ws, Request: id, Host: c.opts.Host})
	if err != nil {
		if isNotSent(err) {
			return refuse(model.ErrorKindLogUnavailable, "the claim could not be sent to the log: "+err.Error(), "retry later; the request id can be used again")
		}
		return refuseIDUnusable(model.ErrorKindLogUnavailable, "the log did not confirm the claim: "+err.Error())
	}
	d := c.awaitOutcome(ctx, receipt, ws, id)
	d.claimID = receipt.ClaimID
	return d
}

// awaitOutcome waits until the index includes the appended claim, and compares it with the winning claim.
func (c *Claimer) awaitOutcome(ctx context.Context, receipt Receipt, ws model.WorkspaceID, id model.RequestID) Decision {
	if err := c.opts.Index.WaitApplied(ctx, receipt.Offset); err != nil {
		return refuseIDUnusable(model.ErrorKindLogUnavailable, "the claim could not be read back from the log: "+err.Error())
	}
	winner, ok := c.opts.Index.Winner(ws, id)
	// Check the window again, because time has passed and the log may have trimmed records before they were read.
	if err := c.checkWindow(id, c.opts.Now()); err != nil {
		return refuseIDUnusable(err.Kind, err.Message)
	}
	switch {
	case !ok:
		return refuseIDUnusable(model.ErrorKindTrimmed, "the claim is no longer in the log")
	case winner.ClaimID == receipt.ClaimID && winner.Host == c.opts.Host:
		return Decision{Outcome: ClaimWon, Winner: winner.Host}
	}
	return Decision{Outcome: ClaimLost, Winner: winner.Host}
}

// refusedRetryAfterMS is the Retry-After hint to callers whose claim failed or whose request exceeds the limit of requests in
// progress.
const refusedRetryAfterMS model.Millis = 1000

const unusableIDRemedy = "retry with a new request id; this one can't be used again"

// refuseIDUnusable refuses a request whose claim may be in the log. This host never sends the request for that claim, so the
// outcome is certainly not-run, but the request id can't be used again.
func refuseIDUnusable(kind model.ErrorKind, message string) Decision {
	d := refuse(kind, message, unusableIDRemedy)
	d.IDUnusable, d.Err.RequestIDUnusable = true, true
	return d
}

func refuse(kind model.ErrorKind, message, remedy string) Decision {
	e := notRunError(kind, message, remedy)
	e.RetryAfterMS = refusedRetryAfterMS
	return Decision{Outcome: ClaimRefused, Err: e}
}

// isNotSent reports whether an error of Append means that the claim was certainly not appended.
func isNotSent(err error) bool {
	var e *model.Error
	return errors.Is(err, ErrNotSent) || errors.As(err, &e) && e.Outcome == model.OutcomeNotRun
}

// Do claims the request and calls run, which happens at most once across all entry hosts. If another call has run the request,
// Do returns the result of that call. Result.Error is set unless the runner has responded.
//
// The context passed to run is not cancelled with ctx, so that a caller that disconnects can fetch the result with a retry.
func (c *Claimer) Do(ctx context.Context, req Request, run RunFunc) Result {
	now := c.opts.Now()
	at, ok := requestIDTime(req.ID)
	if !ok {
		return refusedResult(req, c.checkWindow(req.ID, now))
	}
	c.mu.Lock()
	entry, isNew := c.results.getOrAdd(requestKey{req.Workspace, req.ID}, now)
	if isNew {
		entry.expiresAt = at.Add(c.opts.ClaimWindow + 2*c.opts.ClockSkew)
	}
	c.mu.Unlock()
	if entry == nil {
		return refusedResult(req, refuse(model.ErrorKindOverloaded, "too many non-idempotent requests are in progress", "retry later; the request id can be used again").Err)
	}
	if isNew {
		return requireDigest(c.runFirst(ctx, entry, req, run), req.Digest)
	}
	res, ok := entry.wait(ctx)
	switch {
	case !ok:
		return errorResult(req, unknownError(model.ErrorKindDeadline, "the first call with this request id is still in progress"))
	case !entry.isRefused:
		return requireDigest(res, req.Digest)
	}
	// This host refused the first call with this id, but another host may have run the request since then.
	if winner, ok := c.opts.Index.Winner(req.Workspace, req.ID); ok && winner.Host != c.opts.Host {
		return requireDigest(c.fetchResult(ctx, winner.Host, req), req.Digest)
	}
	return refusedResult(req, res.Error)
}

// runFirst handles the first call with a request id on this host. Calls that wait for its result are released even if run
// panics.
func (c *Claimer) runFirst(ctx context.Context, entry *resultEntry, req Request, run RunFunc) (res Result) {
	res, keepResult := errorResult(req, unknownError(model.ErrorKindUpstream, "the request was aborted")), true
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results.finish(entry, res, keepResult, c.opts.Now())
	}()
	d := c.Claim(ctx, req.Workspace, req.ID, c.opts.Now())
	if d.Outcome == ClaimWon && ctx.Err() != nil {
		id := d.claimID
		d = refuseIDUnusable(model.ErrorKindDeadline, "the caller left or the deadline passed before the request was sent")
		d.claimID = id
	}
	if d.Outcome == ClaimRefused {
		// After a failure of the log, the claim of another host may have won. The winner knows the result.
		if winner, ok := c.opts.Index.Winner(req.Workspace, req.ID); ok && winner.Host != c.opts.Host {
			d = Decision{Outcome: ClaimLost, Winner: winner.Host}
		}
	}
	switch d.Outcome {
	case ClaimWon:
		if !c.markSent(entry) {
			return errorResult(req, unknownError(model.ErrorKindAlreadyClaimed, "this host has already sent the request"))
		}
		res = run(context.WithoutCancel(ctx))
		res.Digest = req.Digest
		if e := res.Error; e != nil && e.Outcome == model.OutcomeNotRun {
			// Other hosts may already have returned this result, so a retry must not run the request.
			finalError := *e
			finalError.Remedy, finalError.RequestIDUnusable = unusableIDRemedy, true
			res.Error = &finalError
		}
	case ClaimLost:
		keepResult = false
		res = c.fetchResult(ctx, d.Winner, req)
	default:
		entry.isRefused, entry.claimID, keepResult = true, d.claimID, d.IDUnusable
		res = refusedResult(req, d.Err)
	}
	return res
}

// fetchResult fetches the result from the host with the winning claim, the only one that may have run the request.
func (c *Claimer) fetchResult(ctx context.Context, host model.HostID, req Request) Result {
	if host == c.opts.Host {
		return errorResult(req, unknownError(model.ErrorKindAlreadyClaimed, "this host claimed the request id before and no longer keeps its answer"))
	}
	res, err := c.opts.Results.FetchResult(ctx, host, req.Workspace, req.ID)
	if err != nil {
		return errorResult(req, unknownError(model.ErrorKindAlreadyClaimed, "entry host "+string(host)+" claimed the request id and gave no answer: "+err.Error()))
	}
	return res
}

func errorResult(req Request, err *model.Error) Result { return Result{Digest: req.Digest, Error: err} }

// refusedResult returns the result of a call that this host refuses. If the call is a retry, the outcome is unknown, because
// an earlier call may have run the request.
func refusedResult(req Request, err *model.Error) Result {
	if req.IsRetry {
		e := unknownError(err.Kind, err.Message)
		e.RetryAfterMS, e.RequestIDUnusable = err.RetryAfterMS, err.RequestIDUnusable
		return errorResult(req, e)
	}
	return errorResult(req, err)
}

// LocalResult returns the result of a request that this host claimed. It waits while the request is in progress; ok is false
// if the result is unknown. It is meant for calls of other entry hosts, but not connected to an interface yet.
func (c *Claimer) LocalResult(ctx context.Context, ws model.WorkspaceID, id model.RequestID) (res Result, ok bool) {
	c.mu.Lock()
	entry := c.results.entries[requestKey{ws, id}]
	c.mu.Unlock()
	if entry == nil {
		return Result{}, false
	}
	if res, ok = entry.wait(ctx); !ok || !entry.isRefused {
		return res, ok
	}
	// A refusal is conclusive only if the claim of the refused call won. If a claim of an earlier process of this host won,
	// that process may have run the request.
	winner, ok := c.opts.Index.Winner(ws, id)
	return res, ok && winner.Host == c.opts.Host && winner.ClaimID == entry.claimID && entry.claimID != ClaimID{}
}

// requireDigest returns the result if it has the given digest, and otherwise an error, because the request id was used for a
// different request.
func requireDigest(res Result, digest string) Result {
	if res.Digest == digest {
		return res
	}
	return Result{Digest: digest, Error: notRunError(model.ErrorKindConflict, "the request id was used for a different request", "make a new request id for each request")}
}
