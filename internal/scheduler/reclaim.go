package scheduler

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// DefaultShareGrace is the default of Options.ShareGrace. Most room frees up within a minute by itself, and each
	// preemption costs a checkpoint and a restart.
	DefaultShareGrace = 30 * time.Second
	// maxShareClaims bounds the claims of a domain that wait for work beyond a share to leave.
	maxShareClaims = 4
)

// reclaimShare makes room for a job within its share that has waited for a while: lent work beyond the share of its
// workspace, or of its caller within the same workspace, is preempted. Without it a flood keeps what it took while
// the others were idle until its jobs end by themselves.
func (s *Scheduler) reclaimShare(j *job) bool {
	p := &s.pass
	if p.now.Sub(j.accepted) < s.opts.ShareGrace || s.shareClaims() >= maxShareClaims || p.noEvict[j.spec.Shape] {
		return false
	}
	if s.over(j.lane.caller, j, p.now) {
		return false
	}
	// Room of the same workspace frees as much of its quota and of its share.
	total := j.spec.Shape.Total()
	within := total <= s.quotaLeft(j.spec.Workspace) && !s.beyondShare(j.spec.Workspace, total)
	if !s.claimLent(j, false, func(v *gang) bool { return s.evictableFor(v, j, within) }) {
		p.noEvict[j.spec.Shape] = true
		return false
	}
	return true
}

// reclaimAged makes room for an aged gang, whose shape seldom becomes free by itself: narrower lent work that is not
// more urgent is preempted, because it finds other room more easily.
func (s *Scheduler) reclaimAged(j *job) bool {
	if j.spec.Shape.Workers == 1 || s.shareClaims() >= maxShareClaims {
		return false
	}
	within := !s.beyondShare(j.spec.Workspace, j.spec.Shape.Total())
	return s.claimLent(j, true, func(v *gang) bool {
		if v == nil || v.state != running || v.trial || v.aged || v.level < j.level || v.Shape.Workers >= j.spec.Shape.Workers {
			return false
		}
		return within || v.Workspace == j.spec.Workspace || s.beyondShare(v.Workspace, -v.Shape.Total())
	})
}

// claimLent claims the room of eligible lent gangs for a job and preempts them.
func (s *Scheduler) claimLent(j *job, aged bool, eligible func(*gang) bool) bool {
	g := s.newGang(j)
	victims, ok := s.alloc.PlaceOver(&g.Gang, s.pass.now, func(v *allocator.Gang) bool { return eligible(s.gangs[v.ID]) })
	if !ok {
		return false
	}
	if !s.freesQuota(j, victims) {
		for _, v := range victims {
			s.alloc.Doom(v, false)
		}
		s.alloc.Free(&g.Gang)
		return false
	}
	g.forShare, g.aged = true, aged
	s.admitGang(j, g)
	for _, v := range victims {
		s.preempt(s.gangs[v.ID], j)
	}
	if s.startable(g) {
		s.start(g)
		return true
	}
	s.claim(g)
	return true
}

// freesQuota reports whether a job is within its quota once the victims and all gangs that are being preempted have
// left. Victims may be smaller than the job, and quota that the job took beyond theirs would keep more urgent work of
// its workspace from starting.
func (s *Scheduler) freesQuota(j *job, victims []*allocator.Gang) bool {
	w := j.spec.Workspace
	left := s.quotaLeft(w) - j.spec.Shape.Total()
	for _, v := range victims {
		if v.Workspace == w {
			left += v.Shape.Total()
		}
	}
	for _, v := range s.doomed {
		if !v.gone && v.Workspace == w {
			left += v.Shape.Total()
		}
	}
	return left >= 0
}

func (s *Scheduler) shareClaims() int {
	n := 0
	for _, g := range s.claims {
		if g.forShare {
			n++
		}
	}
	return n
}

// beyondShare reports whether a workspace with more accelerators would exceed its fair share.
func (s *Scheduler) beyondShare(w model.WorkspaceID, more model.Accelerators) bool {
	return float64(s.used[w]+more) > s.pass.share*max(s.workspace(w).weight, 1)
}

// evictableFor reports whether a gang runs on room that a job of a caller within its share may claim; within says that
// the job's workspace is within its share, too, and may claim room of other workspaces.
func (s *Scheduler) evictableFor(v *gang, j *job, within bool) bool {
	if v == nil || v.job == nil || v.state != running || v.trial || v.aged {
		return false
	}
	if v.Workspace != j.spec.Workspace {
		return within && s.beyondShare(v.Workspace, -v.Shape.Total())
	}
	return v.level >= j.level && v.caller != nil && s.over(v.caller, v.job, s.pass.now)
}
