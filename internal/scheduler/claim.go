package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// grace is the time after a checkpoint deadline until a preempt decision is repeated.
const grace = time.Second

// tryGuaranteed gives a job cells of its workspace. It starts at once when
// they are free, else it holds them while lent gangs are preempted.
func (s *Scheduler) tryGuaranteed(j *job) bool {
	if !j.entitled || !s.ready(j, true) {
		return false
	}
	k := cellKey{j.spec.Workspace, j.spec.Shape}
	if s.pass.noCell[k] {
		return false
	}
	var own []*gang
	lack := j.spec.Shape.Total() - s.quotaLeft(j.spec.Workspace)
	if lack > 0 {
		var ok bool
		if own, ok = s.ownVictims(j, lack); !ok {
			s.pass.noCell[k] = true
			j.wait = WaitQuota
			return false
		}
	}
	held := s.doom(own)
	g := s.newGang(j)
	victims, ok := s.alloc.PlaceGuaranteed(&g.Gang, s.pass.now)
	if ok && len(victims) > 0 && lack <= 0 && j.level > 0 {
		s.takeBack(g, victims)
		// Work that is not urgent takes free room first, and keeps it as
		// guaranteed where its cells can be bound there.
		if s.startLent(j) {
			return true
		}
		victims, ok = s.alloc.PlaceGuaranteed(&g.Gang, s.pass.now)
	}
	if !ok {
		victims, ok = s.placeOverOwn(g)
	}
	if !ok {
		s.spare(own, held)
		s.pass.noCell[k] = true
		s.refusedCell(j)
		return false
	}
	s.admitGang(j, g)
	for _, v := range victims {
		s.preempt(s.gangs[v.ID], j)
	}
	for _, v := range own {
		s.preempt(v, j)
	}
	s.startOrClaim(g)
	return true
}

// startOrClaim starts a gang when its room is free, else it holds the room until the preempted gangs have left.
func (s *Scheduler) startOrClaim(g *gang) {
	if s.startable(g) {
		s.start(g)
		return
	}
	s.reclaims++
	s.claim(g)
}

// takeBack undoes the placement of a gang that was not admitted.
func (s *Scheduler) takeBack(g *gang, victims []*allocator.Gang) {
	for _, v := range victims {
		s.alloc.Doom(v, false)
	}
	s.alloc.Free(&g.Gang)
}

// spare undoes doom.
func (s *Scheduler) spare(gs []*gang, held []*allocator.Gang) {
	for _, v := range gs {
		s.alloc.Doom(&v.Gang, false)
	}
	for _, v := range held {
		s.alloc.Promote(v)
	}
}

// doom marks gangs as leaving, so that a placement prefers their room, and
// returns those that were guaranteed.
func (s *Scheduler) doom(gs []*gang) (held []*allocator.Gang) {
	for _, v := range gs {
		if v.Guaranteed {
			s.alloc.Demote(&v.Gang)
			held = append(held, &v.Gang)
		}
		s.alloc.Doom(&v.Gang, true)
	}
	return held
}

// placeOverOwn takes cells from less urgent gangs of the same workspace, which
// run on as lent work where they are not in the way.
func (s *Scheduler) placeOverOwn(g *gang) (victims []*allocator.Gang, ok bool) {
	if g.level == levels-1 {
		return nil, false
	}
	var demoted []*allocator.Gang
	for _, h := range s.alloc.Holders(g.Workspace) {
		if x := s.gangs[h.ID]; x.level <= g.level {
			continue
		}
		s.alloc.Demote(h)
		demoted = append(demoted, h)
		if victims, ok = s.alloc.PlaceGuaranteed(&g.Gang, s.pass.now); ok {
			return victims, true
		}
	}
	for _, h := range demoted {
		s.alloc.Promote(h)
	}
	return nil, false
}

