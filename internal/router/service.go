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

// service is the queue and the runner table of one service.
type service struct {
	id      model.ServiceID
	spec    model.Service
	queue   *queuer.Queue[*call]
	retries []*call // served before the queue; bounded by the retry budgets
	runners map[model.HostID]*runner
	tiers   [tierCount][]*runner
	usual   map[model.ClassID]time.Duration // exponentially weighted service time
	found   []*runner                       // scratch space of choose
}

// observe updates the usual service time of the class and the runner's slowness relative to it.
func (s *service) observe(class model.ClassID, r *runner, took time.Duration, now time.Time) {
	usual, ok := s.usual[class]
	if !ok {
		usual = took
	}
	ratio := float64(took) / float64(max(usual, time.Millisecond)) // shorter times are noise
	if r.slowAt.IsZero() {
		r.slowness = 1
	}
	r.slowness += slownessWeight * (ratio - r.slowness)
	r.slowAt = now
	s.usual[class] = usual + time.Duration(slownessWeight*float64(took-usual))
}

func (s *service) overdue(class model.ClassID, took time.Duration) bool {
	usual, ok := s.usual[class]
	return ok && took > overdueFactor*max(usual, time.Millisecond)
}

func (s *service) waiting() int { return s.queue.Len() + len(s.retries) }

// setRunners replaces the table. A runner that stays listed keeps its load and health, and one that said
// that it is leaving keeps being avoided, because the host list lags.
func (s *service) setRunners(t *task, hosts []hostclient.Host, now time.Time) {
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
			r.leave(now)
		} else if r.host.State == hostclient.StateLeaving {
			r.leaving = false // the platform took the departure back
		}
		r.host, r.tier = h, t.tierOf(h)
		if r.sender == nil {
			r.sender = t.opts.Dial(h, runnerclient.Options{
				Addr:      h.Addr,
				MaxConns:  max(shareOf(h.ID, s.spec.ConnectionsPerRunner, t.rank, t.hosts), 1),
				MaxBody:   s.spec.MaxBody,
				Invariant: t.opts.Hooks.OnWrongAnswer,
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
	s.divide(t.rank, t.hosts)
}

// retire takes the runner out of use; its requests in progress finish.
func (r *runner) retire() {
	r.gone = true
	if r.inFlight == 0 {
		r.sender.Close()
	}
}

// divide sets this host's share of slots and connections of all runners.
func (s *service) divide(rank, hosts int) {
	for _, r := range s.runners {
		r.slots = s.spec.SlotsPerRunner
		r.share = shareOf(r.host.ID, s.spec.SlotsPerRunner, rank, hosts)
		if conns := shareOf(r.host.ID, s.spec.ConnectionsPerRunner, rank, hosts); conns > 0 {
			r.share = min(r.share, conns) // a request without a connection would wait unseen in the transport
			r.sender.SetMaxConns(conns)
		} else {
			r.share = 0
		}
	}
}

// choose returns the runner for a call, or nil when none is free: the less loaded of two random ones of the
// nearest tier. The runner of the last attempt is avoided, and non-idempotent requests avoid trials of
// failing runners, as long as another one is free.
func (s *service) choose(t *task, c *call, now time.Time) *runner {
	avoid := func(r *runner) bool {
		return r == c.last || !c.req.Idempotent && r.failures > 0
	}
	var fallback *runner
	for i, rs := range s.tiers {
		if tier(i) == tierOther && !t.link.Ready(now) {
			break
		}
		s.found = s.found[:0]
		for _, r := range rs {
			switch {
			case r.free(now) == 0:
			case avoid(r):
				if fallback == nil {
					fallback = r
				}
			default:
				s.found = append(s.found, r)
			}
		}
		if n := len(s.found); n > 0 {
			a, b := s.found[t.rng.IntN(n)], s.found[t.rng.IntN(n)]
			if b.load(now) < a.load(now) {
				return b
			}
			return a
		}
	}
	return fallback
}

// free returns the free slots over all runners.
func (s *service) free(now time.Time) int {
	n := 0
	for _, r := range s.runners {
		n += r.free(now)
	}
	return n
}

// wake returns the earliest time at which waiting requests expire or a runner may become usable again.
func (s *service) wake(t *task, now time.Time) time.Time {
	if s.waiting() == 0 {
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
	if len(s.tiers[tierOther]) > 0 && !t.link.Ready(now) {
		at = earlier(at, t.link.ReadyAt(now))
	}
	return at
}

// earlier returns the earlier time; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
