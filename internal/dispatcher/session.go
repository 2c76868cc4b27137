package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// reportWait is how long a worker may delay a report until a run ends. The platform allows at most 2 s.
	reportWait = 2 * time.Second
	// callTimeout bounds a call to a worker, not counting reportWait. It covers two round trips between regions and a resent packet.
	callTimeout = 800 * time.Millisecond
	// reportRetryDelay is the delay before a failed lease renewal is retried.
	reportRetryDelay = 250 * time.Millisecond
	// durableWait bounds the wait until processed run ends are in the log. After that, the lease is renewed without acknowledging them.
	durableWait = 300 * time.Millisecond
	// stopRetryDelay is the delay before a failed stop request is sent again.
	stopRetryDelay = 300 * time.Millisecond
	// maxRequestsInFlight bounds the start and stop requests in flight to one worker.
	maxRequestsInFlight = 4
)

// session exchanges requests with one worker. It has no access to the state of the dispatcher, and reports to it through events.
type session struct {
	client       WorkerClient
	fence        model.FencingToken
	lease        time.Duration
	events       chan<- event
	ctx          context.Context
	close        context.CancelFunc
	requestSlots chan struct{} // holds one token per start or stop request in flight

	mu               sync.Mutex
	plan             renewalPlan
	incarnationKnown bool          // the last call returned a report, so the incarnation of the worker is known; used by run only
	grantedUntil     time.Time     // when the latest lease that a renewal may have granted has certainly ended
	wake             chan struct{} // signals a change of the plan
}

// renewalPlan is the state of the worker from which the session derives its next lease renewal.
type renewalPlan struct {
	info         model.Worker
	hasWork      bool       // there are runs to keep or run ends to acknowledge
	hasReported  bool       // the worker has reported in this term
	durableEnd   int64      // last run end whose effect is in the log
	processedEnd int64      // last run end that the dispatcher has processed
	clock        WorkerTime // clock of the worker at clockAt
	clockAt      time.Time
	clockKnown   bool // clock and clockAt are valid
	immediate    bool // a report without delay is wanted once
	isResponding bool // the last call was answered
}

// newSession starts a session with a worker. It runs until the context ends or close is called.
func newSession(ctx context.Context, d *Dispatcher, info model.Worker) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		client: d.Workers, fence: d.Term.Fence, lease: d.LeaseDuration, events: d.events, ctx: ctx, close: cancel,
		requestSlots: make(chan struct{}, maxRequestsInFlight), wake: make(chan struct{}, 1),
	}
	s.plan.info = info
	go s.run()
	return s
}

// updatePlan changes the plan and wakes the session.
func (s *session) updatePlan(change func(*renewalPlan)) {
	s.mu.Lock()
	change(&s.plan)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takePlan returns the plan and clears its request for a report without delay.
func (s *session) takePlan() renewalPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.plan
	s.plan.immediate = false
	return p
}

// post sends an event to the dispatcher, unless the session ends first.
func (s *session) post(e event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// run renews the lease for as long as the plan requires reports, and otherwise waits for a change of the plan.
func (s *session) run() {
	for s.ctx.Err() == nil {
		p := s.takePlan()
		switch {
		case !p.hasReported || p.hasWork || p.immediate:
			s.renewLease(p)
		default:
			s.incarnationKnown = false
			s.waitForChange(time.Hour)
		}
	}
}

// waitForChange waits until the plan changes, or for at most d.
func (s *session) waitForChange(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.wake:
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// renewLease sends one lease renewal and waits until its outcome has been applied.
func (s *session) renewLease(p renewalPlan) {
	req := RenewLeaseRequest{Fence: s.fence}
	// After a pause or a failed call the worker may have restarted. It then numbers its run ends from 1 again, and an
	// acknowledgement with a number from before the restart would discard run ends that nobody has processed.
	if s.incarnationKnown {
		req.AckedThrough = p.durableEnd
	}
	// A worker that does not respond gets no new lease. Otherwise each call that may have arrived would postpone the time
	// at which its runs have certainly ended.
	if p.clockKnown && p.isResponding {
		if p.hasReported {
			req.LeaseUntil = p.clock + WorkerTime((time.Since(p.clockAt) + s.lease).Milliseconds())
		}
		if p.hasReported && p.durableEnd >= p.processedEnd && !p.immediate && s.incarnationKnown {
			req.MaxWait = reportWait
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, req.MaxWait+callTimeout)
	previous := s.recordGrant(req.LeaseUntil != 0, p.clockAt)
	sentAt := time.Now()
	report, err := s.client.RenewLease(ctx, p.info, req)
	cancel()
	if errors.Is(err, ErrNotSent) {
		s.restoreGrant(previous)
	}
	done := make(chan struct{})
	s.post(&reportEvent{
		worker: p.info.ID, report: report, err: err, sentAt: sentAt, answeredAt: time.Now(), ackedEnd: req.AckedThrough, handled: done,
	})
	select {
	case <-done:
	case <-s.ctx.Done():
		return
	}
	s.incarnationKnown = err == nil
	if err != nil {
		s.backOff()
		return
	}
	s.awaitDurable()
}

// recordGrant records, before a call is sent, that it may renew the lease. It returns the previous value for restoreGrant.
func (s *session) recordGrant(renews bool, clockAt time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.grantedUntil
	if renews {
		now := time.Now()
		s.grantedUntil = leaseEnd(now, s.lease+clockDrift(now.Sub(clockAt)))
	}
	return previous
}

// restoreGrant undoes recordGrant for a call that was not sent.
func (s *session) restoreGrant(previous time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantedUntil = previous
}

// latestLeaseEnd returns when the latest lease that a renewal may have granted has certainly ended.
func (s *session) latestLeaseEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grantedUntil
}

// backOff waits for reportRetryDelay.
func (s *session) backOff() {
	t := time.NewTimer(reportRetryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// awaitDurable waits until the processed run ends are in the log, so that the next call can acknowledge them and wait for more.
func (s *session) awaitDurable() {
	deadline := time.Now().Add(durableWait)
	for s.ctx.Err() == nil {
		s.mu.Lock()
		unwritten := s.plan.durableEnd < s.plan.processedEnd
		s.mu.Unlock()
		remaining := time.Until(deadline)
		if !unwritten || remaining <= 0 {
			return
		}
		s.waitForChange(remaining)
	}
}

// sendStart sends a start request in the background.
func (s *session) sendStart(info model.Worker, req StartRequest) {
	go s.sendRequest(func(ctx context.Context) event {
		reply, err := s.client.Start(ctx, info, req)
		return &startEvent{worker: info.ID, run: req.Run, reply: reply, answeredAt: time.Now(), err: err}
	})
}

// sendStop sends a stop request in the background after a delay.
func (s *session) sendStop(info model.Worker, req StopRequest, delay time.Duration) {
	go func() {
		if delay > 0 {
			t := time.NewTimer(delay)
			defer t.Stop()
			select {
			case <-t.C:
			case <-s.ctx.Done():
				return
			}
		}
		s.sendRequest(func(ctx context.Context) event {
			reply, err := s.client.Stop(ctx, info, req)
			return &stopEvent{worker: info.ID, run: req.Run, reply: reply, answeredAt: time.Now(), err: err}
		})
	}()
}

// sendRequest makes a call when a request slot is free, and posts its outcome.
func (s *session) sendRequest(call func(context.Context) event) {
	select {
	case s.requestSlots <- struct{}{}:
	case <-s.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	e := call(ctx)
	cancel()
	<-s.requestSlots
	s.post(e)
}