// ownVictims chooses less urgent gangs of the job's workspace whose end frees
// enough of its quota: lent ones first, then those that started last.
func (s *Scheduler) ownVictims(j *job, lack model.Accelerators) ([]*gang, bool) {
	if s.set.Workspaces[j.spec.Workspace].Quota < s.elsewhere[j.spec.Workspace]+j.spec.Shape.Total() {
		return nil, false
	}
	var own []*gang
	for _, g := range s.gangs {
		if g.Workspace != j.spec.Workspace || g.Shape.Accelerators <= 0 {
			continue
		}
		if g.Doomed {
			lack -= g.Shape.Total()
		} else if g.level > j.level {
			own = append(own, g)
		}
	}
	slices.SortFunc(own, func(a, b *gang) int {
		if a.Guaranteed != b.Guaranteed {
			if b.Guaranteed {
				return -1
			}
			return 1
		}
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	for i, g := range own {
		if lack <= 0 {
			return own[:i], true
		}
		lack -= g.Shape.Total()
	}
	return own, lack <= 0
}

func (s *Scheduler) startable(g *gang) bool {
	return s.alloc.Fits(&g.Gang) && s.quotaLeft(g.Workspace) >= 0
}

// preempt decides to stop a lent gang; a claim or a start of the same pass is taken back instead.
func (s *Scheduler) preempt(v *gang, j *job) {
	if v.state == claimed || v.state == starting && v.decided == s.pass.number {
		s.out = slices.DeleteFunc(s.out, func(d Decision) bool {
			x, ok := d.(Start)
			return ok && x.Gang == v.ID
		})
		s.endTrial(v)
		s.releaseClaim(v, s.pass.now)
		s.pass.undone = true
		return
	}
	v.deadline = s.pass.now.Add(s.opts.CheckpointBound)
	v.forJob = j.spec.ID
	s.doomed = append(s.doomed, v)
	s.out = append(s.out, Preempt{Gang: v.ID, For: v.forJob, Deadline: v.deadline})
	s.wakeAt(v.deadline.Add(grace))
}

// advanceClaims starts the jobs whose room has been left, and gives up claims
// that preemption cannot fulfil any more, such as on a worker that failed.
func (s *Scheduler) advanceClaims(now time.Time) {
	for _, g := range slices.Clone(s.claims) {
		switch {
		case !s.alloc.Usable(&g.Gang) || !g.Guaranteed && !g.forShare || s.alloc.Stuck(&g.Gang) || s.quotaLeft(g.Workspace) < 0 && !s.leaving(g.Workspace):
			s.releaseClaim(g, now)
		case s.startable(g):
			s.claims = slices.DeleteFunc(s.claims, func(x *gang) bool { return x == g })
			s.alloc.Expect(&g.Gang, now.Add(s.typical(&g.job.spec)))
			s.start(g)
		}
	}
}

// leaving reports whether a gang of the workspace is being preempted.
func (s *Scheduler) leaving(w model.WorkspaceID) bool {
	return slices.ContainsFunc(s.doomed, func(g *gang) bool { return !g.gone && g.Workspace == w })
}

func (s *Scheduler) releaseClaim(g *gang, now time.Time) {
	j := g.job
	s.drop(g, now)
	s.again(j, time.Time{})
}

func (s *Scheduler) releaseClaims() {
	for _, g := range slices.Clone(s.claims) {
		s.releaseClaim(g, s.pass.now)
	}
}

// repeatPreempts decides again on gangs that were not reported as gone in time.
func (s *Scheduler) repeatPreempts(now time.Time) {
	s.doomed = slices.DeleteFunc(s.doomed, func(g *gang) bool { return g.gone })
	for _, g := range s.doomed {
		if !now.Before(g.deadline.Add(grace)) {
			g.deadline = now.Add(s.opts.CheckpointBound)
			s.out = append(s.out, Preempt{Gang: g.ID, For: g.forJob, Deadline: g.deadline})
		}
		s.wakeAt(g.deadline.Add(grace))
	}
}

// promoteAdopted makes adopted gangs guaranteed where they run. Those on
// workers that are not known yet are tried again.
func (s *Scheduler) promoteAdopted() {
	s.promote = slices.DeleteFunc(s.promote, func(g *gang) bool {
		return g.gone || s.alloc.Promote(&g.Gang) || g.Doomed || !s.alloc.Entitled(g.Workspace, &g.Shape) || s.alloc.Usable(&g.Gang)
	})
}

// stopOrphans preempts adopted gangs whose job has another attempt.
func (s *Scheduler) stopOrphans(now time.Time) {
	for _, g := range s.orphans {
		if g.gone {
			continue
		}
		s.alloc.Doom(&g.Gang, true)
		g.deadline, g.forJob = now, g.Job
		s.doomed = append(s.doomed, g)
		s.out = append(s.out, Preempt{Gang: g.ID, For: g.Job, Deadline: now})
		s.wakeAt(now.Add(grace))
	}
	s.orphans = s.orphans[:0]
}

// openTrials lets quarantined workers whose probation begins get one task.
func (s *Scheduler) openTrials(now time.Time) {
	s.trials = s.faults.Due(s.trials[:0], now)
	for _, w := range s.trials {
		if s.alloc.Health(w) == allocator.Quarantined {
			s.alloc.SetHealth(w, allocator.Probation)
		}
	}
	if t := s.faults.NextTrial(now); !t.IsZero() {
		s.wakeAt(t)
	}
}
