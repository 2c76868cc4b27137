package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/limiter"
	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// eventLoop is the state of the router. Only the goroutine of Run accesses it.
type eventLoop struct {
	opts          Options
	rng           *rand.Rand
	attemptCtx    context.Context // parent context of all attempts
	attemptDone   chan attemptResult
	config        *model.ConfigSet // nil until the first SetConfig
	hostList      []hostclient.Host
	hostIndex     int // index of this host among the entry hosts of its failure domain
	hostCount     int // number of entry hosts of the failure domain; 0 until the first SetHostIndex
	services      map[model.ServiceID]*service
	retryBudgets  map[model.WorkspaceID]*limiter.RetryBudget
	linkBudget    *limiter.ByteBudget
	acceptedCalls int             // number of accepted calls that have not ended
	inFlight      int             // number of attempts in progress
	draining      bool            // Drain was called, so new calls are refused
	stopping      bool            // the context of Run has ended
	drainWaiters  []chan struct{} // closed when the drain is complete
}

// tierOf returns the tier of a runner, seen from this host.
func (l *eventLoop) tierOf(h hostclient.Host) tier {
	switch {
	case h.Domain == l.opts.Domain:
		return tierDomain
	case h.Region == l.opts.Region:
		return tierRegion
	}
	return tierOther
}

// retryBudget returns the retry budget of a workspace.
func (l *eventLoop) retryBudget(ws model.WorkspaceID) *limiter.RetryBudget {
	budget := l.retryBudgets[ws]
	if budget == nil {
		budget = &limiter.RetryBudget{}
		l.retryBudgets[ws] = budget
	}
	return budget
}

// setConfig applies a configuration and refuses the waiting calls of removed services with the outcome not-run.
func (l *eventLoop) setConfig(set *model.ConfigSet, now time.Time) {
	l.config = set
	weights := make(map[model.WorkspaceID]int, len(set.Workspaces))
	for id, ws := range set.Workspaces {
		weights[id] = ws.Weight
	}
	for id, s := range l.services {
		if _, ok := set.Services[id]; !ok {
			l.refuseWaiting(s, model.ErrorKindNotFound, "the service was removed from the configuration")
			s.setRunners(l, nil, now)
			delete(l.services, id)
		}
	}
	for ws := range l.retryBudgets {
		if _, ok := set.Workspaces[ws]; !ok {
			delete(l.retryBudgets, ws)
		}
	}
	for id, spec := range set.Services {
		s := l.services[id]
		if s == nil {
			s = &service{
				id: id, queue: queuer.New[*call](l.opts.Limits),
				runners: map[model.HostID]*runner{}, usualServiceTime: map[model.ClassID]time.Duration{},
			}
			l.services[id] = s
		}
		s.spec = spec
		s.queue.SetWeights(weights)
		s.setRunners(l, l.hostList, now)
		l.dispatch(s, now)
	}
}

func (l *eventLoop) setRunners(hosts []hostclient.Host, now time.Time) {
	l.hostList = hosts
	for _, s := range l.services {
		s.setRunners(l, hosts, now)
		l.dispatch(s, now)
	}
}

func (l *eventLoop) setHostIndex(hostIndex, hostCount int, now time.Time) {
	l.hostIndex, l.hostCount = hostIndex, hostCount
	l.linkBudget.SetRate(now, l.opts.LinkBytesPerSecond/model.Bytes(max(hostCount, 1)))
	for _, s := range l.services {
		s.assignShares(hostIndex, hostCount)
		l.dispatch(s, now)
	}
}

// submit queues a new call and dispatches its service, or ends the call if it is refused.
func (l *eventLoop) submit(c *call, now time.Time) {
	c.arrivedAt = now
	if err := l.admit(c, now); err != nil {
		l.endCall(c, Response{}, err)
		return
	}
	key := queuer.Key{
		Workspace: c.req.Workspace, Class: c.req.Class, Caller: c.req.Caller,
		Urgency: l.config.Classes[c.req.Class].Urgency,
	}
	e, displaced, err := c.service.queue.Push(c, key, c.req.Deadline)
	if err != nil {
		l.shedCall(c, err.Error())
		return
	}
	if displaced != nil {
		l.shedCall(displaced.Item, "displaced from the full queue by a caller with fewer requests")
	}
	c.entry, c.isAccepted = e, true
	l.acceptedCalls++
	l.dispatch(c.service, now)
}

