package spooler

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// outage counts what happened to submissions since the log was found to be unreachable, for the log lines about it.
type outage struct {
	since            time.Time // zero while there is none
	refused, unknown int
}

// reviewLocked logs the begin and end of outages, and decides the results of entries that can't be accepted any more or whose job has
// been read from the log. The caller holds s.mu.
func (s *Spooler) reviewLocked(now time.Time) {
	v := s.viewLocked(now)
	s.noteOutageLocked(v, now)
	for _, e := range slices.Clone(s.queue.entries) {
		if e.maybeStored {
			if known, err := e.isKnown(); known {
				s.dropLocked(e, err)
			}
			continue // its caller can't be told that the job never runs
		}
		switch d := Decide(v, e.limits, true, now); {
		case d.Action == ActionRefuse:
			s.dropLocked(e, &Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter})
		case d.Action == ActionHold && !e.held:
			e.held = true
			s.Metrics.count("held")
		}
	}
	for l := range s.appends {
		if now.Sub(l.sentAt) < overtakeDelay {
			continue
		}
		for _, e := range l.batch {
			if known, err := e.isKnown(); known {
				s.finishLocked(e, err)
			}
		}
	}
}

// noteOutageLocked notes and logs when submissions begin to wait for the log and when they no longer do, as far as there are any. The
// caller holds s.mu.
func (s *Spooler) noteOutageLocked(v LogView, now time.Time) {
	down := !v.DownSince.IsZero()
	if down == !s.outage.since.IsZero() {
		return
	}
	if s.Logger != nil && down {
		s.Logger.Warn("holding submissions", "down-ms", now.Sub(v.DownSince).Milliseconds(), "peers-responding", v.Peers.Responding,
			"peers-silent", v.Peers.Silent)
	} else if s.Logger != nil {
		s.Logger.Info("no longer holding submissions", "waiting", len(s.queue.entries), "refused", s.outage.refused, "unknown", s.outage.unknown)
	}
	s.outage = outage{}
	if down {
		s.outage.since = now
		return
	}
	s.confirmedAt, s.retryAt, s.unanswered = now, time.Time{}, false // the log responds to reads again
}

// nextAppendLocked starts the next append, or returns nil if there is nothing to send now. The caller holds s.mu.
//
// Appends of different callers don't wait for one whose response is late, also when it is repeated: records that may be in the log already
// are sent without others, in one append at a time. As long as nothing shows that the log still confirms appends, the next one has a
// single new record: the callers of records that are not sent can be told that their jobs never run.
func (s *Spooler) nextAppendLocked(now time.Time) *appendCall {
	if len(s.queue.entries) == 0 || len(s.appends) >= maxAppends || now.Before(s.retryAt) || s.View != nil && !s.View().DownSince.IsZero() {
		return nil
	}
	probe := s.unanswered || !s.refusedSince.IsZero()
	repeat := s.queue.hasMaybeStored() && (!s.unanswered || len(s.appends) == 0)
	for l := range s.appends {
		if now.Sub(l.sentAt) < overtakeDelay {
			return nil
		}
		probe = probe || l.sentAt.After(s.confirmedAt)
		repeat = repeat && !l.repeat
	}
	probe = probe && !repeat
	if probe && s.probesLocked() >= maxProbes {
		return nil
	}
	batch := s.admitLocked(s.queue.take(repeat, probe))
	if len(batch) == 0 {
		return nil
	}
	for _, e := range batch {
		e.inFlight = true
		e.probe = e.probe || probe && len(s.appends) > 0
	}
	l := &appendCall{batch: batch, repeat: repeat, sentAt: now}
	if s.appends == nil {
		s.appends = map[*appendCall]struct{}{}
	}
	s.appends[l] = struct{}{}
	return l
}

// probesLocked returns the number of probes that are in progress, or that got no response and whose callers still wait. The caller holds s.mu.
func (s *Spooler) probesLocked() (n int) {
	count := func(entries []*entry) {
		for _, e := range entries {
			if e.probe && e.wasSent() {
				n++
			}
		}
	}
	count(s.queue.entries)
	for l := range s.appends {
		count(l.batch)
	}
	return n
}

// admitLocked decides on the entries that are about to be sent for the first time, and returns those to send. The caller holds s.mu.
func (s *Spooler) admitLocked(batch []*entry) []*entry {
	return slices.DeleteFunc(batch, func(e *entry) bool {
		if e.admitted || e.Admit == nil {
			return false
		}
		e.admitted = true
		err := e.Admit()
		if err != nil {
			s.dropLocked(e, err)
		}
		return err != nil
	})
}

// send appends a batch and handles the outcome.
func (s *Spooler) send(l *appendCall) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	records := make([]journaler.Record, len(l.batch))
	for i, e := range l.batch {
		records[i] = e.Record
	}
	_, err := s.Log.Append(ctx, records, journaler.AppendCondition{})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.appends, l)
	s.recordOutcomeLocked(err, l.sentAt, time.Now())
	for _, e := range l.batch {
		e.inFlight = false
		e.maybeStored = e.maybeStored || err != nil && !errors.Is(err, journaler.ErrNotAppended)
		if err == nil {
			s.finishLocked(e, nil)
		}
		if e.finished {
			s.chargeLocked(-1, -e.size())
			continue
		}
		s.queue.add(e)
	}
	s.wake()
}

// recordOutcomeLocked records what the outcome of an append says about the log. One without a response says nothing about others if the
// log has confirmed one since it was sent. The caller holds s.mu.
func (s *Spooler) recordOutcomeLocked(err error, sentAt, now time.Time) {
	switch {
	case err == nil:
		s.refusedSince, s.retryAt, s.unanswered = time.Time{}, time.Time{}, false
		s.confirmedAt = now
	case errors.Is(err, journaler.ErrNotAppended):
		s.unanswered = false
		s.retryAt = now.Add(retryDelay)
		if s.refusedSince.IsZero() || now.Sub(s.refusedAt) > refusalRetention {
			s.refusedSince = now
		}
		s.refusedAt = now
	default:
		s.unanswered = s.unanswered || !s.confirmedAt.After(sentAt)
		s.retryAt = now.Add(retryDelay)
	}
}
