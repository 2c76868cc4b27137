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

// task is the state that Run owns.
type task struct {
	opts     Options
	rng      *rand.Rand
	runCtx   context.Context // of all attempts
	done     chan finished
	set      *model.ConfigSet
	hostList []hostclient.Host
	rank     int
	hosts    int
	services map[model.ServiceID]*service
	budgets  map[model.WorkspaceID]*limiter.RetryBudget
	link     *limiter.ByteBudget
	accepted int // calls that have not ended
	inFlight int
	draining bool
	stopping bool
	drained  []chan struct{}
}

func (t *task) tierOf(h hostclient.Host) tier {
	switch {
	case h.Domain == t.opts.Domain:
		return tierDomain
	case h.Region == t.opts.Region:
		return tierRegion
	}
	return tierOther
}

func (t *task) budget(ws model.WorkspaceID) *limiter.RetryBudget {
	b := t.budgets[ws]
	if b == nil {
		b = &limiter.RetryBudget{}
		t.budgets[ws] = b
	}
	return b
}

// setConfig makes the services follow the configuration; requests of a service that is gone are not run.
func (t *task) setConfig(set *model.ConfigSet, now time.Time) {
	t.set = set
	weights := make(map[model.WorkspaceID]int, len(set.Workspaces))
	for id, ws := range set.Workspaces {
		weights[id] = ws.Weight
	}
	for id, s := range t.services {
		if _, ok := set.Services[id]; !ok {
			t.refuseWaiting(s, model.ErrorKindNotFound, "the service was removed from the configuration")
			s.setRunners(t, nil, now)
			delete(t.services, id)
		}
	}
	for ws := range t.budgets {
		if _, ok := set.Workspaces[ws]; !ok {
			delete(t.budgets, ws)
		}
	}
	for id, spec := range set.Services {
		s := t.services[id]
		if s == nil {
			s = &service{
				id: id, queue: queuer.New[*call](t.opts.Limits),
				runners: map[model.HostID]*runner{}, usual: map[model.ClassID]time.Duration{},
			}
			t.services[id] = s
		}
		s.spec = spec
		s.queue.SetWeights(weights)
		s.setRunners(t, t.hostList, now)
		t.dispatch(s, now)
	}
}

func (t *task) setRunners(hosts []hostclient.Host, now time.Time) {
	t.hostList = hosts
	for _, s := range t.services {
		s.setRunners(t, hosts, now)
		t.dispatch(s, now)
	}
}

func (t *task) setShare(rank, hosts int, now time.Time) {
	t.rank, t.hosts = rank, hosts
	t.link.SetRate(now, t.opts.LinkBytesPerSecond/model.Bytes(max(hosts, 1)))
	for _, s := range t.services {
		s.divide(rank, hosts)
		t.dispatch(s, now)
	}
}

// submit checks a call and queues it.
func (t *task) submit(c *call, now time.Time) {
	c.arrived = now
	if err := t.admit(c, now); err != nil {
		t.end(c, Answer{}, err)
		return
	}
	key := queuer.Key{
		Workspace: c.req.Workspace, Class: c.req.Class, Caller: c.req.Caller,
		Urgency: t.set.Classes[c.req.Class].Urgency,
	}
	e, displaced, err := c.service.queue.Push(c, key, c.req.Deadline)
	if err != nil {
		t.shed(c, err.Error())
		return
	}
	if displaced != nil {
		t.shed(displaced.Item, "displaced from the full queue by a caller with fewer requests")
	}
	c.entry, c.accepted = e, true
	t.accepted++
	t.dispatch(c.service, now)
}

