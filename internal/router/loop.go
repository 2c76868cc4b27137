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
	config        *model.ConfigSet
	hostList      []hostclient.Host
	rank          int
	hostCount     int
	services      map[model.ServiceID]*service
	retryBudgets  map[model.WorkspaceID]*limiter.RetryBudget
	linkBudget    *limiter.ByteBudget
	acceptedCalls int // accepted calls that have not ended
	inFlight      int
	draining      bool
	stopping      bool
	drainWaiters  []chan struct{}
}

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

// setConfig applies a configuration; waiting requests of a removed service are refused as not-run.
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
				runners: map[model.HostID]*runner{}, usualTime: map[model.ClassID]time.Duration{},
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

func (l *eventLoop) setRank(rank, hostCount int, now time.Time) {
	l.rank, l.hostCount = rank, hostCount
	l.linkBudget.SetRate(now, l.opts.LinkBytesPerSecond/model.Bytes(max(hostCount, 1)))
	for _, s := range l.services {
		s.assignShares(rank, hostCount)
		l.dispatch(s, now)
	}
}

// submit validates a call, queues it and dispatches its service.
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

// admit selects the service and the class of a call, or returns the error with which it is refused.
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
	case model.Bytes(len(req.Body)) > maxBody(s.spec):
		return notRunError(model.ErrorKindTooLarge, "the request body exceeds the limit of the service", "send a smaller body")
	case !now.Before(req.Deadline):
		return notRunError(model.ErrorKindDeadline, "the deadline has passed", "retry with a later deadline")
	case len(s.runners) == 0:
		e := notRunError(model.ErrorKindNoRunner, "no runner of the service is listed", "retry later")
		e.RetryAfterMS = shedRetryAfter
		return e
	}
	return nil
}

func maxBody(s model.Service) model.Bytes {
	if s.MaxBodyBytes > 0 {
		return s.MaxBodyBytes
	}
	return runnerclient.DefaultMaxResponseBytes
}

// cancel removes a waiting call or aborts an idempotent one in progress; a non-idempotent one in progress continues.
func (l *eventLoop) cancel(c *call) {
	if c.hasEnded {
		return
	}
	err := notRunError(model.ErrorKindDeadline, "the caller left before the request was sent", "retry with a later deadline")
	if c.cancelAttempt != nil {
		if c.req.Idempotent {
			c.isCanceled = true
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

// refuseWaiting ends all waiting calls of a service as not-run.
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

// dispatch starts attempts for waiting calls as long as a runner is free.
func (l *eventLoop) dispatch(s *service, now time.Time) {
	l.expireWaiting(s, now)
	for !l.stopping && s.waitingCount() > 0 {
		// An idempotent call without earlier attempts excludes no runner. If it finds none, no call does.
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

// startAttempt sends the request of a call to the runner.
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
