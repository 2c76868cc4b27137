package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxPlannedNodes is the number of nodes that the plans of units without a guarantee go through in a pass, before further units wait for the
// next pass. A decision takes two plans over all nodes, and on a large fleet many units may wait. No step is planned for twice before each unit
// that had to wait was planned for once, see endPlanningRound. Otherwise the first units could use up all passes.
const maxPlannedNodes = 6000

// planPreemption returns places for the tasks of the unit, and the victims to preempt for them. It returns nil if the step does not
// preempt now; the preemptor says why.
func (p *schedulingPass) planPreemption(u *placementUnit) ([]*placer.Node, []*placer.PreemptionUnit) {
	s := u.step
	if p.preemptionWait(u) > 0 || p.waitsForDecision(u) {
		return nil, nil
	}
	waiting := p.describeWaiting(u)
	if d := waiting.Consider(); d != nil {
		p.noteDecision(u, d)
		return nil, nil
	}
	if u.rank > 0 {
		if s.preemption.round == p.d.planningRound {
			return nil, nil
		}
		if p.plannedNodes > maxPlannedNodes {
			p.plansDeferred = true
			return nil, nil
		}
		p.plannedNodes += 2 * len(p.nodes)
		s.preemption.round = p.d.planningRound
	}
	p.listPreemptible()
	r := p.placementRequest(u)
	r.SparesProtected = u.rank > 0
	places, victims := p.d.preemptionPlanner.Plan(p.nodes, r)
	d := p.decide(u, r, waiting, places, victims)
	if p.noteDecision(u, &d); !d.Preempt {
		return nil, nil
	}
	return places, victims
}

// waitsForDecision reports whether the last decision against a preemption still counts. Work within a guarantee decides again in each pass, unless
// it waits for room that is expected.
func (p *schedulingPass) waitsForDecision(u *placementUnit) bool {
	state := &u.step.preemption
	return p.now.Before(state.retryAt) && (u.rank > 0 || state.last.Reason == preemptor.ReasonRoomSoon)
}

// endPlanningRound ends the planning round with the pass unless the pass had to leave out a unit.
func (p *schedulingPass) endPlanningRound() {
	if !p.plansDeferred {
		p.d.planningRound++
	}
}

// decide decides whether a unit preempts the victims of a plan.
func (p *schedulingPass) decide(u *placementUnit, r *placer.Request, waiting *preemptor.Step, places []*placer.Node, victims []*placer.PreemptionUnit) preemptor.Decision {
	if places == nil {
		return preemptor.NoRoom()
	}
	waiting.Work = u.step.workOf(len(places))
	offer := &preemptor.Offer{Victims: p.describeVictims(victims), RoomIn: p.roomIn(r)}
	if u.rank > 0 {
		offer.Left = p.d.preemptionBudget.Left(u.step.account(), p.pool(r.Service).Capacity, p.now)
	}
	return waiting.Decide(offer)
}

// roomIn returns the estimated time until the request fits because runs end on their own; negative if that is not expected.
func (p *schedulingPass) roomIn(r *placer.Request) time.Duration {
	later := *r
	later.MinimizeWait = true
	places, ending := p.d.preemptionPlanner.Plan(p.nodes, &later)
	if len(places) < r.Count {
		return -1
	}
	seconds := 0.0
	for _, unit := range ending {
		seconds = max(seconds, unit.RemainingSeconds)
	}
	return time.Duration(seconds * float64(time.Second))
}

// preemptionWait returns how much longer the unit waits before it preempts less urgent work; 0 if it may preempt now.
func (p *schedulingPass) preemptionWait(u *placementUnit) time.Duration {
	s := u.step
	j := s.job
	if j.submission.Queue.Priority == 0 {
		return 0
	}
	patience := preemptor.Patience(j.slack())
	preemptsAt := latest(j.seenAt.Add(patience), s.pause.EndsAt(j.slack()-patience))
	if p.now.After(preemptsAt) {
		return 0
	}
	return max(preemptsAt.Sub(p.now), 1)
}

// startReserved starts the tasks of the unit's reservation whose resources have become free. A gang starts only as a whole.
func (p *schedulingPass) startReserved(u *placementUnit) {
	res := u.step.reservation
	free := map[*worker]model.Resources{}
	var startable []int
	for i, w := range res.workers {
		if _, ok := free[w]; !ok {
			free[w] = w.unoccupiedResources()
		}
		if free[w].CanFit(u.step.spec.Need) && !w.hostsSuspect() && !p.d.isHeld(res.tasks[i], p.now) {
			free[w] = free[w].Sub(u.step.spec.Need)
			startable = append(startable, i)
		}
	}
	if len(startable) == 0 || u.step.spec.Gang && len(startable) < len(res.tasks) || !p.canStart() {
		return
	}
	if u.step.spec.Gang {
		u.step.gangAttempts++
	}
	remaining := &reservation{}
	for i, t := range res.tasks {
		if slices.Contains(startable, i) {
			p.startTask(t, res.workers[i])
			p.reserved[res.workers[i]] = p.reserved[res.workers[i]].Sub(u.step.spec.Need)
		} else {
			remaining.tasks, remaining.workers = append(remaining.tasks, t), append(remaining.workers, res.workers[i])
		}
	}
	u.step.reservation = nil
	if len(remaining.tasks) > 0 {
		u.step.reservation = remaining
	}
	p.refreshFree()
}

