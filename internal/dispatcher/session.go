package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/gatekeeper"
	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/internal/throttler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// reportWait is the maximum time for which a worker may delay a report until a run ends. The platform allows at most 2 s.
	reportWait = 2 * time.Second
	// minReportWait is the wait while the leases that can be granted become short, so that they are extended soon after the log
	// responds again.
	minReportWait = 500 * time.Millisecond
	// reportRetryDelay is the delay before a failed lease renewal is retried.
	reportRetryDelay = 250 * time.Millisecond
	// closedRetryDelay is the delay before a renewal is retried whose connection was closed, which tells a worker that has ended from a reset.
	closedRetryDelay = 20 * time.Millisecond
	// probeInterval is the delay before a renewal that only asks whether a worker without runs responds again.
	probeInterval = time.Second
	// maxClockAge is the time after which an idle worker is asked for its clock. The longer ago it was read, the shorter are the
	// leases that can be granted without exceeding their bound on a slow clock.
	maxClockAge = 2 * time.Minute
	// durableWait limits the wait until processed run ends are in the log. After that, the lease is renewed without acknowledging
	// them.
	durableWait = 300 * time.Millisecond
)

// session sends requests to one worker. It has no access to the state of the dispatcher, and passes all outcomes to it as events.
type session struct {
	client        WorkerClient
	fence         model.FencingToken
	leaseDuration time.Duration
	leaseLimit    *leaselimiter.Limit
	evacuator     *evacuator.Evacuator
	maxLease      time.Duration // longest lease that the worker grants
	events        chan<- event
	ctx           context.Context
	close         context.CancelFunc
	gate          gatekeeper.Gatekeeper // bounds the start and stop requests in flight
	throttler     *throttler.Throttler  // bounds the memory of the start requests to all workers

	mu               sync.Mutex
	renewal          renewalState       // guarded by mu
	acked            ackedEnds          // owned by run, not guarded by mu
	incarnationKnown bool               // the last lease renewal returned a report; owned by run, not guarded by mu
	granted          grant              // what the renewals so far may have granted; guarded by mu
	wake             chan struct{}      // signals a change of renewal
	starts           context.Context    // ends and is replaced when start requests that have not been sent are withdrawn; guarded by mu
	withdraw         context.CancelFunc // ends starts; guarded by mu
}

// grant describes the latest lease that a renewal may have granted.
type grant struct {
	sentAt time.Time // time at which the renewal was sent
	endsAt time.Time // time at which the lease has certainly ended
}

// renewalState is the state of the worker that determines the next lease renewal.
type renewalState struct {
	info          model.Worker
	hasWork       bool          // the worker has runs, or run ends that are not acknowledged
	hasReported   bool          // the worker has reported in this term
	incarnation   int64         // incarnation in the last report
	durableSeq    int64         // sequence number of the last run end whose effect is in the log
	processedSeq  int64         // sequence number of the last run end that the dispatcher has processed
	clock         WorkerTime    // clock of the worker at clockAt
	clockAt       time.Time     // time of the last response
	clockKnown    bool          // clock and clockAt are valid
	reportNow     bool          // the next report should arrive without delay; cleared once it is requested
	isResponding  bool          // the worker responded to the last call
	restartListed bool          // the list shows that the worker has restarted since its last report
	callTimeout   time.Duration // timeout of the next call, not counting the time for which the worker may delay its response
}

// needsReport reports whether a lease renewal is due. A worker that does not respond gets no tasks, so only a renewal can show that
// it responds again.
func (s *renewalState) needsReport() bool {
	return !s.hasReported || s.hasWork || s.reportNow || !s.isResponding || s.restartListed || time.Since(s.clockAt) > maxClockAge
}

// retryDelay returns the delay before the next renewal after a failed one.
func (s *renewalState) retryDelay() time.Duration {
	if s.hasReported && !s.hasWork {
		return probeInterval
	}
	return reportRetryDelay
}

// ackedEnds identifies the last run end that was acknowledged to the worker.
type ackedEnds struct {
	incarnation int64
	seq         int64
}

// through returns the sequence number up to which the run ends of an incarnation were acknowledged.
func (a ackedEnds) through(incarnation int64) int64 {
	if a.incarnation != incarnation {
		return 0
	}
	return a.seq
}

