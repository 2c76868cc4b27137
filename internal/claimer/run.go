package claimer

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Claimer claims and runs non-idempotent requests; it is safe for concurrent use.
type Claimer struct{ opts Options }

// New returns a claimer that keeps no results yet.
func New(o Options) *Claimer { return &Claimer{opts: o} }

// Claim appends a claim and waits for the verdict; a repeat of an id never wins again.
func (c *Claimer) Claim(ctx context.Context, ws model.WorkspaceID, id model.RequestID, now time.Time) Decision {
	return Decision{Verdict: VerdictRefused}
}

// Do claims the request and calls run at most once across all entry hosts, or returns the result of
// the call that did; Result.Error is set unless the request was answered.
// The context that run gets outlives ctx, so that a caller that goes away can fetch the answer by a repeat.
func (c *Claimer) Do(ctx context.Context, req Request, run RunFunc) Result { return Result{} }

// Answer returns the result of a request that this host claimed, for other entry hosts;
// it waits while the request is in progress, and ok is false when nothing is known.
func (c *Claimer) Answer(ctx context.Context, ws model.WorkspaceID, id model.RequestID) (res Result, ok bool) {
	return Result{}, false
}