// admit sets the service of a call and its class if it names none, or returns the error with which the call is refused.
func (l *eventLoop) admit(c *call, now time.Time) *model.Error {
	req := &c.req
	switch {
	case l.stopping || l.draining:
		return notRunError(model.ErrorKindDraining, "this entry host is shutting down", "retry at once on another entry host")
	case l.config == nil || l.hostCount == 0:
		return notRunError(model.ErrorKindNotReady, "this entry host has no configuration or membership yet", "retry on another entry host")
	}
	s := l.services[req.Service]
	if s == nil {
		return notRunError(model.ErrorKindNotFound, "no service has this name", "name a service of the configuration")
	}
	c.service = s
	if req.Class == "" && len(s.spec.Classes) > 0 {
		req.Class = s.spec.Classes[0]
	}
	switch {
	case !slices.Contains(s.spec.Workspaces, req.Workspace):
		return notRunError(model.ErrorKindForbidden, "the workspace may not call this service", "ask an operator to add the workspace to the service")
	case !slices.Contains(s.spec.Classes, req.Class):
		return notRunError(model.ErrorKindInvalid, "the service does not take this class", "name a class of the service")
	case model.Bytes(len(req.Body)) > maxRequestBodyBytes(s.spec):
		return notRunError(model.ErrorKindTooLarge, "the request body exceeds the limit of the service", "send a smaller body")
	case !now.Before(req.Deadline):
		return notRunError(model.ErrorKindDeadline, "the deadline has passed", "retry with a later deadline")
	case len(s.runners) == 0:
		e := notRunError(model.ErrorKindNoRunner, "no runner of the service is listed", "retry later")
		e.RetryAfterMS = shedRetryAfterMS
		return e
	}
	return nil
}

func maxRequestBodyBytes(s model.Service) model.Bytes {
	if s.MaxBodyBytes > 0 {
		return s.MaxBodyBytes
	}
	return runnerclient.DefaultMaxResponseBytes
}

// cancel ends a waiting call or aborts the attempt of an idempotent one. An attempt of a non-idempotent call continues, because
// an abort would leave its outcome unknown.
func (l *eventLoop) cancel(c *call) {
	if c.hasEnded {
		return
	}
	err := notRunError(model.ErrorKindDeadline, "the caller left before the request was sent", "retry with a later deadline")
	if c.cancelAttempt != nil {
		if c.req.Idempotent {
			c.isCancelled = true
			c.cancelAttempt()
		}
		return
	}
	if c.entry != nil {
		c.service.queue.Remove(c.entry)
	} else {
		c.service.retries = slices.DeleteFunc(c.service.retries, func(o *call) bool { return o == c })
	}
	l.endCall(c, Response{}, err)
}

// expireWaiting ends the waiting calls whose deadline has passed.
func (l *eventLoop) expireWaiting(s *service, now time.Time) {
	expireCall := func(c *call) {
		l.endCall(c, Response{}, notRunError(model.ErrorKindDeadline, "the deadline passed while the request waited",
			"retry with a later deadline, or send fewer requests at once"))
	}
	for {
		e, ok := s.queue.PopExpired(now)
		if !ok {
			break
		}
		expireCall(e.Item)
	}
	s.retries = slices.DeleteFunc(s.retries, func(c *call) bool {
		if now.Before(c.req.Deadline) {
			return false
		}
		expireCall(c)
		return true
	})
}

// refuseWaiting ends all waiting calls of a service with the outcome not-run.
func (l *eventLoop) refuseWaiting(s *service, kind model.ErrorKind, message string) {
	refuse := func(c *call) {
		l.endCall(c, Response{}, notRunError(kind, message, "retry on another entry host"))
	}
	for {
		e, ok := s.queue.Pop()
		if !ok {
			break
		}
		refuse(e.Item)
	}
	for _, c := range s.retries {
		refuse(c)
	}
	s.retries = nil
}

// dispatch starts attempts for waiting calls, retries first, as long as a runner is free.
func (l *eventLoop) dispatch(s *service, now time.Time) {
	l.expireWaiting(s, now)
	for !l.stopping && s.waitingCount() > 0 {
		// An idempotent call without earlier attempts avoids no runner. If there is no runner for it, there is none for any call.
		if s.chooseRunner(l, &call{req: Request{Idempotent: true}}, now) == nil {
			return
		}
		var c *call
		if len(s.retries) > 0 {
			c, s.retries = s.retries[0], s.retries[1:]
		} else {
			e, _ := s.queue.Pop()
			c = e.Item
		}
		l.startAttempt(c, s.chooseRunner(l, c, now), now)
	}
}

// startAttempt sends the request of a call to the runner in a goroutine that reports the end of the attempt to the event loop.
func (l *eventLoop) startAttempt(c *call, r *runner, now time.Time) {
	if !l.checkSend(c, r, now) {
		return
	}
	if c.attempts == 0 {
		l.retryBudget(c.req.Workspace).RecordRequest()
		if f := l.opts.Hooks.OnQueueWait; f != nil {
			f(c.req.Workspace, c.req.Class, now.Sub(c.arrivedAt))
		}
	}
	c.entry, c.lastRunner = nil, r
	c.attempts++
	r.retryBudget.RecordRequest()
	r.inFlight++
	l.inFlight++
	l.chargeLink(c, r, model.Bytes(len(c.req.Body)), now)
	ctx, cancel := context.WithDeadline(l.attemptCtx, c.req.Deadline)
	c.cancelAttempt = cancel
	req := runnerclient.Request{ID: c.req.ID, ContentType: c.req.ContentType, Body: c.req.Body, Deadline: c.req.Deadline}
	go func() {
		resp, err := r.sender.Send(ctx, req)
		l.attemptDone <- attemptResult{call: c, runner: r, startedAt: now, response: resp, err: err}
	}()
}
