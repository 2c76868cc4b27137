package router

import (
	"context"
	"math/rand/v2"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/limiter"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// DefaultLinkBytesPerSecond is a quarter of the 30 Mbit/s between regions. Three failure domains then leave a quarter for
// the log and the peers, even if all bytes go in the same direction.
const DefaultLinkBytesPerSecond model.Bytes = 30_000_000 / 8 / 4

// message is a function that the event loop calls with its state and the current time.
type message func(l *eventLoop, now time.Time)

// Router is the interface to the event loop. Its methods are safe for concurrent use and block until Run has been started.
type Router struct {
	opts    Options
	inbox   chan message
	stopped chan struct{}
}

// New returns a router; Run must be called to start it.
func New(o Options) *Router {
	if o.LinkBytesPerSecond <= 0 {
		o.LinkBytesPerSecond = DefaultLinkBytesPerSecond
	}
	if o.NewSender == nil {
		o.NewSender = func(_ hostclient.Host, ro runnerclient.Options) Sender { return runnerclient.New(ro) }
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64() // with the same seed, hosts would choose the same runners and retry at the same times
	}
	return &Router{opts: o, inbox: make(chan message), stopped: make(chan struct{})}
}

// Run runs the event loop until ctx ends. It then refuses waiting requests with the outcome not-run, aborts those in progress
// and returns nil.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.stopped)
	attemptCtx, cancelAttempts := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelAttempts()
	l := &eventLoop{
		opts:         r.opts,
		rng:          rand.New(rand.NewPCG(r.opts.Seed, 0)),
		attemptCtx:   attemptCtx,
		attemptDone:  make(chan attemptResult),
		services:     map[model.ServiceID]*service{},
		retryBudgets: map[model.WorkspaceID]*limiter.RetryBudget{},
		linkBudget:   limiter.NewByteBudget(r.opts.LinkBytesPerSecond),
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	quit := ctx.Done()
	for !l.stopping || l.inFlight > 0 {
		select {
		case m := <-r.inbox:
			m(l, time.Now())
		case res := <-l.attemptDone:
			l.finishAttempt(res, time.Now())
		case <-timer.C:
			for _, s := range l.services {
				l.dispatch(s, time.Now())
			}
		case <-quit:
			quit, l.stopping = nil, true
			for _, s := range l.services {
				l.refuseWaiting(s, model.ErrorKindDraining, "this entry host stopped before the request was sent")
			}
			cancelAttempts()
		}
		l.afterEvent(timer, time.Now())
	}
	for _, s := range l.services {
		s.setRunners(l, nil, time.Now())
	}
	return nil
}

// afterEvent sets the timer to the earliest wakeup of all services and, once a drain is complete, releases its waiters.
func (l *eventLoop) afterEvent(timer *time.Timer, now time.Time) {
	var at time.Time
	for _, s := range l.services {
		at = earlier(at, s.nextWakeup(l, now))
	}
	if at.IsZero() {
		timer.Stop()
	} else {
		timer.Reset(at.Sub(now))
	}
	if l.draining && l.acceptedCalls == 0 {
		for _, ch := range l.drainWaiters {
			close(ch)
		}
		l.drainWaiters = nil
	}
}

// post sends a message to the event loop and reports whether it will be handled.
func (r *Router) post(m message) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.stopped:
		return false
	}
}

// Do runs a request and returns its complete response, or a *model.Error with outcome not-run or unknown.
// When ctx ends, a waiting request is removed and an idempotent one in progress is aborted. A non-idempotent request in
// progress continues until its deadline.
func (r *Router) Do(ctx context.Context, req Request) (Response, error) {
	c := &call{req: req, results: make(chan result, 1)}
	if !r.post(func(l *eventLoop, now time.Time) { l.submit(c, now) }) {
		return Response{}, notRunError(model.ErrorKindDraining, "this entry host has stopped", "retry on another entry host")
	}
	var res result
	select {
	case res = <-c.results:
	case <-ctx.Done():
		r.post(func(l *eventLoop, _ time.Time) { l.cancel(c) })
		res = <-c.results // comes at the latest at the deadline or when Run ends
	}
	if res.err != nil {
		return Response{}, res.err
	}
	return res.response, nil
}

// SetRunners replaces the runner tables by the runners in the host list; hosts of other roles are ignored.
func (r *Router) SetRunners(hosts []hostclient.Host) {
	r.post(func(l *eventLoop, now time.Time) { l.setRunners(hosts, now) })
}

// SetHostIndex sets the index of this host among the entry hosts of its failure domain, and their number. Requests are refused
// until the first call.
func (r *Router) SetHostIndex(hostIndex, hostCount int) {
	r.post(func(l *eventLoop, now time.Time) { l.setHostIndex(hostIndex, hostCount, now) })
}

// SetConfig applies the services, classes and workspace weights of a configuration, which must not be modified afterwards.
func (r *Router) SetConfig(set *model.ConfigSet) {
	r.post(func(l *eventLoop, now time.Time) { l.setConfig(set, now) })
}

// Drain refuses new requests and waits until all accepted ones have ended or Run has returned. If ctx ends first, Drain returns
// its error.
func (r *Router) Drain(ctx context.Context) error {
	ended := make(chan struct{})
	if !r.post(func(l *eventLoop, _ time.Time) { l.draining, l.drainWaiters = true, append(l.drainWaiters, ended) }) {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load returns the current load; it is zero once Run has ended.
func (r *Router) Load() Load {
	ch := make(chan Load, 1)
	if !r.post(func(l *eventLoop, now time.Time) {
		load := Load{InFlight: l.inFlight}
		for _, s := range l.services {
			load.Queued += s.waitingCount()
			load.Free += s.freeSlots(now)
		}
		ch <- load
	}) {
		return Load{}
	}
	return <-ch
}
