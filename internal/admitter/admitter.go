package admitter

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Decision is the result of the admission control of a job.
type Decision struct {
	Accepted bool
	// Wait is the estimated time until the workers have finished the work ahead of the job.
	Wait time.Duration
	// RetryAfter is the time after which a refused job would be accepted if no other work arrived, within bounds.
	RetryAfter time.Duration
}

const (
	// maxLatenessFactor is the multiple of its target duration beyond which the result of a job is worthless to its caller.
	maxLatenessFactor = 3
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Decide accepts a job if the work ahead of it allows it to finish before its result is worthless.
func Decide(load journaler.Load, s *model.Submission) Decision {
	wait := waitAhead(load, s.Queue.Priority)
	criticalPath := CriticalPath(s)
	objective := time.Duration(float64(criticalPath)*s.Queue.TargetStretch) + time.Duration(s.Queue.TargetOffsetMS)*time.Millisecond
	limit := maxLatenessFactor*objective - criticalPath
	if wait <= limit || load.Capacity == 0 {
		return Decision{Accepted: true, Wait: wait}
	}
	return Decision{Wait: wait, RetryAfter: min(max(wait-limit, minRetryAfter), maxRetryAfter)}
}

// waitAhead returns the time that all workers together need for the waiting work of the same or higher priority.
func waitAhead(load journaler.Load, p model.Priority) time.Duration {
	if load.Capacity <= 0 {
		return 0
	}
	total := 0.0
	for i, work := range load.Backlog {
		if i <= int(p) {
			total += work
		}
	}
	return time.Duration(total / float64(load.Capacity) * float64(time.Second))
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func CriticalPath(s *model.Submission) time.Duration {
	finishTimes := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i, st := range s.Steps {
		start := time.Duration(0)
		for _, a := range st.DependsOn {
			if a >= 0 && a < i {
				start = max(start, finishTimes[a])
			}
		}
		finishTimes[i] = start + time.Duration(st.EstimatedRunMS)*time.Millisecond
		longest = max(longest, finishTimes[i])
	}
	return longest
}
