package scheduler

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/asserter"
)

const (
	// DefaultClaimMargin is the default of Options.ClaimMargin: the stop after the checkpoint bound, its answer, and
	// one repetition of both take up to 5 s.
	DefaultClaimMargin = 5 * time.Second
	// watchGap bounds how much of the time between two passes counts as waiting, since a process that was paused did
	// not act on the reports of that time.
	watchGap = time.Second
)

func (s *Scheduler) violated(inv asserter.Invariant, args ...any) {
	if f := s.opts.Violated; f != nil {
		f(inv, args...)
	}
}

// claim keeps a gang that waits for others to leave. Its workers may be over-committed only while they do.
func (s *Scheduler) claim(g *gang) {
	if s.alloc.Stuck(&g.Gang) {
		s.overCommitted(g, "no gang is being preempted")
	}
	s.claims = append(s.claims, g)
}

func (s *Scheduler) overCommitted(g *gang, reason string) {
	s.violated(asserter.OverCommitted, "gang", string(g.ID), "job", string(g.Job), "workers", g.Members, "reason", reason)
}

// refusedCell looks at a job that got no cell: it is a violation when its workspace has unused cells and the healthy
// workers hold all cells, and a shortage when too few workers are healthy.
func (s *Scheduler) refusedCell(j *job) {
	unused, healthy := s.alloc.Reclaimable(j.spec.Workspace, &j.spec.Shape)
	switch {
	case !unused || j.refusedCell:
	case healthy:
		j.refusedCell = true
		s.violated(asserter.GuaranteeRefused, "job", string(j.spec.ID), "workspace", string(j.spec.Workspace),
			"reason", "no cell is free")
	default:
		s.pass.short = append(s.pass.short, j)
	}
}

// watchClaims looks for guaranteed work that waits for its cells beyond the checkpoint bound and the margin.
func (s *Scheduler) watchClaims(now time.Time) {
	ran := min(now.Sub(s.watchedAt), watchGap)
	s.watchedAt, s.lateDown = now, 0
	s.watches++
	for _, g := range s.claims {
		j := g.job
		if !g.Guaranteed {
			continue
		}
		if s.watches-j.watched > 2 { // at one call it may be between two claims
			j.waited = 0
		}
		j.watched = s.watches
		j.waited += ran
		switch {
		case j.waited <= s.opts.CheckpointBound+s.opts.ClaimMargin || j.late:
		case slices.ContainsFunc(s.doomed, func(v *gang) bool { return !v.gone && !s.alloc.Usable(&v.Gang) }):
			// A gang ends only when its members on lost workers have lapsed.
			s.lateDown += g.Shape.Total()
		default:
			j.late = true
			s.violated(asserter.GuaranteeRefused, "job", string(g.Job), "gang", string(g.ID),
				"workspace", string(g.Workspace), "waited", j.waited.String(), "reason", "the cells were not left in time")
		}
	}
}

// countShortage sums up the jobs without cells that still wait after the pass.
func (s *Scheduler) countShortage() {
	s.shortage = 0
	for _, j := range s.pass.short {
		if j.queued {
			s.shortage += j.spec.Shape.Total()
		}
	}
	clear(s.pass.short)
	s.pass.short = s.pass.short[:0]
}

// Usages returns the usage of all workers, sorted by id.
func (s *Scheduler) Usages() []allocator.Usage { return s.alloc.Usages() }
