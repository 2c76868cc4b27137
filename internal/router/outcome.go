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

// maxAttempts bounds the runners that one request may burden; the budgets bound retries as a whole.
const maxAttempts = 3

// shedRetryAfter is about the time in which a full queue of one caller drains, see queuer.DefaultLimits.
const shedRetryAfter model.Millis = 1000

// call is a request with the state of its attempts.
type call struct {
	req      Request
	reply    chan result // buffered, so that the task never waits for the caller
	service  *service
	entry    *queuer.Entry[*call] // while it waits in the queue
	arrived  time.Time
	attempts int
	written  bool // an earlier attempt sent a byte, so a non-idempotent request must not be sent again
	mayRun   bool // an earlier attempt has an unknown outcome, so not-run can't be said any more
	accepted bool
	canceled bool
	ended    bool
	abort    context.CancelFunc // of the attempt in progress
	last     *runner            // of the latest attempt
}

type result struct {
	answer Answer
	err    *model.Error
}

// finished is the end of one attempt.
type finished struct {
	call    *call
	runner  *runner
	started time.Time
	answer  runnerclient.Answer
	err     error
}

// end answers the call; errors become unknown when an attempt may have run.
func (t *task) end(c *call, ans Answer, err *model.Error) {
	if c.ended {
		return
	}
	c.ended, c.entry = true, nil
	if c.accepted {
		t.accepted--
	}
	outcome, kind := model.OutcomeAnswered, model.ErrorKind("")
	if err != nil {
		if c.mayRun {
			err.Outcome, err.RetryAfterMS = model.OutcomeUnknown, 0
			err.Remedy = "an earlier attempt may have run; check the effect before the request is repeated"
		}
		outcome, kind = err.Outcome, err.Kind
	}
	if f := t.opts.Hooks.OnOutcome; f != nil {
		f(c.req.Workspace, c.req.Class, outcome, kind)
	}
	c.reply <- result{answer: ans, err: err}
}

// shed ends a call that found no place in the queue or lost it.
func (t *task) shed(c *call, message string) {
	if f := t.opts.Hooks.OnShed; f != nil {
		f(c.req.Workspace, c.req.Class, model.ErrorKindOverloaded)
	}
	e := notRun(model.ErrorKindOverloaded, message, "retry later, or send fewer requests at once")
	e.RetryAfterMS = shedRetryAfter
	t.end(c, Answer{}, e)
}

// finish takes the end of an attempt: slots, runner health, then answer or retry.
func (t *task) finish(f finished, now time.Time) {
	c, r := f.call, f.runner
	c.abort()
	c.abort = nil
	r.inFlight--
	t.inFlight--
	took := now.Sub(f.started)
	if f.err == nil {
		c.service.observe(c.req.Class, r, took, now)
		r.succeeded(f.answer.Status, f.started, now)
		t.chargeLink(c, r, model.Bytes(len(f.answer.Body)), now)
		if h := t.opts.Hooks.OnServiceTime; h != nil {
			h(c.req.Workspace, c.req.Class, took)
		}
		t.end(c, Answer{Body: f.answer.Body, ContentType: f.answer.ContentType, Runner: r.host.ID, Attempts: c.attempts}, nil)
	} else {
		t.failed(f, took, now)
	}
	if r.gone && r.inFlight == 0 {
		r.sender.Close()
	}
	t.dispatch(c.service, now)
}

func (t *task) failed(f finished, took time.Duration, now time.Time) {
	c, r := f.call, f.runner
	failure := &runnerclient.Error{Err: f.err, BytesSent: true, Status: runnerclient.Status{FreeSlots: -1}}
	errors.As(f.err, &failure)
	expired := !now.Before(c.req.Deadline)
	// The caller's own haste is no fault of the runner, unless the runner had several times the usual time.
	switch {
	case c.canceled || t.stopping:
	case expired && !c.service.overdue(c.req.Class, took):
	default:
		r.failed(failure.Status, failure.NotRun && failure.BytesSent, f.started, now, t.rng)
	}
	c.written = c.written || failure.BytesSent || !failure.NotRun
	if !failure.NotRun {
		c.mayRun = true
	}
	if c.canceled || expired || t.stopping {
		t.end(c, Answer{}, notRun(model.ErrorKindDeadline, "the request ended before its answer came: "+f.err.Error(), "retry with a later deadline"))
		return
	}
	if t.mayRetry(c, r, failure, now) {
		if h := t.opts.Hooks.OnRetry; h != nil {
			h(c.req.Workspace, c.req.Class)
		}
		c.service.retries = append(c.service.retries, c)
		return
	}
	e := notRun(model.ErrorKindUpstream, fmt.Sprintf("runner %s failed: %v", r.host.ID, f.err), "retry later")
	e.RetryAfterMS = shedRetryAfter
	t.end(c, Answer{}, e)
}

// mayRetry spends the retry budgets of the workspace and of the runner that failed. A non-idempotent
// request is sent again only if no byte of it was written.
func (t *task) mayRetry(c *call, r *runner, failure *runnerclient.Error, now time.Time) bool {
	if c.attempts >= maxAttempts || t.services[c.service.id] != c.service || // the service was removed meanwhile
		!c.req.Idempotent && (failure.BytesSent || !failure.NotRun) {
		return false
	}
	b := t.budget(c.req.Workspace)
	if !b.Available(now) || !r.budget.Available(now) {
		return false
	}
	return b.Take(now) && r.budget.Take(now)
}

func (t *task) chargeLink(c *call, r *runner, n model.Bytes, now time.Time) {
	if r.tier != tierOther {
		return
	}
	t.link.Charge(now, n)
	if f := t.opts.Hooks.OnLinkBytes; f != nil {
		f(c.req.Workspace, c.req.Class, n)
	}
}

func notRun(kind model.ErrorKind, message, remedy string) *model.Error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: kind, Message: message, Remedy: remedy}
}
