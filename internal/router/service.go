package router

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// service holds the queue and the runner table of one service.
type service struct {
	id               model.ServiceID
	spec             model.Service
	queue            *queuer.Queue[*call]
	retries          []*call // dispatched before the queue; bounded by the retry budgets
	runners          map[model.HostID]*runner
	tiers            [tierCount][]*runner
	usualServiceTime map[model.ClassID]time.Duration // exponentially weighted moving average of the service time
	candidates       []*runner                       // buffer that chooseRunner reuses
}

// recordServiceTime updates the usual service time of the class and the slowness of the runner relative to it.
func (s *service) recordServiceTime(class model.ClassID, r *runner, duration time.Duration, now time.Time) {
	usual, ok := s.usualServiceTime[class]
	if !ok {
		usual = duration
	}
	ratio := float64(duration) / float64(max(usual, time.Millisecond)) // differences below 1 ms are noise
	if r.slownessAt.IsZero() {
		r.slowness = 1
	}
	r.slowness += slownessWeight * (ratio - r.slowness)
	r.slownessAt = now
	s.usualServiceTime[class] = usual + time.Duration(slownessWeight*float64(duration-usual))
}

// isOverdue reports whether an attempt took more than overdueFactor times the usual service time of its class.
func (s *service) isOverdue(class model.ClassID, duration time.Duration) bool {
	usual, ok := s.usualServiceTime[class]
	return ok && duration > overdueFactor*max(usual, time.Millisecond)
}

// waitingCount returns the number of calls that wait for their first attempt or for a retry.
func (s *service) waitingCount() int { return s.queue.Len() + len(s.retries) }

// setRunners replaces the runner table by the runners in the host list. A runner that stays listed keeps its load and health.
// A runner that has reported that it is leaving gets no requests, even if the host list does not show it as leaving yet.
func (s *service) setRunners(l *eventLoop, hosts []hostclient.Host, now time.Time) {
	listed := map[model.HostID]bool{}
	for _, h := range hosts {
		if h.Role != hostclient.RoleRunner || h.Service != s.id {
			continue
		}
		listed[h.ID] = true
		r := s.runners[h.ID]
		if r != nil && r.host.Addr != h.Addr {
			r.retire()
			r = nil
		}
		if r == nil {
			r = &runner{host: h}
			s.runners[h.ID] = r
		}
		if h.State == hostclient.StateLeaving {
			r.markLeaving(now)
		} else if r.host.State == hostclient.StateLeaving {
			r.isLeaving = false // the host list no longer shows the runner as leaving
		}
		r.host, r.tier = h, l.tierOf(h)
		if r.sender == nil {
			r.sender = l.opts.NewSender(h, runnerclient.Options{
				Addr:             h.Addr,
				MaxConns:         max(shareOf(h.ID, s.spec.ConnectionsPerRunner, l.hostIndex, l.hostCount), 1),
				MaxResponseBytes: s.spec.MaxBodyBytes,
				OnWrongResponse:  l.opts.Hooks.OnWrongResponse,
			})
		}
	}
	for id, r := range s.runners {
		if !listed[id] {
			r.retire()
			delete(s.runners, id)
		}
	}
	for i := range s.tiers {
		s.tiers[i] = s.tiers[i][:0]
	}
	for _, r := range s.runners {
		s.tiers[r.tier] = append(s.tiers[r.tier], r)
	}
	for _, rs := range s.tiers {
		slices.SortFunc(rs, func(a, b *runner) int { return cmp.Compare(a.host.ID, b.host.ID) })
	}
	s.assignShares(l.hostIndex, l.hostCount)
}

// retire marks the runner as removed and closes its sender once its requests in progress have finished.
func (r *runner) retire() {
	r.isRemoved = true
	if r.inFlight == 0 {
		r.sender.Close()
	}
}

// assignShares sets this host's share of the slots and connections of each runner.
func (s *service) assignShares(hostIndex, hostCount int) {
	for _, r := range s.runners {
		r.slots = s.spec.SlotsPerRunner
		r.ownSlots = shareOf(r.host.ID, s.spec.SlotsPerRunner, hostIndex, hostCount)
		if conns := shareOf(r.host.ID, s.spec.ConnectionsPerRunner, hostIndex, hostCount); conns > 0 {
			r.ownSlots = min(r.ownSlots, conns) // more requests would wait for a connection in the transport, outside of the queue
			r.sender.SetMaxConns(conns)
		} else {
			r.ownSlots = 0
		}
	}
}

// chooseRunner returns the runner for a call, or nil if none is free. It picks the less loaded of two random free runners of
// the nearest tier that has any. As long as another runner is free, it avoids the runner of the last attempt and, for
// non-idempotent requests, runners whose last attempt failed.
func (s *service) chooseRunner(l *eventLoop, c *call, now time.Time) *runner {
	avoid := func(r *runner) bool {
		return r == c.lastRunner || !c.req.Idempotent && r.consecutiveFailures > 0
	}
	var fallback *runner
	for i, rs := range s.tiers {
		if tier(i) == tierOther && !l.linkBudget.Ready(now) {
			break
		}
		s.candidates = s.candidates[:0]
		for _, r := range rs {
			switch {
			case r.freeSlots(now) == 0:
			case avoid(r):
				if fallback == nil {
					fallback = r
				}
			default:
				s.candidates = append(s.candidates, r)
			}
		}
		if n := len(s.candidates); n > 0 {
			a, b := s.candidates[l.rng.IntN(n)], s.candidates[l.rng.IntN(n)]
			if b.loadScore(now) < a.loadScore(now) {
				return b
			}
			return a
		}
	}
	return fallback
}

// freeSlots returns the number of additional requests that this host may send to all runners together now.
func (s *service) freeSlots(now time.Time) int {
	n := 0
	for _, r := range s.runners {
		n += r.freeSlots(now)
	}
	return n
}

// nextWakeup returns the earliest time at which a waiting call expires or a runner may become available again, or zero if no
// call is waiting.
func (s *service) nextWakeup(l *eventLoop, now time.Time) time.Time {
	if s.waitingCount() == 0 {
		return time.Time{}
	}
	at, _ := s.queue.NextDeadline()
	for _, c := range s.retries {
		at = earlier(at, c.req.Deadline)
	}
	for _, r := range s.runners {
		if r.retryAt.After(now) {
			at = earlier(at, r.retryAt)
		}
	}
	if len(s.tiers[tierOther]) > 0 && !l.linkBudget.Ready(now) {
		at = earlier(at, l.linkBudget.ReadyAt(now))
	}
	return at
}

// earlier returns the earlier of two times; a zero time is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