// newSession starts a session with a worker, which runs until the context is cancelled or close is called.
func newSession(ctx context.Context, d *Dispatcher, info model.Worker) *session {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		client: d.Workers, fence: d.Term.Fence, leaseDuration: d.LeaseDuration, leaseLimit: d.leaseLimit, evacuator: d.Evacuator, maxLease: d.MaxLease, events: d.events, ctx: ctx, close: cancel, throttler: d.Throttler,
		wake: make(chan struct{}, 1),
	}
	s.gate.IsPaced = d.LinkRate > 0
	s.starts, s.withdraw = context.WithCancel(ctx)
	s.renewal.info, s.renewal.callTimeout = info, d.pacer.Timeout()
	go s.run()
	return s
}

// updateRenewalState changes the renewal state and wakes the session.
func (s *session) updateRenewalState(change func(*renewalState)) {
	s.mu.Lock()
	change(&s.renewal)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// askNow makes the session ask the worker for a report without delay, once the call in progress has ended.
func (s *session) askNow() {
	s.updateRenewalState(func(state *renewalState) { state.reportNow = true })
}

// takeRenewalState returns the renewal state, and clears reportNow in the session.
func (s *session) takeRenewalState() renewalState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.renewal
	s.renewal.reportNow = false
	return state
}

// post sends an event to the dispatcher, unless the session ends first.
func (s *session) post(e event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// run renews the lease while reports of the worker are needed, and otherwise waits for a change of the renewal state.
func (s *session) run() {
	for s.ctx.Err() == nil {
		state := s.takeRenewalState()
		switch {
		case state.needsReport():
			s.renewLease(state)
		default:
			s.incarnationKnown = false
			s.awaitChange(maxClockAge)
		}
	}
}

// awaitChange waits until the renewal state changes, or for at most d.
func (s *session) awaitChange(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.wake:
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// renewLease sends one lease renewal and waits until its outcome has been applied.
func (s *session) renewLease(state renewalState) {
	req := RenewLeaseRequest{Fence: s.fence}
	// A worker that restarts numbers its run ends from 1 again. An acknowledgement from before the restart would then discard run
	// ends that have not been processed. Only a call that follows a report at once and does not wait for ends therefore acknowledges
	// any: after a pause or a failed call, and while a call waits, the worker may have restarted.
	acknowledges := s.incarnationKnown && state.durableSeq > s.acked.through(state.incarnation)
	if acknowledges {
		req.AckedThrough = state.durableSeq
	}
	// The lease of a worker that does not respond is not renewed. Otherwise each call, which may have reached the worker,
	// would postpone the time at which its runs have certainly ended.
	now := time.Now()
	lease := s.leaseLimit.Cut(s.leaseDuration, clockDrift(now.Sub(state.clockAt)), now)
	if state.clockKnown && state.isResponding {
		if state.hasReported && lease > 0 {
			req.LeaseUntil = state.clock + WorkerTime((now.Sub(state.clockAt) + lease).Milliseconds())
		}
		if state.hasReported && state.durableSeq >= state.processedSeq && !state.reportNow && s.incarnationKnown && !acknowledges {
			req.MaxWait = min(reportWait, max(lease/2, minReportWait))
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, req.MaxWait+state.callTimeout)
	previous := s.recordGrant(req.LeaseUntil != 0, lease, state.clockAt)
	sentAt := time.Now()
	report, err := s.client.RenewLease(ctx, state.info, req)
	cancel()
	if errors.Is(err, ErrNotSent) {
		s.restoreGrant(previous)
	}
	done := make(chan struct{})
	s.post(&reportEvent{
		worker: state.info.ID, report: report, err: err, sentAt: sentAt, respondedAt: time.Now(), maxWait: req.MaxWait, ackedSeq: req.AckedThrough, handled: done,
	})
	select {
	case <-done:
	case <-s.ctx.Done():
		return
	}
	s.incarnationKnown = err == nil
	if err == nil && acknowledges {
		s.acked = ackedEnds{incarnation: state.incarnation, seq: req.AckedThrough}
	}
	switch {
	case err == nil:
		s.awaitDurable()
	case state.isResponding && isConnectionClosed(err):
		s.backOff(closedRetryDelay)
	default:
		s.backOff(state.retryDelay())
	}
}

// recordGrant updates the grant before a call that may renew the lease. It returns the previous one for restoreGrant.
func (s *session) recordGrant(renews bool, lease time.Duration, clockAt time.Time) grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.granted
	if renews {
		now := time.Now()
		s.granted = grant{sentAt: now, endsAt: latest(previous.endsAt, leaseEnd(now, lease+clockDrift(now.Sub(clockAt))))}
	}
	return previous
}

// restoreGrant undoes recordGrant for a call that was not sent.
func (s *session) restoreGrant(previous grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted = previous
}

// latestLease returns when the last renewal that may have granted a lease was sent, and when that lease has certainly ended.
func (s *session) latestLease() (sentAt, endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted.sentAt, s.granted.endsAt
}

// backOff waits for a time, or until the session ends.
func (s *session) backOff(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.ctx.Done():
	}
}

// awaitDurable waits until the processed run ends are in the log, for at most durableWait. The next call can then acknowledge them
// and wait for further ones.
func (s *session) awaitDurable() {
	deadline := time.Now().Add(durableWait)
	for s.ctx.Err() == nil {
		s.mu.Lock()
		unwritten := s.renewal.durableSeq < s.renewal.processedSeq
		s.mu.Unlock()
		remaining := time.Until(deadline)
		if !unwritten || remaining <= 0 {
			return
		}
		s.awaitChange(remaining)
	}
}

// errWithdrawn reports that a start request has waited for too long and was not sent.
var errWithdrawn = errors.New("dispatcher: start request withdrawn before it was sent")

// errNoMemory is errWithdrawn for a start request that has found no room among the large ones that are being sent.
var errNoMemory = errors.Mark(errors.New("dispatcher: no memory for the start request in time"), errWithdrawn)

// sendStart sends a start request in the background, unless it has to wait until its lease, which ends at the given time, is over, this
// leader may have a successor, the failure domain of the worker is or may be evacuated, or the ticket that it returns is withdrawn.
func (s *session) sendStart(info model.Worker, req StartRequest, leaseEndsAt time.Time, timeout time.Duration) *gatekeeper.Ticket {
	s.mu.Lock()
	ticket := gatekeeper.NewTicket(s.starts)
	s.mu.Unlock()
	go func() {
		defer ticket.Close()
		e := &startEvent{worker: info.ID, run: req.Run, err: errWithdrawn}
		if release, ok := s.gate.AcquireStart(ticket.Context(), startOverhead+gatekeeper.Bytes(len(req.Payload))); ok {
			s.callStart(e, ticket, info, req, leaseEndsAt, timeout)
			release()
		}
		s.post(e)
	}()
	return ticket
}

// callStart sends a start request that has been admitted, and notes the outcome in the event.
func (s *session) callStart(e *startEvent, ticket *gatekeeper.Ticket, info model.Worker, req StartRequest, leaseEndsAt time.Time, timeout time.Duration) {
	wait, cancel := context.WithTimeout(ticket.Context(), timeout)
	release, err := s.throttler.Acquire(wait, model.Bytes(len(req.Payload)))
	cancel()
	if err != nil {
		e.err = errNoMemory
		return
	}
	defer release()
	sentAt := time.Now()
	if sentAt.After(leaseEndsAt) || !s.leaseLimit.AllowsStart(sentAt) || !s.evacuator.AllowsStart(sentAt) || s.evacuator.IsEvacuated(info.FailureDomain) || !ticket.Send() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout) // the wait takes none of the time of the call
	defer cancel()
	e.sentAt = sentAt
	e.response, e.err = s.client.Start(ctx, info, req)
	e.respondedAt = time.Now()
	s.observe(sentAt, e.err)
}

// observe notes how long a request took, if it got a response.
func (s *session) observe(sentAt time.Time, err error) {
	if hasResponded(err) {
		s.gate.Observe(time.Since(sentAt))
	}
}

// sendStop sends a stop request in the background after a delay. The number tells it from the other stop requests of the run.
func (s *session) sendStop(info model.Worker, req StopRequest, number int, delay, timeout time.Duration) {
	go func() {
		if s.backOff(delay); s.ctx.Err() != nil {
			return
		}
		release, ok := s.gate.AcquireStop(s.ctx)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		sentAt := time.Now()
		response, err := s.client.Stop(ctx, info, req)
		cancel()
		s.observe(sentAt, err)
		release()
		s.post(&stopEvent{worker: info.ID, run: req.Run, number: number, response: response, sentAt: sentAt, respondedAt: time.Now(), err: err})
	}()
}

// withdrawStarts withdraws the start requests that have not been sent.
func (s *session) withdrawStarts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw()
	s.starts, s.withdraw = context.WithCancel(s.ctx)
}
