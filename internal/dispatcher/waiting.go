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
	p.d.Logger.Info("step waits for workers", "job", s.ref.Job, "occurrence", s.ref.Occurrence, "step", s.ref.Step, "tasks", r.Count,
		"gang", r.Gang, "one-rack", r.OneRack, "rank", u.rank, "for-ms", p.now.Sub(s.waitLog.waitingSince).Milliseconds(),
		"workers", placer.CountObstacles(p.nodes, r), "states", p.countStates(r))
}

// countStates returns the number of workers of the request's service and label by their status.
func (p *schedulingPass) countStates(r *placer.Request) map[string]int {
	out := map[string]int{}
	for _, n := range p.nodes {
		if r.IsFor(n) {
			out[p.workerOf[n].healthStatus(p.now)]++
		}
	}
	return out
}
