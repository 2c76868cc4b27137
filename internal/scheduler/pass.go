package scheduler

import (
	"slices"
	"strconv"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxReservations bounds the blocked jobs that hold a reservation besides the aged one.
	maxReservations = 2
	// backfillQuantile of the learned run times must end before a reservation begins.
	backfillQuantile = 0.9
	// typicalQuantile of the learned run times is the expected run time.
	typicalQuantile = 0.5
	// review is the longest time between full passes while jobs wait, since
	// reservations and run times move on without reports. With the 6 ms
	// of BenchmarkPass a review every second would take a fifth of the 3% of a
	// core that a daemon has.
	review = 10 * time.Second
)

type cellKey struct {
	workspace model.WorkspaceID
	shape     model.Shape
}

// passState holds what one pass remembers; its memory is reused.
type passState struct {
	now      time.Time
	demand   []allocator.Demand
	failed   map[model.Shape]time.Duration // shortest run time that found no room
	noCell   map[cellKey]bool
	noEvict  map[model.Shape]bool       // no work beyond a share makes room
	frozen   map[model.WorkspaceID]bool // an aged job waits for the quota
	aged     *job
	share    float64      // accelerators per weight
	beyond   [levels]bool // some job of the level waits for the others because of its workspace's share
	held     int
	holder   model.JobID
	rank     int
	means    callerMeans
	number   uint64 // of the pass
	undone   bool   // a start was taken back, so that its job was not looked at again
	stop     bool
	pinned   []model.HostID // reservation of the aged job, kept between passes
	pinnedBy model.JobID
	short    []*job // within an unused guarantee, but too few workers are healthy
}

// Pass returns the decisions for the current state; the slice is valid until the next pass.
func (s *Scheduler) Pass(now time.Time) []Decision {
	s.out = append(s.out[:0], s.pending...)
	s.pending = s.pending[:0]
	s.watchClaims(now)
	if !s.planned || !s.dirty && now.Before(s.wake) {
		return s.out
	}
	s.dirty = false
	s.wake = now.Add(24 * time.Hour)
	p := &s.pass
	p.now, p.held, p.holder, p.rank, p.stop, p.aged = now, 0, "", 0, false, nil
	if p.failed == nil {
		p.failed, p.noCell, p.frozen = map[model.Shape]time.Duration{}, map[cellKey]bool{}, map[model.WorkspaceID]bool{}
		p.noEvict = map[model.Shape]bool{}
	}
	p.number++
	p.undone = false
	p.share, p.beyond = s.fairShare(), [levels]bool{}
	clear(p.failed)
	clear(p.noCell)
	clear(p.noEvict)
	clear(p.frozen)

	s.measureCallers(now)
	s.rejectImpossible()
	s.setMix(now)
	s.alloc.ClearHolds()
	switch {
	case s.declared.State == model.DomainLost:
	case s.opts.Baseline:
		s.each(0, now, s.tryBaseline)
	default:
		s.promoteAdopted()
		s.openTrials(now)
		s.stopOrphans(now)
		s.advanceClaims(now)
		s.serveAged(now)
		for lv := range level(levels) {
			s.each(lv, now, s.tryGuaranteed)
			s.each(lv, now, s.tryWithinShare)
		}
		for lv := range level(levels) {
			if p.beyond[lv] {
				s.each(lv, now, s.tryLent)
			}
		}
		s.repeatPreempts(now)
	}
	if s.waiting > 0 {
		s.wakeAt(now.Add(review))
	}
	s.countShortage()
	s.prune(now)
	s.dirty = p.undone
	return s.out
}

func (s *Scheduler) wakeAt(t time.Time) {
	if t.Before(s.wake) {
		s.wake = t
	}
}

func (s *Scheduler) rejectImpossible() {
	if !s.recheck {
		return
	}
	s.recheck = false
	var bad []*job
	for _, j := range s.jobs {
		if j.queued && s.impossible(&j.spec) != "" {
			bad = append(bad, j)
		}
	}
	slices.SortFunc(bad, older)
	for _, j := range bad {
		s.out = append(s.out, Reject{j.spec.ID, s.impossible(&j.spec)})
		s.forget(j)
	}
}

