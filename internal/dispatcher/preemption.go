package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// restartCostSeconds is the time that a preempted run loses until it runs again, in addition to its lost work.
const restartCostSeconds = 0.3

// checkpointLossSeconds is the maximum work, in seconds of run time, that a run with checkpoints loses when it is preempted.
const checkpointLossSeconds = 0.8

// preemptionSlackShare is the share of its slack for which a job waits before it preempts less urgent runs. Most of these runs end
// on their own in that time, while preempted ones start over and soon compete for the same resources again.
const preemptionSlackShare = 0.6

// preemptionPause is the time for which a preempted step preempts nothing. By then the headroom has followed the rise in demand that the
// step made room for. Before, its new runs would soon be preempted as well, and what was stopped for them would have been stopped in vain.
const preemptionPause = 4 * demandRiseTime

// maxPreemptionPause limits the pauses of a step that is preempted again and again, so that it does not wait for good.
const maxPreemptionPause = 3 * preemptionPause

// planPreemption returns places for the tasks of the unit, and the victims to preempt for them.
//
// It returns nil until the job has waited for preemptionSlackShare of its slack, and in the pause after the step was preempted. Jobs of
// priority 0 do not wait.
func (p *schedulingPass) planPreemption(u *placementUnit) ([]*placer.Node, []*placer.PreemptionUnit) {
	if p.preemptionWait(u.step) > 0 {
		return nil, nil
	}
	p.listPreemptible()
	return p.d.preemptionPlanner.Plan(p.nodes, p.placementRequest(u))
}

// preemptionWait returns how much longer the step waits before it preempts less urgent work; 0 if it may preempt now.
func (p *schedulingPass) preemptionWait(s *step) time.Duration {
	j := s.job
	if j.submission.Queue.Priority == 0 {
		return 0
	}
	patience := time.Duration(preemptionSlackShare * float64(j.slack()))
	preemptsAt := j.seenAt.Add(patience)
	preemptsAt = latest(preemptsAt, s.pauseEndsAt(j.slack()-patience))
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
		if free[w].CanFit(u.step.spec.Need) && !w.hostsSuspect() {
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
	p.d.Logger.Info("preempting runs", "job", u.step.ref.Job, "step", u.step.ref.Step, "rank", u.rank, "tasks", len(places),
		"victims", len(victims))
	p.d.Metrics.Runs.Add("preempted-blocks", int64(len(victims)))
	for _, v := range victims {
		p.stopTarget(p.preemptionTargets[v.ID])
	}
	for _, n := range p.nodes {
		n.Preemptible = slices.DeleteFunc(n.Preemptible, func(a placer.Allocation) bool { return slices.Contains(victims, a.PreemptionUnit) })
	}
	p.refreshFree()
}

// preemptionTarget is running work that is preempted as a whole, either a single run or a gang. Exactly one field is set.
type preemptionTarget struct {
	run  *run
	gang *step
}

// notePreemption begins the pause of a preempted step anew.
func (s *step) notePreemption(now time.Time) {
	if now.Sub(s.preemptedAt) >= preemptionPause {
		s.pausingSince = now
	}
	s.preemptedAt = now
}

// pauseEndsAt returns the end of the pause of a preempted step, which lasts no longer than the given time.
func (s *step) pauseEndsAt(longest time.Duration) time.Time {
	end, last := s.preemptedAt.Add(min(preemptionPause, longest)), s.pausingSince.Add(maxPreemptionPause)
	if last.Before(end) {
		return last
	}
	return end
}

// stopTarget stops a preempted run, or all runs of a preempted gang.
func (p *schedulingPass) stopTarget(target preemptionTarget) {
	if target.gang != nil {
		target.gang.notePreemption(p.now)
		p.d.stopStep(target.gang, "preempted", p.now)
		return
	}
	target.run.task.step.notePreemption(p.now)
	p.d.stopRun(target.run, "preempted", p.now)
}

// refreshFree recomputes the free resources of all nodes after runs or reservations have changed.
func (p *schedulingPass) refreshFree() {
	clear(p.infeasible)
	clear(p.held)
	for _, n := range p.nodes {
		n.Free, n.Unused = p.freeResources(p.workerOf[n])
	}
}

// listPreemptible fills the Preemptible fields of the nodes with the running work, and sets ranks and leastUrgent. It does nothing
// when it is called again in the same pass.
func (p *schedulingPass) listPreemptible() {
	if p.preemptibleListed {
		return
	}
	p.preemptibleListed = true
	p.ranks = p.d.jobRanks()
	for _, j := range p.d.jobs {
		for _, s := range j.steps {
			p.listPreemptibleStep(s)
		}
	}
}

// listPreemptibleStep adds the running tasks of a step to their nodes. The members of a gang form one preemption unit; any other
// task forms its own.
func (p *schedulingPass) listPreemptibleStep(s *step) {
	var gang *placer.PreemptionUnit
	for _, t := range s.tasks {
		r := t.activeRun
		if r == nil || r.state != runRunning || p.nodeOf[r.worker] == nil {
			continue
		}
		n := p.nodeOf[r.worker]
		u := gang
		if u == nil {
			u = &placer.PreemptionUnit{ID: len(p.preemptionTargets), Rank: p.ranks[s.job]}
			p.leastUrgent = max(p.leastUrgent, u.Rank)
			target := preemptionTarget{run: r}
			if s.spec.Gang {
				gang = u
				target = preemptionTarget{gang: s}
			}
			p.preemptionTargets = append(p.preemptionTargets, target)
		}
		u.Cost += p.preemptionCost(r)
		u.RemainingSeconds = max(u.RemainingSeconds, r.estimateRemaining(p.now).Seconds())
		n.AddMember(u, s.spec.Need)
	}
}

// preemptionCost returns the accelerator-seconds lost by stopping a run, weighted by the urgency of its job.
func (p *schedulingPass) preemptionCost(r *run) float64 {
	lostSeconds := p.now.Sub(r.startConfirmedAt).Seconds()
	if r.task.step.spec.Resumable {
		lostSeconds = min(lostSeconds, checkpointLossSeconds)
	}
	return (lostSeconds + restartCostSeconds) * float64(max(1, r.need.Accelerators)) * urgencyWeight(r.task.step.job.submission.Queue.Priority)
}

// urgencyWeight returns the weight of lost work of a priority. Urgent work that starts over misses its target duration.
func urgencyWeight(p model.Priority) float64 {
	switch p {
	case 0:
		return 16
	case 1:
		return 2
	}
	return 1
}