// admit returns why a request can't be accepted.
func (t *task) admit(c *call, now time.Time) *model.Error {
	req := &c.req
	switch {
	case t.stopping || t.draining:
		return notRun(model.ErrorKindDraining, "this entry host is shutting down", "retry at once on another entry host")
	case t.set == nil || t.hosts == 0:
		return notRun(model.ErrorKindNotReady, "this entry host has no configuration or membership yet", "retry on another entry host")
	}
	s := t.services[req.Service]
	if s == nil {
		return notRun(model.ErrorKindNotFound, "no service has this name", "name a service of the configuration")
	}
	c.service = s
	if req.Class == "" && len(s.spec.Classes) > 0 {
		req.Class = s.spec.Classes[0]
	}
	switch {
	case !slices.Contains(s.spec.Workspaces, req.Workspace):
		return notRun(model.ErrorKindForbidden, "the workspace may not call this service", "ask an operator to add the workspace to the service")
	case !slices.Contains(s.spec.Classes, req.Class):
		return notRun(model.ErrorKindInvalid, "the service does not take this class", "name a class of the service")
	case model.Bytes(len(req.Body)) > maxBody(s.spec):
		return notRun(model.ErrorKindTooLarge, "the request body exceeds the limit of the service", "send a smaller body")
	case !now.Before(req.Deadline):
		return notRun(model.ErrorKindDeadline, "the deadline has passed", "retry with a later deadline")
	case len(s.runners) == 0:
		e := notRun(model.ErrorKindNoRunner, "no runner of the service is listed", "retry later")
		e.RetryAfterMS = shedRetryAfter
		return e
	}
	return nil
}

func maxBody(s model.Service) model.Bytes {
	if s.MaxBody > 0 {
		return s.MaxBody
	}
	return runnerclient.DefaultMaxBody
}

// cancel removes a waiting call. An idempotent one in progress is aborted; a non-idempotent one continues.
func (t *task) cancel(c *call) {
	if c.ended {
		return
	}
	canceled := notRun(model.ErrorKindDeadline, "the caller left before the request was sent", "retry with a later deadline")
	if c.abort != nil {
		if c.req.Idempotent {
			c.canceled = true
			c.abort()
		}
		return
	}
	if c.entry != nil {
		c.service.queue.Remove(c.entry)
	} else {
		c.service.retries = slices.DeleteFunc(c.service.retries, func(o *call) bool { return o == c })
	}
	t.end(c, Answer{}, canceled)
}

// expire ends waiting calls whose deadline has passed.
func (t *task) expire(s *service, now time.Time) {
	late := func(c *call) {
		t.end(c, Answer{}, notRun(model.ErrorKindDeadline, "the deadline passed while the request waited", "retry with a later deadline, or send fewer requests at once"))
	}
	for {
		e, ok := s.queue.PopExpired(now)
		if !ok {
			break
		}
		late(e.Item)
	}
	s.retries = slices.DeleteFunc(s.retries, func(c *call) bool {
		if now.Before(c.req.Deadline) {
			return false
		}
		late(c)
		return true
	})
}

// refuseWaiting ends all waiting calls of a service unsent.
func (t *task) refuseWaiting(s *service, kind model.ErrorKind, message string) {
	refuse := func(c *call) {
		t.end(c, Answer{}, notRun(kind, message, "retry on another entry host"))
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

// dispatch sends waiting requests as long as a runner is free.
func (t *task) dispatch(s *service, now time.Time) {
	t.expire(s, now)
	for !t.stopping && s.waiting() > 0 {
		// A runner that any call could use exists iff an idempotent call without history finds one.
		if s.choose(t, &call{req: Request{Idempotent: true}}, now) == nil {
			return
		}
		var c *call
		if len(s.retries) > 0 {
			c, s.retries = s.retries[0], s.retries[1:]
		} else {
			e, _ := s.queue.Pop()
			c = e.Item
		}
		t.send(c, s.choose(t, c, now), now)
	}
}

// send starts an attempt.
func (t *task) send(c *call, r *runner, now time.Time) {
	if !t.inspect(c, r, now) {
		return
	}
	if c.attempts == 0 {
		t.budget(c.req.Workspace).Request()
		if f := t.opts.Hooks.OnQueueWait; f != nil {
			f(c.req.Workspace, c.req.Class, now.Sub(c.arrived))
		}
	}
	c.entry, c.last = nil, r
	c.attempts++
	r.budget.Request()
	r.inFlight++
	t.inFlight++
	t.chargeLink(c, r, model.Bytes(len(c.req.Body)), now)
	ctx, abort := context.WithDeadline(t.runCtx, c.req.Deadline)
	c.abort = abort
	req := runnerclient.Request{ID: c.req.ID, ContentType: c.req.ContentType, Body: c.req.Body, Deadline: c.req.Deadline}
	go func() {
		ans, err := r.sender.Send(ctx, req)
		t.done <- finished{call: c, runner: r, started: now, answer: ans, err: err}
	}()
}
