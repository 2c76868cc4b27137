package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against steps that are never planned for because more urgent ones without room use up the plans of each pass.
func TestEachWaitingStepIsPlannedFor(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	d.fill("busy", 4, model.Resources{Accelerators: 8}, 0, 8, now)
	var steps []*step
	for _, id := range []string{"first", "second", "third"} {
		steps = append(steps, d.addStep(id, 0, model.Step{Count: 9, Need: model.Resources{Accelerators: 8}, Gang: true}, now))
	}
	planned := func() (out []string) {
		for _, s := range steps {
			s.preemption.last, s.preemption.retryAt = preemptor.Decision{}, time.Time{}
		}
		p := newSchedulingPass(d, now)
		p.ranks = d.jobRanks()
		p.plannedNodes = maxPlannedNodes // leaves one plan for the pass
		for _, u := range d.placementUnits(p.ranks, now) {
			if places, _ := p.planPreemption(u); places == nil && u.step.preemption.last.Reason != "" {
				out = append(out, string(u.step.ref.Job))
			}
		}
		p.endPlanningRound()
		return out
	}
	is.Equal(planned(), []string{"first"})
	is.Equal(planned(), []string{"second"})
	is.Equal(planned(), []string{"third"})
	is.Equal(planned(), []string{"first"}) // the next round
}

// Guards against a gang that counts as in time because one of its members could end in time.
func TestGangIsProtectedOnlyIfAllMembersEndInTime(t *testing.T) {
	for late := range 3 {
		is := is.New(t)
		d := newFleet(t, 1)
		now := time.Now()
		s := d.fill("gang", 2, model.Resources{Accelerators: 8}, 0, 3, now)
		s.spec.Gang, s.preemption.asGang = true, true
		protected := func() bool {
			p := newSchedulingPass(d, now)
			p.listPreemptible()
			return p.nodes[0].Preemptible[0].Protected
		}
		is.True(protected())
		s.job.seenAt = now.Add(-s.job.slack())
		is.True(protected())
		r := s.tasks[late].activeRun
		r.percentDone, r.startConfirmedAt = 10, now.Add(-time.Minute) // nine minutes remain
		is.True(!protected())
	}
}

// Guards against guaranteed work that preempts beside room that comes soon, waits for it too long, or uses up the budget of its workspace.
func TestGuaranteedWorkWaitsOnceForRoom(t *testing.T) {
	for remaining, wait := range map[time.Duration]time.Duration{500 * time.Millisecond: 500 * time.Millisecond, 5 * time.Second: 0} {
		is := is.New(t)
		d := newFleet(t, 1)
		now := time.Now()
		d.fill("busy", 4, model.Resources{Accelerators: 8}, 0, 8, now.Add(remaining-10*time.Second)) // 10 s are expected
		s := d.addStep("urgent", 0, model.Step{Count: 2, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
		d.entitlements.Guaranteed = map[model.WorkspaceID]model.Accelerators{s.job.submission.Workspace: 16}
		s.preemption.roomBy = now.Add(8 * time.Second) // expected before the job came within its guarantee
		budget := d.preemptionBudget.Left(s.account(), d.workers["w000"].info.Capacity, now)
		waited := time.Duration(0)
		for ; s.reservation == nil && waited < 3*time.Second; waited += 10 * time.Millisecond {
			d.schedule(now.Add(waited))
			is.True(s.reservation != nil || s.preemption.last.Reason == preemptor.ReasonRoomSoon)
		}
		is.True(waited >= wait && waited <= wait+200*time.Millisecond) // a decision is repeated after 150 ms
		is.Equal(s.preemption.last.Reason, preemptor.ReasonGuarantee)
		is.Equal(d.preemptionBudget.Left(s.account(), d.workers["w000"].info.Capacity, now), budget)
	}
}
