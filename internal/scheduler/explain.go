package scheduler

import (
	"fmt"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Explain tells why a job waits and what would let it start.
func (s *Scheduler) Explain(id model.JobID, now time.Time) Explanation {
	j := s.jobs[id]
	if j == nil {
		return Explanation{Wait: WaitUnknown, Message: "the job is not planned in this failure domain"}
	}
	e := Explanation{Wait: j.wait, Ahead: j.ahead, Guaranteed: j.entitled}
	if g := j.gang; g != nil {
		e.Gang = g.ID
		if g.state != claimed {
			e.Wait, e.Message = WaitRunning, fmt.Sprintf("gang %s holds its workers", g.ID)
			return e
		}
		e.Wait = WaitReclaim
		e.Message = fmt.Sprintf("lent gangs are being preempted for gang %s", g.ID)
		e.Remedy = "it starts when they have stopped, at latest after the checkpoint bound"
		return e
	}
	if s.set != nil {
		if why := s.impossible(&j.spec); why != "" {
			e.Wait, e.Message = WaitImpossible, why
			e.Remedy = "submit a smaller shape or have the inventory or quota raised"
			return e
		}
	}
	sh := j.spec.Shape
	switch j.wait {
	case WaitHeld:
		e.Message = "a new planner is still learning what the workers run"
		e.Remedy = "it is considered once every worker has answered or a task lease has passed"
	case WaitBackoff:
		e.Message = fmt.Sprintf("the last start was refused or failed (%d refused, %d failed); next try in %s", j.refusals, j.failures, max(0, j.notBefore.Sub(now)).Round(time.Millisecond))
		if j.lastError != "" {
			e.Message += ", last error: " + j.lastError
		}
	case WaitQuota:
		e.Message = fmt.Sprintf("it needs %d accelerators, workspace %q may use %d more", sh.Total(), j.spec.Workspace, max(0, s.quotaLeft(j.spec.Workspace)))
		e.Remedy = "it starts when other work of the workspace ends or its quota is raised"
	case WaitReserved:
		e.ExpectedStart = j.expected
		e.Message = fmt.Sprintf("no room for %d workers with %d accelerators each; room is reserved from about %s on", sh.Workers, sh.Accelerators, j.expected.UTC().Format(time.RFC3339))
		e.Remedy = "it starts when the work on the reserved workers ends"
	case WaitBehind:
		e.BehindJob = j.behind
		e.Message = fmt.Sprintf("no room for %d workers with %d accelerators each that ends before the reservation of job %s", sh.Workers, sh.Accelerators, j.behind)
		e.Remedy = "it starts when work ends, or earlier with a shorter run time or a smaller shape"
	case WaitCapacity:
		e.Message = fmt.Sprintf("no room for %d workers with %d accelerators, %d cores and %d MB each", sh.Workers, sh.Accelerators, sh.Cores, sh.MemoryMB)
		e.Remedy = "it starts when work ends or workers are added"
	default:
		e.Wait = WaitNextPass
		e.Message = "it is considered in the next planning pass"
	}
	return e
}
