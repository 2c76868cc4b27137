package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
)

// stallTimeout is the time without progress after which a run counts as stalled. Reports arrive at least every 2 s.
const stallTimeout = 2800 * time.Millisecond

// expectedSeconds returns the expected run time of a task of the step.
func (s *step) expectedSeconds() float64 {
	return float64(s.spec.EstimatedRunMS) / 1000
}

// estimateRemaining estimates the time until the run ends, from its progress and the expected run time of its step.
func (r *run) estimateRemaining(now time.Time) time.Duration {
	estimate := time.Duration(r.task.step.spec.EstimatedRunMS) * time.Millisecond
	elapsed := now.Sub(r.startConfirmedAt)
	if r.percentDone > 5 && r.percentDone < 100 && !r.fromCheckpoint {
		return time.Duration(float64(elapsed) * float64(100-r.percentDone) / float64(r.percentDone))
	}
	if r.percentDone > 0 {
		return estimate * time.Duration(100-r.percentDone) / 100
	}
	return max(estimate-elapsed, 0)
}

// isStalled reports whether the run makes no progress.
func (r *run) isStalled(now time.Time) bool {
	if r.state != runRunning || r.task == nil || r.percentDone >= 100 || r.task.step.spec.LongRunning {
		return false
	}
	return now.Sub(r.lastProgressAt) >= stallTimeout
}

// remainingWork estimates the accelerator-seconds that the job still needs, from the expected run times of its tasks and its progress.
func (j *job) remainingWork(now time.Time) float64 {
	sum := 0.0
	for _, s := range j.steps {
		accelerators := float64(max(1, s.spec.Need.Accelerators))
		perTask := s.expectedSeconds() * accelerators
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.activeRun != nil && t.activeRun.state == runRunning:
				sum += t.activeRun.estimateRemaining(now).Seconds() * accelerators
			default:
				sum += perTask
			}
		}
	}
	return sum
}

// slack returns the difference between the target duration of the job and the estimated run time of its critical path.
func (j *job) slack() time.Duration {
	return admitter.TargetDuration(j.submission) - admitter.CriticalPath(j.submission)
}