// ready reports whether a job may be considered at all. An old job that waits
// for its workspace's quota stops later ones, except more urgent work within the guarantee.
func (s *Scheduler) ready(j *job, guaranteed bool) bool {
	now := s.pass.now
	switch {
	case j.offset < s.holdBefore:
		j.wait = WaitHeld
	case j.notBefore.After(now):
		j.wait = WaitBackoff
		s.wakeAt(j.notBefore)
	case s.pass.frozen[j.spec.Workspace] && j != s.pass.aged && (!guaranteed || j.level >= s.pass.aged.level):
		j.wait = WaitQuota
	default:
		return true
	}
	return false
}

func (s *Scheduler) typical(spec *model.JobSpec) time.Duration {
	return s.runs.Quantile(spec.Workspace, spec.Class, typicalQuantile, spec.RunMS)
}

func (s *Scheduler) tryBaseline(j *job) bool {
	if !s.ready(j, false) {
		return false
	}
	sh := &j.spec.Shape
	if sh.Total() > s.quotaLeft(j.spec.Workspace) {
		j.wait = WaitQuota
		return false
	}
	g := s.newGang(j)
	members, ok := s.alloc.Place(sh, allocator.Limits{End: s.pass.now})
	if !ok {
		j.wait = WaitCapacity
		s.pass.stop = true
		return false
	}
	g.Members = members
	s.alloc.Charge(&g.Gang)
	s.admitGang(j, g)
	s.start(g)
	return true
}

// fairShare divides the accelerators by weight among the workspaces that use or want some.
func (s *Scheduler) fairShare() float64 {
	total, _ := s.alloc.Totals()
	sum := 0.0
	for _, a := range s.workspaces {
		if a.waiting > 0 || a.rate > 0 {
			sum += max(a.weight, 1)
		}
	}
	return float64(total) / max(sum, 1)
}

// tryWithinShare leaves lent work beyond the fair share of its workspace for
// the end of the pass, so that a flood of urgent work does not keep the less
// urgent work of other workspaces from running.
func (s *Scheduler) tryWithinShare(j *job) bool {
	w := j.spec.Workspace
	if t := j.spec.Shape.Total(); t > 0 && s.beyondShare(w, t) {
		s.pass.beyond[j.level] = true
		return false
	}
	return s.tryLent(j)
}

// tryLent starts a job on any room, or gives it a reservation when it is the first without room.
func (s *Scheduler) tryLent(j *job) bool {
	j.ahead = s.pass.rank
	s.pass.rank++
	if !s.ready(j, false) {
		return false
	}
	sh := &j.spec.Shape
	if sh.Total() > s.quotaLeft(j.spec.Workspace) {
		j.wait = WaitQuota
		return s.reclaimShare(j)
	}
	run := s.long(j)
	if f, ok := s.pass.failed[*sh]; !ok || run < f {
		if s.startLent(j) {
			return true
		}
		s.pass.failed[*sh] = run
	}
	if s.reclaimShare(j) {
		return true
	}
	s.blocked(j)
	return false
}

// long returns the run time that a job most likely stays below.
func (s *Scheduler) long(j *job) time.Duration {
	return s.runs.Quantile(j.spec.Workspace, j.spec.Class, backfillQuantile, j.spec.RunMS)
}

// startLent starts a job where there is room.
func (s *Scheduler) startLent(j *job) bool {
	lim := allocator.Limits{End: s.pass.now.Add(s.long(j)), Trial: j.level > 0}
	if j.failures > 0 {
		lim.Avoid = s.faults.FailedOn(j.spec.ID)
	}
	members, ok := s.alloc.Place(&j.spec.Shape, lim)
	if !ok && len(lim.Avoid) > 0 {
		lim.Avoid = nil
		members, ok = s.alloc.Place(&j.spec.Shape, lim)
	}
	if !ok {
		return false
	}
	g := s.newGang(j)
	g.Members = members
	g.trial = len(members) == 1 && s.alloc.Health(members[0]) == allocator.Probation
	s.alloc.Charge(&g.Gang)
	s.admitGang(j, g)
	if g.trial {
		s.faults.StartTrial(members[0])
		s.alloc.SetHealth(members[0], allocator.Quarantined)
	} else if j.entitled {
		s.alloc.Promote(&g.Gang)
	}
	s.start(g)
	return true
}

