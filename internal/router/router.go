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

// DefaultLinkBytesPerSecond is a quarter of the 30 Mbit/s between regions. Three failure domains then leave a
// quarter to the log and the peers, even if all bytes go in the same direction.
const DefaultLinkBytesPerSecond model.Bytes = 30_000_000 / 8 / 4

// message is handled by the router's task.
type message func(t *task, now time.Time)

// Router is the handle of the router's task; its methods may be called by any goroutine and wait until Run runs.
type Router struct {
	opts    Options
	inbox   chan message
	stopped chan struct{}
}

// New returns a router; Run must be started before any other method returns.
func New(o Options) *Router {
	if o.LinkBytesPerSecond <= 0 {
		o.LinkBytesPerSecond = DefaultLinkBytesPerSecond
	}
	if o.Dial == nil {
		o.Dial = func(_ hostclient.Host, ro runnerclient.Options) Sender { return runnerclient.New(ro) }
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64() // hosts with the same seed would choose the same runners and back off in step
	}
	return &Router{opts: o, inbox: make(chan message), stopped: make(chan struct{})}
}

// Run is the router's task; when ctx ends, queued requests are not run and those in progress are aborted.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.stopped)
	runCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	t := &task{
		opts:     r.opts,
		rng:      rand.New(rand.NewPCG(r.opts.Seed, 0)),
		runCtx:   runCtx,
		done:     make(chan finished),
		services: map[model.ServiceID]*service{},
		budgets:  map[model.WorkspaceID]*limiter.RetryBudget{},
		link:     limiter.NewByteBudget(r.opts.LinkBytesPerSecond),
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	quit := ctx.Done()
	for !t.stopping || t.inFlight > 0 {
		select {
		case m := <-r.inbox:
			m(t, time.Now())
		case f := <-t.done:
			t.finish(f, time.Now())
		case <-timer.C:
			for _, s := range t.services {
				t.dispatch(s, time.Now())
			}
		case <-quit:
			quit, t.stopping = nil, true
			for _, s := range t.services {
				t.refuseWaiting(s, model.ErrorKindDraining, "this entry host stopped before the request was sent")
			}
			abort()
		}
		t.settle(timer, time.Now())
	}
	for _, s := range t.services {
		s.setRunners(t, nil, time.Now())
	}
	return nil
}

// settle sets the timer for the next event that no message announces, and releases those who wait for the drain.
func (t *task) settle(timer *time.Timer, now time.Time) {
	var at time.Time
	for _, s := range t.services {
		at = earlier(at, s.wake(t, now))
	}
	if at.IsZero() {
		timer.Stop()
	} else {
		timer.Reset(at.Sub(now))
	}
	if t.draining && t.accepted == 0 {
		for _, ch := range t.drained {
			close(ch)
		}
		t.drained = nil
	}
}

// post hands a message to the task and reports whether it will be handled.
func (r *Router) post(m message) bool {
	select {
	case r.inbox <- m:
		return true
	case <-r.stopped:
		return false
	}
}

// Do runs a request and returns its whole answer, or a *model.Error with outcome not-run or unknown.
// When ctx ends, a queued request is removed; a non-idempotent one in progress continues to its deadline.
func (r *Router) Do(ctx context.Context, req Request) (Answer, error) {
	c := &call{req: req, reply: make(chan result, 1)}
	if !r.post(func(t *task, now time.Time) { t.submit(c, now) }) {
		return Answer{}, notRun(model.ErrorKindDraining, "this entry host has stopped", "retry on another entry host")
	}
	var res result
	select {
	case res = <-c.reply:
	case <-ctx.Done():
		r.post(func(t *task, _ time.Time) { t.cancel(c) })
		res = <-c.reply // always comes: at the latest at the deadline or when Run ends
	}
	if res.err != nil {
		return Answer{}, res.err
	}
	return res.answer, nil
}

// SetRunners replaces the runner table with the runners of the host list; other roles are ignored.
func (r *Router) SetRunners(hosts []hostclient.Host) {
	r.post(func(t *task, now time.Time) { t.setRunners(hosts, now) })
}

// SetRank sets this host's rank among the entry hosts of its failure domain; requests are refused before the first call.
func (r *Router) SetRank(rank, hosts int) {
	r.post(func(t *task, now time.Time) { t.setShare(rank, hosts, now) })
}

// SetConfig takes services, classes and workspace weights from a configuration, which must not change afterwards.
func (r *Router) SetConfig(set *model.ConfigSet) {
	r.post(func(t *task, now time.Time) { t.setConfig(set, now) })
}

// Drain refuses new requests from now on and returns once all accepted ones have ended, or with ctx's error.
func (r *Router) Drain(ctx context.Context) error {
	ended := make(chan struct{})
	if !r.post(func(t *task, _ time.Time) { t.draining, t.drained = true, append(t.drained, ended) }) {
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

// Load returns a snapshot of the router's load.
func (r *Router) Load() Load {
	ch := make(chan Load, 1)
	if !r.post(func(t *task, now time.Time) {
		l := Load{InFlight: t.inFlight}
		for _, s := range t.services {
			l.Queued += s.waiting()
			l.Free += s.free(now)
		}
		ch <- l
	}) {
		return Load{}
	}
	return <-ch
}
