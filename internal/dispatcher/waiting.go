package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
)

const (
	// longWait is the time without any active run after which a waiting step is logged.
	longWait = 3 * time.Second
	// waitLogInterval is the minimum time between two log lines on waiting steps of the whole fleet.
	waitLogInterval = time.Second
	// stepWaitLogInterval is the minimum time between two log lines on the same waiting step.
	stepWaitLogInterval = 10 * time.Second
)

// waitLog is the state of the log lines that say why a step waits.
type waitLog struct {
	waitingSince time.Time // start of the first pass since which the step has found no place; zero while it does
	loggedAt     time.Time // time of the last log line on the step
}

// noteWaiting logs why a step without active runs has found no place for longWait.
func (p *schedulingPass) noteWaiting(u *placementUnit, r *placer.Request) {
	s := u.step
	if s.waitLog.waitingSince.IsZero() {
		s.waitLog.waitingSince = p.now
	}
	if p.now.Sub(s.waitLog.waitingSince) < longWait || p.now.Sub(s.waitLog.loggedAt) < stepWaitLogInterval ||
		p.now.Sub(p.d.waitLoggedAt) < waitLogInterval || !s.isIdle() {
		return
	}
	s.waitLog.loggedAt, p.d.waitLoggedAt = p.now, p.now
	ready, schedulable := p.pool(r.Service).ready, p.schedulableUse(r.Service)
	slots := p.freeSlots(r)
	obstacle, preemptsIn := p.preemptionObstacle(u)
	ampleFor := time.Duration(0)
	if !s.roomSince.IsZero() {
		ampleFor = p.now.Sub(s.roomSince)
	}
	p.d.Logger.Info("step waits for workers", "job", s.ref.Job, "occurrence", s.ref.Occurrence, "step", s.ref.Step, "tasks", r.Count,
		"gang", r.Gang, "one-rack", r.OneRack, "rank", u.rank, "for-ms", p.now.Sub(s.waitLog.waitingSince).Milliseconds(),
		"workers", placer.CountObstacles(p.nodes, r), "states", p.countStates(r), "use-percent", ready.percent(),
		"use-percent-schedulable", schedulable.percent(), "withheld-nodes", r.WithheldNodes, "free-slots", slots, "fits-twice", slots >= 2*r.Count,
		"held-workers", len(s.heldWorkers), "preemption", obstacle, "preempts-in-ms", preemptsIn.Milliseconds(), "ample-room-ms", ampleFor.Milliseconds())
}

// preemptionObstacle is the reason why a waiting unit preempts nothing: one of these, or that of its last decision.
type preemptionObstacle string

const (
	obstacleIsolated  preemptionObstacle = "isolated"            // the unit waits for empty workers
	obstacleNoVictims preemptionObstacle = "no-less-urgent-work" // nothing that runs is less urgent
	obstacleSlack     preemptionObstacle = "slack-left"          // the job waits for a part of its slack first, or the step was preempted a moment ago
)

// preemptionObstacle returns why the unit preempts nothing, and the time until the step has waited enough to preempt.
func (p *schedulingPass) preemptionObstacle(u *placementUnit) (preemptionObstacle, time.Duration) {
	switch wait := p.preemptionWait(u); {
	case u.isolated:
		return obstacleIsolated, wait
	case u.rank >= p.leastUrgentRunning():
		return obstacleNoVictims, wait
	case wait > 0:
		return obstacleSlack, wait
	}
	return preemptionObstacle(u.step.preemption.last.Reason), max(u.step.preemption.retryAt.Sub(p.now), 0)
}

// countStates returns the number of workers of the request's service and label by their status.
func (p *schedulingPass) countStates(r *placer.Request) map[string]int {
	out := map[string]int{}
	for _, n := range p.nodes {
		if r.IsFor(n) {
			out[p.workerOf[n].healthStatus(p.now)]++
		}
	}
	for _, w := range p.d.workers {
		if w.listed && w.evacuated && r.IsFor(&placer.Node{ID: w.info.ID, Service: w.info.Service, Labels: w.info.Labels}) {
			out[w.healthStatus(p.now)]++
		}
	}
	return out
}