// blocked records that a job found no room; the first ones get a reservation.
func (s *Scheduler) blocked(j *job) {
	p := &s.pass
	if p.held < maxReservations && j != p.aged {
		if members, at, ok := s.alloc.Earliest(&j.spec.Shape, p.now); ok {
			s.alloc.Hold(members, at)
			p.held++
			if p.holder == "" {
				p.holder = j.spec.ID
			}
			j.wait, j.expected = WaitReserved, at
			return
		}
	}
	if j == p.aged {
		return
	}
	j.wait, j.behind = WaitCapacity, p.holder
	if p.holder != "" {
		j.wait = WaitBehind
	}
}

// serveAged gives the oldest job beyond the aging limit the first choice and a
// reservation that stays on the same workers. One at a time keeps a flood of
// old jobs from displacing urgent work. Callers that attained more than their
// share have no part in it: their jobs are old because they ask for too much,
// and serving them by age would turn an overload into first come, first served.
func (s *Scheduler) serveAged(now time.Time) {
	p := &s.pass
	p.aged = s.oldest(now, func(j *job) bool {
		return now.Sub(j.accepted) >= s.opts.AgingAfter && j.offset >= s.holdBefore && !j.notBefore.After(now)
	})
	j := p.aged
	if j == nil {
		p.pinned, p.pinnedBy = nil, ""
		return
	}
	if j.spec.Shape.Total() > s.quotaLeft(j.spec.Workspace) {
		p.frozen[j.spec.Workspace] = true
		j.wait = WaitQuota
		return
	}
	if s.tryGuaranteed(j) || s.tryLent(j) || s.reclaimAged(j) {
		return
	}
	if p.pinnedBy != j.spec.ID || !s.alloc.AllUsable(p.pinned) {
		p.pinnedBy = ""
		if members, _, ok := s.alloc.Earliest(&j.spec.Shape, now); ok {
			p.pinned, p.pinnedBy = members, j.spec.ID
		}
	}
	if p.pinnedBy == "" {
		return
	}
	at := s.alloc.When(p.pinned, &j.spec.Shape, now)
	j.wait, j.expected = WaitReserved, at
	p.holder = j.spec.ID
	if now.Sub(j.accepted) >= 2*s.opts.AgingAfter {
		at = now // no backfill any more, estimates have been wrong for too long
	}
	s.alloc.Hold(p.pinned, at)
	clear(p.failed)
}

func (s *Scheduler) newGang(j *job) *gang {
	n := j.attempt + 1
	g := &gang{attempt: n, class: j.spec.Class, level: j.level, job: j}
	g.Gang = allocator.Gang{
		ID:          model.GangID(string(j.spec.ID) + "/" + strconv.Itoa(n)),
		Job:         j.spec.ID,
		Workspace:   j.spec.Workspace,
		Shape:       j.spec.Shape,
		StartedAt:   s.pass.now,
		ExpectedEnd: s.pass.now.Add(s.typical(&j.spec)),
	}
	return g
}

// admitGang takes a job out of the queue for a gang that is already charged.
func (s *Scheduler) admitGang(j *job, g *gang) {
	s.dequeue(j)
	j.attempt = g.attempt
	j.gang = g
	j.wait = WaitRunning
	g.caller = s.caller(j.spec.Workspace, j.spec.Caller)
	s.hold(g, s.pass.now)
	s.workspace(j.spec.Workspace).starts++
}

func (s *Scheduler) start(g *gang) {
	if !s.alloc.Fits(&g.Gang) {
		s.overCommitted(g, "a start was decided")
	}
	g.state = starting
	g.decided = s.pass.number
	g.StartedAt = s.pass.now
	s.out = append(s.out, Start{
		Job: g.Job, Attempt: g.attempt, Gang: g.ID,
		Members: slices.Clone(g.Members), Guaranteed: g.Guaranteed,
	})
}

// prune forgets accounts of callers without service or jobs.
func (s *Scheduler) prune(now time.Time) {
	const maxCallers = 4096
	if len(s.callers) <= maxCallers {
		return
	}
	for k, a := range s.callers {
		if a.idle(now) {
			delete(s.callers, k)
			for lv := range s.bands {
				if b := s.bands[lv][k.workspace]; b != nil {
					delete(b.lanes, k.caller)
				}
			}
		}
	}
}
