package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// firstPause is the pause before the first repeat when the answer advises none; it doubles with each repeat.
	firstPause = 200 * time.Millisecond
	// maxPause keeps a client from missing the end of a longer outage by much.
	maxPause = 5 * time.Second
)

// RetryPolicy bounds the repeats of work that was not run; its zero value repeats nothing.
type RetryPolicy struct {
	// Deadline is the time after which no repeat is sent.
	Deadline time.Time
	// SentBefore says that the work may have been sent before, with the same id.
	SentBefore bool
	// OnRetry is called before the pause that precedes each repeat; it may be nil.
	OnRetry func(err *model.Error, pause time.Duration)
}

// CallWithRetry sends a service request and repeats it with the same id while it is not run for a reason that may pass.
// Each repeat is marked as one, so a refusal of it can only say unknown, and the result stays unknown from then on
// unless an answer arrives.
func (c *Client) CallWithRetry(ctx context.Context, call CallRequest, r RetryPolicy) (CallResponse, error) {
	r.SentBefore = r.SentBefore || call.IsRetry
	return retry(ctx, r, func(again, _ bool) (CallResponse, error) {
		call.IsRetry = r.SentBefore || again
		return c.Call(ctx, call)
	})
}

// SubmitWithRetry submits a job and repeats the submission with the same id, which must be set, while it is not run for
// a reason that may pass.
func (c *Client) SubmitWithRetry(ctx context.Context, spec model.JobSpec, r RetryPolicy) (model.Job, error) {
	if spec.ID == "" {
		r = RetryPolicy{SentBefore: r.SentBefore} // without an id, each submission would be another job
	}
	return retry(ctx, r, func(_, unknown bool) (model.Job, error) {
		// After certain refusals alone, a later one is as certain.
		if r.SentBefore || unknown {
			return c.Resubmit(ctx, spec)
		}
		return c.Submit(ctx, spec)
	})
}

// retry calls f until it succeeds, fails for good or the next repeat would come after the deadline.
func retry[T any](ctx context.Context, r RetryPolicy, f func(again, unknown bool) (T, error)) (T, error) {
	unknown := false
	for n := 0; ; n++ {
		v, err := f(n > 0, unknown)
		if err == nil {
			return v, nil
		}
		var e *model.Error
		if !errors.As(err, &e) {
			return v, err
		}
		if unknown && e.Outcome == model.OutcomeNotRun {
			copied := *e
			e = &copied
			e.Outcome = model.OutcomeUnknown
		}
		unknown = unknown || e.Outcome == model.OutcomeUnknown
		pause := pauseBefore(n, e)
		if !repeatable(e, n > 0 || r.SentBefore) || !time.Now().Add(pause).Before(r.Deadline) {
			return v, e
		}
		if r.OnRetry != nil {
			r.OnRetry(e, pause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return v, e
		}
	}
}

// repeatable reports whether a repeat with the same id is safe and may fare better.
func repeatable(e *model.Error, repeated bool) bool {
	switch e.Kind {
	case model.ErrorKindLogUnavailable, model.ErrorKindNotReady, model.ErrorKindOverloaded, model.ErrorKindDraining, model.ErrorKindNoRunner, model.ErrorKindUpstream:
	default:
		return false
	}
	if e.RequestIDSpent {
		return false
	}
	// The refusal of a repeat says unknown; it differs from a lost answer by the advice when to come back.
	return e.Outcome == model.OutcomeNotRun || repeated && e.Outcome == model.OutcomeUnknown && e.RetryAfterMS > 0
}

// pauseBefore returns the pause after the n-th try; jitter keeps refused clients from returning all at once.
func pauseBefore(n int, e *model.Error) time.Duration {
	pause := min(firstPause<<min(n, 10), maxPause)
	if e.RetryAfterMS > 0 {
		pause = time.Duration(e.RetryAfterMS) * time.Millisecond
	}
	return pause + rand.N(pause/4+1)
}
