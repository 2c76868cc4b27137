package spooler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// appendTimeout bounds one append; a retry may use another connection.
	appendTimeout = 1500 * time.Millisecond
	// retryDelay is the delay after an append that the log has refused.
	retryDelay = 150 * time.Millisecond
	// refusalRetention is how long a refused append shows that the log refuses appends.
	refusalRetention = 2 * retryDelay
	// overtakeDelay is the age of an append from which the next one does not wait for it. It is above the delay of a slow log.
	overtakeDelay = 250 * time.Millisecond
	// maxAppends is the number of appends that may be in progress at once. A host keeps few connections to the log.
	maxAppends = 3
	// maxProbes is the number of probes without a response beside the append that they wait for. Silence then leaves at most maxAppends
	// callers with an unknown outcome if that append had one record.
	maxProbes = maxAppends - 1
	// checkInterval is the time between looks at the log and at the waiting submissions.
	checkInterval = 25 * time.Millisecond
	// defaultHold is the time for which the submission of a call without a deadline waits.
	defaultHold = 400 * time.Millisecond
)

// Refusal is the result of a submission for which nothing was sent to the log, so that its job never runs.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error states the reason and the remedy.
func (r *Refusal) Error() string {
	return "spooler: nothing was appended (" + string(r.Reason) + "); retry later"
}

// Spooler appends submissions to the log and holds them while it can't be reached. The zero value with a log holds within the budget
// of a host of unknown memory.
type Spooler struct {
	Log     journaler.Log
	View    func() LogView // what the host knows of its ways to the log; nil means that the log is taken as reachable
	Budget  model.Bytes    // memory for waiting submissions; 0 means BudgetFor(0)
	Logger  hclog.Logger   // nil logs nothing
	Metrics *Metrics       // nil counts nothing

	mu           sync.Mutex
	queue        queue
	appends      map[*appendCall]struct{}
	entries      int         // entries in the queue and in appends
	bytes        model.Bytes // memory of these entries
	running      bool        // whether a goroutine runs run
	wakeup       chan struct{}
	refusedSince time.Time // time of the first append in a row that the log has refused
	refusedAt    time.Time // time of the last one
	retryAt      time.Time // time before which nothing is sent
	unanswered   bool      // whether the last append to end got no response
	confirmedAt  time.Time // when the log last confirmed an append
	outage       outage
}

// appendCall is an append in progress.
type appendCall struct {
	batch  []*entry
	repeat bool // whether its records may be in the log already
	sentAt time.Time
}

// Append appends the record of a submission and returns once the outcome is known or the context ends. Its error is a *Refusal if
// nothing was sent to the log, journaler.ErrOutcomeUnknown if the record may be in the log, or the error of Submission.Admit.
func (s *Spooler) Append(ctx context.Context, sub *Submission) error {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultHold)
	}
	e := &entry{Submission: sub, limits: NewLimits(now, deadline), arrivedAt: now, result: make(chan error, 1)}
	s.mu.Lock()
	s.enqueueLocked(e, now)
	s.mu.Unlock()
	select {
	case err := <-e.result:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.expireLocked(e, time.Now())
	s.mu.Unlock()
	return <-e.result
}

// enqueueLocked adds an arriving entry to the queue, or refuses it. The caller holds s.mu.
func (s *Spooler) enqueueLocked(e *entry, now time.Time) {
	if d := Decide(s.viewLocked(now), e.limits, false, now); d.Action == ActionRefuse {
		s.finishLocked(e, &Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter})
		return
	}
	budget := s.Budget
	if budget <= 0 {
		budget = BudgetFor(0)
	}
	if missing := s.bytes + e.size() - budget; s.entries > 0 && missing > 0 {
		others := s.queue.lessUrgent(e, missing)
		if others == nil {
			s.finishLocked(e, s.refusalLocked(ReasonBudget, now))
			return
		}
		for _, other := range others {
			s.dropLocked(other, s.refusalLocked(ReasonBudget, now))
		}
	}
	s.queue.add(e)
	s.chargeLocked(1, e.size())
	if soon := now.Add(checkInterval); soon.Before(s.retryAt) {
		s.retryAt = soon // its caller may have less time than those that wait for a retry
	}
	if s.wakeup == nil {
		s.wakeup = make(chan struct{}, 1)
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	s.wake()
}

func (s *Spooler) chargeLocked(entries int, bytes model.Bytes) {
	s.entries += entries
	s.bytes += bytes
	s.Metrics.setWaiting(int64(s.entries), int64(s.bytes))
}

func (s *Spooler) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// viewLocked returns the view of the host. A log that refuses all appends is as good as unreachable, as long as appends are tried. The
// caller holds s.mu.
func (s *Spooler) viewLocked(now time.Time) LogView {
	var v LogView
	if s.View != nil {
		v = s.View()
	}
	if v.DownSince.IsZero() && now.Sub(s.refusedAt) <= refusalRetention {
		v.DownSince = s.refusedSince
	}
	return v
}

// refusalLocked returns a refusal with the hint that fits the outage. The caller holds s.mu.
func (s *Spooler) refusalLocked(reason Reason, now time.Time) *Refusal {
	age := time.Duration(0)
	if v := s.viewLocked(now); !v.DownSince.IsZero() {
		age = now.Sub(v.DownSince)
	}
	return &Refusal{Reason: reason, RetryAfter: retryAfter(age)}
}

// finishLocked decides the result of an entry. The caller holds s.mu.
func (s *Spooler) finishLocked(e *entry, err error) {
	if e.finished {
		return
	}
	e.finished = true
	e.result <- err
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		s.Metrics.count("refused-" + string(refusal.Reason))
		s.outage.refused++
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		s.Metrics.count("unknown")
		s.outage.unknown++
	case err == nil && e.held:
		s.Metrics.count("accepted-after-hold")
	}
}

// dropLocked removes an entry from the queue and decides its result. The caller holds s.mu.
func (s *Spooler) dropLocked(e *entry, err error) {
	s.queue.remove(e)
	s.chargeLocked(-1, -e.size())
	s.finishLocked(e, err)
}

// expireLocked decides the result of an entry whose caller's time is used. The caller holds s.mu.
func (s *Spooler) expireLocked(e *entry, now time.Time) {
	if e.finished {
		return
	}
	known, err := e.isKnown()
	switch {
	case known:
	case e.wasSent():
		err = journaler.ErrOutcomeUnknown
	default:
		err = s.refusalLocked(ReasonDeadline, now)
	}
	if e.inFlight {
		s.finishLocked(e, err)
		return
	}
	s.dropLocked(e, err)
}

// run appends what waits until nothing does.
func (s *Spooler) run() {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := time.Now()
		s.reviewLocked(now)
		l := s.nextAppendLocked(now)
		if l == nil && s.entries == 0 {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if l != nil {
			go s.send(l)
			continue
		}
		timer.Reset(checkInterval)
		select {
		case <-s.wakeup:
		case <-timer.C:
		}
	}
}
