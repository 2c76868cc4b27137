package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/preemptor"
)

// decisionLogInterval is the minimum time between two log lines on steps that do not preempt.
const decisionLogInterval = time.Second

// stepPreemption is what the decisions whether a step preempts need to know of earlier ones.
type stepPreemption struct {
	last    preemptor.Decision
	retryAt time.Time        // time before which another decision is not expected to differ
	roomBy  time.Time        // time by which room was first expected to become free since the step waits, within a guarantee the earliest one; zero if it was not
	spent   preemptor.Window // work thrown away for the step
	asGang  bool             // the step is a gang that was preempted in this term
	round   int64            // number of the planning round in which a plan was last made for the step; 0 before the first one
}

// noteDecision keeps the decision whether a step preempts, counts it, and logs one against a preemption at most once in an interval.
// preemptFor logs the others.
func (p *schedulingPass) noteDecision(u *placementUnit, d *preemptor.Decision) {
	state := &u.step.preemption
	state.last, state.retryAt = *d, p.now.Add(d.RetryIn)
	// A guarantee is not kept waiting by what was expected before the step came within it.
	if by := p.now.Add(d.RoomIn); d.Reason == preemptor.ReasonRoomSoon && (state.roomBy.IsZero() || u.rank == 0 && by.Before(state.roomBy)) {
		state.roomBy = by
	}
	p.d.Metrics.Decisions.Add(string(d.Reason), 1)
	if d.Preempt || p.now.Sub(p.d.decisionLoggedAt) < decisionLogInterval {
		return
	}
	p.d.decisionLoggedAt = p.now
	p.d.Logger.Info("step does not preempt", "job", u.step.ref.Job, "step", u.step.ref.Step, "rank", u.rank, "tasks", len(u.tasks),
		"reason", d.Reason, "gain", int64(d.Gain), "cost", int64(d.Cost), "runs", d.Runs, "lost-core-seconds", int64(d.Lost),
		"room-in-ms", d.RoomIn.Milliseconds(), "retry-in-ms", d.RetryIn.Milliseconds())
}

// describeWaiting describes a waiting unit to the preemptor. Long-running tasks have no target.
func (p *schedulingPass) describeWaiting(u *placementUnit) *preemptor.Step {
	s := u.step
	out := &preemptor.Step{
		Priority: s.job.submission.Queue.Priority, Guaranteed: u.rank == 0, PathLeft: preemptor.PathFrom(s.job.submission.Steps, s.ref.Step),
		Spent:       s.preemption.spent.Sum(p.now),
		RoomOverdue: !s.preemption.roomBy.IsZero() && p.now.After(s.preemption.roomBy),
	}
	if !s.spec.LongRunning && s.spec.EstimatedRunMS > 0 {
		out.Deadline = s.deadline(p.now)
	}
	return out
}

// describeVictims describes the victims of a plan to the preemptor.
func (p *schedulingPass) describeVictims(victims []*placer.PreemptionUnit) []preemptor.Victim {
	out := make([]preemptor.Victim, 0, len(victims))
	for _, v := range victims {
		target := p.preemptionTargets[v.ID]
		if target.run != nil {
			out = append(out, preemptor.Victim{Job: target.run.task.step.owner(p.now), Runs: []preemptor.Run{target.run.stoppable(p.now)}})
			continue
		}
		victim := preemptor.Victim{Job: target.gang.owner(p.now)}
		for _, t := range target.gang.tasks {
			if t.activeRun != nil {
				victim.Runs = append(victim.Runs, t.activeRun.stoppable(p.now))
			}
		}
		out = append(out, victim)
	}
	return out
}

// owner describes the job of a running step to the preemptor.
func (s *step) owner(now time.Time) preemptor.Job {
	return preemptor.Job{ID: s.ref.Job, Priority: s.job.submission.Queue.Priority, Deadline: s.deadline(now), Work: s.workOf(s.spec.Count)}
}

// deadline returns the deadline of the step's job, which is counted from the time at which the occurrence is due.
func (s *step) deadline(now time.Time) preemptor.Deadline {
	target := s.job.targetDuration
	return preemptor.NewDeadline(now.Sub(latest(s.job.seenAt, s.dueAt)), target, admitter.MaxLatenessFactor*target)
}

// account returns the account to which work is charged that is thrown away for the step.
func (s *step) account() preemptor.Account {
	return preemptor.Account{Workspace: s.job.submission.Workspace, Priority: s.job.submission.Queue.Priority}
}

// workOf returns the estimated work of a number of tasks of the step.
func (s *step) workOf(tasks int) preemptor.CoreSeconds {
	return preemptor.Work(s.spec.Need, s.callerEstimate()) * preemptor.CoreSeconds(tasks)
}

// stoppable describes the run to the preemptor.
func (r *run) stoppable(now time.Time) preemptor.Run {
	out := preemptor.Run{Need: r.need}
	if !r.startConfirmedAt.IsZero() {
		out.Elapsed = now.Sub(r.startConfirmedAt)
	}
	if r.task == nil {
		return out
	}
	out.Resumable, out.Remaining = r.task.step.spec.Resumable, r.estimateRemaining(now)
	if r.adopted {
		// A former leader has sent the start request, so only the progress tells how long the task has run.
		estimate := r.task.step.callerEstimate()
		out.Remaining = estimate / 100 * time.Duration(100-r.percentDone)
		out.Elapsed = max(out.Elapsed, estimate/100*time.Duration(r.percentDone))
	}
	return out
}