// preemptFor stops the victims, and reserves the places for the unit.
func (p *schedulingPass) preemptFor(u *placementUnit, places []*placer.Node, victims []*placer.PreemptionUnit) {
	res := &reservation{}
	for i, n := range places {
		w := p.workerOf[n]
		res.tasks = append(res.tasks, u.tasks[i])
		res.workers = append(res.workers, w)
		p.reserved[w] = p.reserved[w].Add(u.step.spec.Need)
	}
	u.step.reservation, u.step.heldWorkers = res, nil
	d := &u.step.preemption.last
	p.d.Logger.Info("preempting runs", "job", u.step.ref.Job, "step", u.step.ref.Step, "rank", u.rank, "tasks", len(places),
		"victims", len(victims), "runs", d.Runs, "reason", d.Reason, "gain", int64(d.Gain), "cost", int64(d.Cost), "lost-core-seconds", int64(d.Lost))
	u.step.preemption.spent.Add(d.Lost, p.now)
	if u.rank > 0 { // what a guarantee costs leaves the urgent work beyond it its budget
		p.d.preemptionBudget.Spend(u.step.account(), d.Lost, p.now)
	}
	p.d.Metrics.Runs.Add("preempted-blocks", int64(len(victims)))
	for _, v := range victims {
		p.stopTarget(p.preemptionTargets[v.ID])
	}
	for _, n := range p.nodes {
		n.Preemptible = slices.DeleteFunc(n.Preemptible, func(a placer.Allocation) bool { return slices.Contains(victims, a.PreemptionUnit) })
	}
	p.refreshFree()
}

// preemptionTarget is running work that is preempted as a whole, either a single run or a gang. Exactly one of run and gang is set.
type preemptionTarget struct {
	run  *run
	gang *step
}

// stopTarget stops a preempted run, or all runs of a preempted gang.
func (p *schedulingPass) stopTarget(target preemptionTarget) {
	if target.gang != nil {
		target.gang.pause.Begin(p.now)
		target.gang.preemption.asGang = true
		p.d.stopStep(target.gang, "preempted", p.now)
		return
	}
	target.run.task.step.pause.Begin(p.now)
	target.run.task.preempted = true
	p.d.stopRun(target.run, "preempted", p.now)
}

// refreshFree recomputes the free resources of all nodes after runs or reservations have changed. What is held stays held.
func (p *schedulingPass) refreshFree() {
	clear(p.infeasible)
	for _, n := range p.nodes {
		n.Free, n.Unused = p.freeResources(p.workerOf[n])
		n.Free = n.Free.Sub(p.held[n])
	}
}

// listPreemptible fills the Preemptible fields of the nodes with the running work. It does nothing
// when it is called again in the same pass.
func (p *schedulingPass) listPreemptible() {
	if p.preemptibleListed {
		return
	}
	p.preemptibleListed = true
	p.leastUrgentRunning() // sets ranks
	for _, j := range p.d.jobs {
		for _, s := range j.steps {
			p.listPreemptibleStep(s)
		}
	}
}

// isPreemptible reports whether a run, which may be nil, could be preempted.
func (p *schedulingPass) isPreemptible(r *run) bool {
	return r != nil && r.state == runRunning && p.nodeOf[r.worker] != nil
}

// listPreemptibleStep adds the running tasks of a step to their nodes. The members of a gang form one preemption unit; any other
// task forms its own.
func (p *schedulingPass) listPreemptibleStep(s *step) {
	var gang *placer.PreemptionUnit
	var owner preemptor.Job
	for _, t := range s.tasks {
		r := t.activeRun
		if !p.isPreemptible(r) {
			continue
		}
		if owner.ID == "" {
			owner = s.owner(p.now)
		}
		n := p.nodeOf[r.worker]
		u := gang
		if u == nil {
			u = &placer.PreemptionUnit{ID: len(p.preemptionTargets), Rank: p.ranks[s.job]}
			target := preemptionTarget{run: r}
			if s.spec.Gang {
				gang = u
				target = preemptionTarget{gang: s}
			}
			p.preemptionTargets = append(p.preemptionTargets, target)
		}
		stopped := r.stoppable(p.now)
		u.Cost += float64(owner.Cost(&stopped))
		// A gang ends with its last member, so it can end in time only if all members can.
		u.Protected = owner.IsProtected(&stopped, t.preempted || s.preemption.asGang) && (len(u.Members) == 0 || u.Protected)
		u.RemainingSeconds = max(u.RemainingSeconds, stopped.Remaining.Seconds())
		n.AddMember(u, s.spec.Need)
	}
}
