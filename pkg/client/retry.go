package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// initialBackoff is the delay before the first retry if the error has no Retry-After hint; it doubles with each retry.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff limits the delay between retries, so that clients resume soon after a long outage.
	maxBackoff = 5 * time.Second
)

// RetryPolicy controls the retries of requests that were not run; the zero value allows no retry.
type RetryPolicy struct {
	// Deadline is the time after which no retry is sent.
	Deadline time.Time
	// SentBefore says that the request may have been sent before, with the same id.
	SentBefore bool
	// OnRetry is called before the delay that precedes each retry; it may be nil.
	OnRetry func(err *model.Error, delay time.Duration)
}

// CallWithRetry sends a service request and retries it with the same id while it is refused for a temporary reason.
// Retries are marked as such, so a refused retry has the outcome unknown, and the outcome stays unknown unless a later
// attempt has the outcome answered.
func (c *Client) CallWithRetry(ctx context.Context, call CallRequest, policy RetryPolicy) (CallResponse, error) {
	policy.SentBefore = policy.SentBefore || call.IsRetry
	return retry(ctx, policy, func(isRetry, _ bool) (CallResponse, error) {
		call.IsRetry = policy.SentBefore || isRetry
		return c.Call(ctx, call)
	})
}

// SubmitWithRetry submits a job and retries the submission with the same id while it is refused for a temporary reason.
// A job without an id is submitted only once.
func (c *Client) SubmitWithRetry(ctx context.Context, spec model.JobSpec, policy RetryPolicy) (model.Job, error) {
	if spec.ID == "" {
		policy = RetryPolicy{SentBefore: policy.SentBefore} // without an id, each retry could create another job
	}
	return retry(ctx, policy, func(_, outcomeUnknown bool) (model.Job, error) {
		// An attempt is marked as a retry only if an earlier one may have been accepted.
		if policy.SentBefore || outcomeUnknown {
			return c.Resubmit(ctx, spec)
		}
		return c.Submit(ctx, spec)
	})
}

// retry calls attempt until it succeeds, fails permanently, ctx ends or the next retry would be after the deadline. The
// argument outcomeUnknown says that an earlier attempt may have been run.
func retry[T any](ctx context.Context, policy RetryPolicy, attempt func(isRetry, outcomeUnknown bool) (T, error)) (T, error) {
	outcomeUnknown := false
	for n := 0; ; n++ {
		v, err := attempt(n > 0, outcomeUnknown)
		if err == nil {
			return v, nil
		}
		var e *model.Error
		if !errors.As(err, &e) {
			return v, err
		}
		if outcomeUnknown && e.Outcome == model.OutcomeNotRun {
			copied := *e
			e = &copied
			e.Outcome = model.OutcomeUnknown
		}
		outcomeUnknown = outcomeUnknown || e.Outcome == model.OutcomeUnknown
		delay := backoff(n, e)
		if !isRetryable(e, n > 0 || policy.SentBefore) || !time.Now().Add(delay).Before(policy.Deadline) {
			return v, e
		}
		if policy.OnRetry != nil {
			policy.OnRetry(e, delay)
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return v, e
		}
	}
}

// isRetryable reports whether a retry with the same id is safe and may succeed; retried says that the request was sent before
// the attempt that returned e.
func isRetryable(e *model.Error, retried bool) bool {
	switch e.Kind {
	case model.ErrorKindLogUnavailable, model.ErrorKindNotReady, model.ErrorKindOverloaded,
		model.ErrorKindDraining, model.ErrorKindNoRunner, model.ErrorKindUpstream:
	default:
		return false
	}
	if e.RequestIDUnusable {
		return false
	}
	// The refusal of a retry has the outcome unknown, too, but unlike a lost response it has a Retry-After hint.
	return e.Outcome == model.OutcomeNotRun || retried && e.Outcome == model.OutcomeUnknown && e.RetryAfterMS > 0
}

// backoff returns the delay after attempt n, counted from 0; jitter keeps refused clients from retrying all at the same time.
func backoff(n int, e *model.Error) time.Duration {
	delay := min(initialBackoff<<min(n, 10), maxBackoff)
	if e.RetryAfterMS > 0 {
		delay = time.Duration(e.RetryAfterMS) * time.Millisecond
	}
	return delay + rand.N(delay/4+1)
}
