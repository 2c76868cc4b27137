package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// holdWait is how long a worker keeps a report until a run ends; the platform allows at most 2 s.
	holdWait = 2 * time.Second
	// callTimeout bounds a call to a worker beyond its wait: two round trips between regions and a resent packet.
	callTimeout = 800 * time.Millisecond
	// holdPause is the pause before a failed report is asked for again.
	holdPause = 250 * time.Millisecond
	// ackWait bounds the wait until processed ends are in the log; after that only the lease is renewed.
	ackWait = 300 * time.Millisecond
	// stopRetry is the pause between orders to stop the same run.
	stopRetry = 300 * time.Millisecond
	// ordersAtOnce bounds the orders in flight to one worker.
	ordersAtOnce = 4
)

// session talks to one worker; it owns no state of the dispatcher and reports by messages.
type session struct {
	client WorkerClient
	fence  model.FencingToken
	lease  time.Duration
	events chan<- event
	ctx    context.Context
	close  context.CancelFunc
	orders chan struct{} // one token an order in flight

	mu      sync.Mutex
	plan    holdPlan
	fresh   bool      // the last call was a report, so that the worker's incarnation is known; used by run only
	granted time.Time // when the newest lease that a report may have granted ends for certain
	wake    chan struct{}
}

// holdPlan is what the dispatcher wants from the next report.
type holdPlan struct {
	info    model.Worker
	needed  bool // runs to watch, or ends to acknowledge
	settled bool
	durable int64
	seen    int64
	clock   WorkerTime
	clockAt time.Time
	known   bool // the clock is known
	quick   bool // one report at once
	answers bool // the last report came
}

func newSession(ctx context.Context, d *Dispatcher, info model.Worker) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		client: d.Workers, fence: d.Term.Fence, lease: d.LeaseDuration, events: d.events, ctx: ctx, close: cancel,
		orders: make(chan struct{}, ordersAtOnce), wake: make(chan struct{}, 1),
	}
	s.plan.info = info
	go s.run()
	return s
}

// set changes the plan and wakes the session when it has something to do.
func (s *session) set(change func(*holdPlan)) {
	s.mu.Lock()
	change(&s.plan)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) get() holdPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.plan
	s.plan.quick = false
	return p
}

func (s *session) send(e event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

func (s *session) run() {
	for s.ctx.Err() == nil {
		p := s.get()
		switch {
		case !p.settled || p.needed || p.quick:
			s.hold(p)
		default:
			s.fresh = false
			s.pause(time.Hour)
		}
	}
}

// pause waits for a change of the plan.
func (s *session) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.wake:
	case <-t.C:
	case <-s.ctx.Done():
	}
}

func (s *session) hold(p holdPlan) {
	o := RenewLeaseRequest{Fence: s.fence}
	// After a pause or a failed call the worker may have been restarted; its ends count from 1 again, and the number of
	// the former life would forget ends that nobody has seen.
	if s.fresh {
		o.AckedThrough = p.durable
	}
	// A worker that does not answer gets no new lease: otherwise each call that may have arrived would put off the time
	// at which its runs have ended for certain.
	if p.known && p.answers {
		if p.settled {
			o.LeaseUntil = p.clock + WorkerTime((time.Since(p.clockAt) + s.lease).Milliseconds())
		}
		if p.settled && p.durable >= p.seen && !p.quick && s.fresh {
			o.MaxWait = holdWait
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, o.MaxWait+callTimeout)
	before := s.grant(o.LeaseUntil != 0, p.clockAt)
	sentAt := time.Now()
	rep, err := s.client.RenewLease(ctx, p.info, o)
	cancel()
	if errors.Is(err, ErrNotSent) {
		s.revoke(before)
	}
	done := make(chan struct{})
	s.send(&reported{
		worker: p.info.ID, report: rep, err: err, sentAt: sentAt, answeredAt: time.Now(), acked: o.AckedThrough, done: done,
	})
	select {
	case <-done:
	case <-s.ctx.Done():
		return
	}
	s.fresh = err == nil
	if err != nil {
		s.backOff()
		return
	}
	s.awaitDurable()
}

// grant notes, before the call is sent, that it may renew the lease; it returns the time before.
func (s *session) grant(renews bool, clockAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.granted
	if renews {
		now := time.Now()
		s.granted = leaseEnd(now, s.lease+drift(now.Sub(clockAt)))
	}
	return before
}

// revoke takes a grant back whose call was not sent.
func (s *session) revoke(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted = before
}

// leaseEnds returns when the newest lease that a report may have granted ends for certain.
func (s *session) leaseEnds() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

func (s *session) backOff() {
	t := time.NewTimer(holdPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// awaitDurable waits until processed ends are in the log, so that the next report can acknowledge them and wait.
func (s *session) awaitDurable() {
	deadline := time.Now().Add(ackWait)
	for s.ctx.Err() == nil {
		s.mu.Lock()
		behind := s.plan.durable < s.plan.seen
		s.mu.Unlock()
		rest := time.Until(deadline)
		if !behind || rest <= 0 {
			return
		}
		s.pause(rest)
	}
}

// start sends a start order in the background.
func (s *session) start(info model.Worker, o StartRequest) {
	go s.order(func(ctx context.Context) event {
		rep, err := s.client.Start(ctx, info, o)
		return &started{worker: info.ID, run: o.Run, reply: rep, answeredAt: time.Now(), err: err}
	})
}

// stop sends a stop order in the background after a pause.
func (s *session) stop(info model.Worker, o StopRequest, pause time.Duration) {
	go func() {
		if pause > 0 {
			t := time.NewTimer(pause)
			defer t.Stop()
			select {
			case <-t.C:
			case <-s.ctx.Done():
				return
			}
		}
		s.order(func(ctx context.Context) event {
			rep, err := s.client.Stop(ctx, info, o)
			return &stopped{worker: info.ID, run: o.Run, reply: rep, answeredAt: time.Now(), err: err}
		})
	}()
}

func (s *session) order(call func(context.Context) event) {
	select {
	case s.orders <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	e := call(ctx)
	cancel()
	<-s.orders
	s.send(e)
}
