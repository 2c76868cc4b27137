package router

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxAttempts is the maximum number of attempts of a request, and so of the runners on which one request causes load. The retry
// budgets bound the retries of all requests together.
const maxAttempts = 3

// shedRetryAfterMS is the Retry-After hint to callers whose request was shed or failed. It is about the time in which the
// full queue of one caller drains, see queuer.DefaultLimits.
const shedRetryAfterMS model.Millis = 1000

// call is a request of a caller and the state of its attempts.
type call struct {
	req           Request
	results       chan result // buffered, so that the event loop never blocks on the caller
	service       *service
	entry         *queuer.Entry[*call] // set while the call is in the queue
	arrivedAt     time.Time
	attempts      int  // number of attempts, including the one in progress
	mayHaveSent   bool // an earlier attempt may have sent a byte, so a non-idempotent request must not be sent again
	mayHaveRun    bool // an earlier attempt has an unknown outcome, so the call must not end as not-run
	isAccepted    bool
	isCancelled   bool // the caller has left, so the attempt in progress was aborted
	hasEnded      bool
	cancelAttempt context.CancelFunc // cancels the attempt in progress, nil if there is none
	lastRunner    *runner            // runner of the latest attempt
}

type result struct {
	response Response
	err      *model.Error
}

// attemptResult is the message to the event loop that an attempt has ended.
type attemptResult struct {
	call      *call
	runner    *runner
	startedAt time.Time
	response  runnerclient.Response
	err       error
}

// endCall sends the result to the caller, once per call. If an earlier attempt may have run, the outcome of an error is
// changed to unknown.
func (l *eventLoop) endCall(c *call, resp Response, err *model.Error) {
	if c.hasEnded {
		return
	}
	c.hasEnded, c.entry = true, nil
	if c.isAccepted {
		l.acceptedCalls--
	}
	outcome, kind := model.OutcomeAnswered, model.ErrorKind("")
	if err != nil {
		if c.mayHaveRun {
			err.Outcome, err.RetryAfterMS = model.OutcomeUnknown, 0
			err.Remedy = "an earlier attempt may have run; check the effect before the request is repeated"
		}
		outcome, kind = err.Outcome, err.Kind
	}
	if f := l.opts.Hooks.OnOutcome; f != nil {
		f(c.req.Workspace, c.req.Class, outcome, kind)
	}
	c.results <- result{response: resp, err: err}
}

// shedCall ends a call that was refused by the queue or displaced from it.
func (l *eventLoop) shedCall(c *call, message string) {
	if f := l.opts.Hooks.OnShed; f != nil {
		f(c.req.Workspace, c.req.Class, model.ErrorKindOverloaded)
	}
	e := notRunError(model.ErrorKindOverloaded, message, "retry later, or send fewer requests at once")
	e.RetryAfterMS = shedRetryAfterMS
	l.endCall(c, Response{}, e)
}

// finishAttempt frees the slot of an attempt, updates the health of the runner, and ends the call or schedules a retry.
func (l *eventLoop) finishAttempt(res attemptResult, now time.Time) {
	c, r := res.call, res.runner
	c.cancelAttempt()
	c.cancelAttempt = nil
	r.inFlight--
	l.inFlight--
	duration := now.Sub(res.startedAt)
	if res.err == nil {
		c.service.recordServiceTime(c.req.Class, r, duration, now)
		r.recordSuccess(res.response.Status, res.startedAt, now)
		l.chargeLink(c, r, model.Bytes(len(res.response.Body)), now)
		if h := l.opts.Hooks.OnServiceTime; h != nil {
			h(c.req.Workspace, c.req.Class, duration)
		}
		l.endCall(c, Response{Body: res.response.Body, ContentType: res.response.ContentType, Runner: r.host.ID, Attempts: c.attempts}, nil)
	} else {
		l.handleFailure(res, duration, now)
	}
	if r.isRemoved && r.inFlight == 0 {
		r.sender.Close()
	}
	l.dispatch(c.service, now)
}

func (l *eventLoop) handleFailure(res attemptResult, duration time.Duration, now time.Time) {
	c, r := res.call, res.runner
	failure := &runnerclient.Error{Err: res.err, MayHaveSent: true, Status: runnerclient.Status{FreeSlots: -1}}
	errors.As(res.err, &failure)
	expired := !now.Before(c.req.Deadline)
	// A missed deadline counts as a failure of the runner only if the attempt took several times the usual service time;
	// otherwise the caller has set a short deadline.
	switch {
	case c.isCancelled || l.stopping:
	case expired && !c.service.isOverdue(c.req.Class, duration):
	default:
		r.recordFailure(failure.Status, failure.NotRun && failure.MayHaveSent, res.startedAt, now, l.rng)
	}
	c.mayHaveSent = c.mayHaveSent || failure.MayHaveSent || !failure.NotRun
	if !failure.NotRun {
		c.mayHaveRun = true
	}
	if c.isCancelled || expired || l.stopping {
		l.endCall(c, Response{}, notRunError(model.ErrorKindDeadline, "the request ended before its answer came: "+res.err.Error(),
			"retry with a later deadline"))
		return
	}
	if l.takeRetry(c, r, failure, now) {
		if h := l.opts.Hooks.OnRetry; h != nil {
			h(c.req.Workspace, c.req.Class)
		}
		c.service.retries = append(c.service.retries, c)
		return
	}
	e := notRunError(model.ErrorKindUpstream, fmt.Sprintf("runner %s failed: %v", r.host.ID, res.err), "retry later")
	e.RetryAfterMS = shedRetryAfterMS
	l.endCall(c, Response{}, e)
}

// takeRetry reports whether a call may be retried and, if so, takes one retry from the budget of its workspace and one from
// that of the runner that failed. A non-idempotent request is retried only if no byte of it was sent.
func (l *eventLoop) takeRetry(c *call, r *runner, failure *runnerclient.Error, now time.Time) bool {
	if c.attempts >= maxAttempts || l.services[c.service.id] != c.service || // the service was removed meanwhile
		!c.req.Idempotent && (failure.MayHaveSent || !failure.NotRun) {
		return false
	}
	budget := l.retryBudget(c.req.Workspace)
	if !budget.Available(now) || !r.retryBudget.Available(now) {
		return false
	}
	return budget.Take(now) && r.retryBudget.Take(now)
}

// chargeLink charges n bytes to the link budget if the runner is in another region.
func (l *eventLoop) chargeLink(c *call, r *runner, n model.Bytes, now time.Time) {
	if r.tier != tierOther {
		return
	}
	l.linkBudget.Charge(now, n)
	if f := l.opts.Hooks.OnLinkBytes; f != nil {
		f(c.req.Workspace, c.req.Class, n)
	}
}

func notRunError(kind model.ErrorKind, message, remedy string) *model.Error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: kind, Message: message, Remedy: remedy}
}
