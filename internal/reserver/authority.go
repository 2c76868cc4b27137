package reserver

import (
	"slices"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// takeOver takes the next term and asks every worker of the domain for its tasks.
func (r *Reserver) takeOver() {
	if r.active() {
		return
	}
	r.reset()
	r.term = model.Term{Number: r.highest.Number + 1, Host: r.cfg.Host}
	r.highest = r.term
	r.role, r.tookAt = RoleTakingOver, r.now
	r.report(RoleChanged{Role: r.role, Term: r.term})
	r.listWorkers()
	r.noteUnlisted()
}

// stepDown forgets the state of the term; nothing is sent or renewed afterwards.
func (r *Reserver) stepDown(reason string) {
	if !r.active() {
		return
	}
	r.role = RoleSteppedDown
	r.reset()
	r.report(RoleChanged{Role: r.role, Term: r.term, Reason: reason})
}

// setHosts takes a host list; older lists than the last are ignored.
func (r *Reserver) setHosts(ev Hosts) {
	if ev.ReadAt.Before(r.hostsReadAt) {
		return
	}
	r.hosts = r.hosts[:0]
	for _, h := range ev.Hosts {
		if h.Role == hostclient.RoleWorker && h.Domain == r.cfg.Domain {
			r.hosts = append(r.hosts, h)
		}
	}
	r.hostsReadAt = ev.ReadAt
	if r.active() {
		r.listWorkers()
		r.noteUnlisted()
	}
}

// listWorkers brings the workers in line with the host list. An unlisted worker that
// holds members is still polled, since the list lags behind the truth.
func (r *Reserver) listWorkers() {
	for _, w := range r.order {
		w.listed = false
	}
	for _, h := range r.hosts {
		w := r.workers[h.ID]
		if w == nil {
			w = &worker{host: h, nextPoll: r.now}
			r.workers[h.ID] = w
			r.order = append(r.order, w)
		}
		if w.up && w.host != h {
			r.report(WorkerUp{Host: h})
		}
		w.host, w.listed = h, true
	}
	slices.SortFunc(r.order, func(a, b *worker) int { return strings.Compare(string(a.host.ID), string(b.host.ID)) })
	for _, w := range r.order {
		if !w.listed && w.unreachedSince.IsZero() {
			w.unreachedSince = r.now
		}
		r.watch(w)
	}
}

// noteUnlisted notes since when each declared position is without a listed worker.
func (r *Reserver) noteUnlisted() {
	if !r.active() || r.hostsReadAt.Before(r.tookAt) {
		return
	}
	listed := make(map[Position]bool, len(r.hosts))
	for _, h := range r.hosts {
		listed[Position{h.Rack, h.Index}] = true
	}
	for _, p := range r.positions {
		switch {
		case listed[p]:
			delete(r.unlisted, p)
		case r.unlisted[p].IsZero():
			r.unlisted[p] = r.now
		}
	}
}

// checkMajority becomes planner with a majority, and steps down when there was none for
// half a task lease: leases end within one task lease of majorityAt, so the workers that
// this host can't reach are free when a successor has waited for that long.
func (r *Reserver) checkMajority() {
	if !r.active() {
		return
	}
	lost := r.role == RolePlanner && r.now.Sub(r.majorityAt) >= r.cfg.TaskLease/2
	if !lost && r.now.Before(r.majorityDue) {
		return
	}
	r.majorityDue = r.now.Add(tickEvery)
	if r.role == RolePlanner {
		// Sorting the times of all workers is the costliest part of a tick.
		r.majorityDue = r.now.Add(r.cfg.Poll / 4)
	}
	if r.hostsReadAt.Before(r.tookAt) {
		return
	}
	times := r.scratch[:0]
	r.live, r.reachable = 0, 0
	for _, w := range r.order {
		if !w.listed || w.host.State != hostclient.StateLive {
			continue
		}
		r.live++
		if w.up {
			r.reachable++
		}
		if w.acked {
			times = append(times, w.lastOK)
		}
	}
	r.scratch = times
	need := r.live/2 + 1
	if len(times) >= need {
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if t := times[need-1]; t.After(r.majorityAt) {
			r.majorityAt = t
		}
		if r.role == RoleTakingOver {
			r.role, r.plannerAt = RolePlanner, r.now
			r.report(RoleChanged{Role: r.role, Term: r.term})
			for _, w := range r.order {
				r.renewSoon(w)
			}
		}
	}
	if r.role == RolePlanner && r.now.Sub(r.majorityAt) >= r.cfg.TaskLease/2 {
		r.stepDown("no majority of the workers for half a task lease")
	}
}

// fresh reports whether the majority was confirmed within two polls; gangs are started only then.
func (r *Reserver) fresh() bool {
	return r.role == RolePlanner && !r.now.After(r.majorityAt.Add(2*r.cfg.Poll))
}

// newAfter is the time after which accepted jobs can't have been started by an earlier
// planner: such a planner needs a majority confirmed within two polls, and a start takes
// effect only while its reservation lasts.
func (r *Reserver) newAfter() time.Time {
	return r.plannerAt.Add(2*r.cfg.Poll + r.cfg.ReserveTTL + r.cfg.Call + r.cfg.ClockSkew)
}

// leaseTTL returns the lease to grant now, such that it ends within one task lease of the
// time at which the majority was last confirmed, even when the batch arrives late.
func (r *Reserver) leaseTTL() time.Duration {
	return r.cfg.TaskLease - r.cfg.Call - r.now.Sub(r.majorityAt)
}

// updateAccounts counts the positions and workers that are not accounted for.
func (r *Reserver) updateAccounts() {
	if r.accounted || r.role != RolePlanner {
		return
	}
	r.unaccounted, r.accountedAt = 0, r.now
	wait := func(since time.Time) {
		if since.IsZero() {
			since = r.now
		}
		if since.Before(r.plannerAt) {
			since = r.plannerAt
		}
		if at := since.Add(r.cfg.TaskLease); at.After(r.now) {
			r.unaccounted++
			if at.After(r.accountedAt) {
				r.accountedAt = at
			}
		}
	}
	acked := make(map[Position]bool, len(r.order))
	for _, w := range r.order {
		if w.acked {
			acked[Position{w.host.Rack, w.host.Index}] = true
		} else {
			wait(w.unreachedSince)
		}
	}
	for _, p := range r.positions {
		if since, ok := r.unlisted[p]; ok && !acked[p] {
			wait(since)
		}
	}
	r.accounted = r.unaccounted == 0 && len(r.positions) > 0
}
