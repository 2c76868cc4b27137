package admitter

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Verdict is the decision on a job.
type Verdict struct {
	Accept bool
	// Wait is how long the work ahead of the job takes on all workers together.
	Wait time.Duration
	// RetryAfter is when a refused job would be accepted if nothing else came.
	RetryAfter time.Duration
}

const (
	// lateFactor is how many times its objective a job may take before its result is worth nothing to its caller.
	lateFactor = 3
	// minRetry and maxRetry bound the advice to a refused caller.
	minRetry = time.Second
	maxRetry = 60 * time.Second
)

// Decide accepts a job that can be done before it is worthless, by the work that comes before it.
func Decide(l journaler.Load, s *model.Submission) Verdict {
	wait := ahead(l, s.Queue.Priority)
	chain := CriticalPath(s)
	objective := time.Duration(float64(chain)*s.Queue.TargetStretch) + time.Duration(s.Queue.TargetOffsetMS)*time.Millisecond
	limit := lateFactor*objective - chain
	if wait <= limit || l.Capacity == 0 {
		return Verdict{Accept: true, Wait: wait}
	}
	return Verdict{Wait: wait, RetryAfter: min(max(wait-limit, minRetry), maxRetry)}
}

// ahead returns the time that all workers together need for work of the same and of higher priority.
func ahead(l journaler.Load, p model.Priority) time.Duration {
	if l.Capacity <= 0 {
		return 0
	}
	sum := 0.0
	for i, w := range l.Backlog {
		if i <= int(p) {
			sum += w
		}
	}
	return time.Duration(sum / float64(l.Capacity) * float64(time.Second))
}

// CriticalPath returns the declared time of the longest chain of steps.
func CriticalPath(s *model.Submission) time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i, st := range s.Steps {
		begin := time.Duration(0)
		for _, a := range st.DependsOn {
			if a >= 0 && a < i {
				begin = max(begin, ends[a])
			}
		}
		ends[i] = begin + time.Duration(st.EstimatedRunMS)*time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}
