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
	// RetryAfter is the time after which a refused job would be accepted if no other work arrived, limited to the range
	// from minRetryAfter to maxRetryAfter; 0 if the job was accepted.
	RetryAfter time.Duration
	// Reason says why the job was refused; empty if it was accepted.
	Reason string
}

const (
	// MaxLatenessFactor is the multiple of its target duration after which the result of a job is worthless to its caller.
	MaxLatenessFactor = 3
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
	// evacuatedRetryAfter is RetryAfter while all workers are evacuated. How long that lasts is unknown; a caller that is told to come back
	// in some seconds still has retries left when capacity is back.
	evacuatedRetryAfter = 5 * time.Second
	// maxDuration limits target durations and critical paths, so that sums of a few of them fit into a time.Duration.
	maxDuration = 10 * 365 * 24 * time.Hour
)

// Decide accepts a job if it is expected to finish, after the work ahead of it, before its result is worthless. It accepts every
// job while the capacity is 0, which is the case until the leader has published a load, but none while all workers are evacuated.
func Decide(load journaler.Load, s *model.Submission) Decision {
	if load.AllEvacuated {
		return Decision{RetryAfter: evacuatedRetryAfter, Reason: "all failure domains are evacuated"}
	}
	wait := estimateWait(load, s.Queue.Priority)
	maxWait := MaxLatenessFactor*TargetDuration(s) - CriticalPath(s)
	if wait <= maxWait || load.Capacity == 0 {
		return Decision{Accepted: true, Wait: wait}
	}
	return Decision{Wait: wait, RetryAfter: min(max(wait-maxWait, minRetryAfter), maxRetryAfter), Reason: "the work ahead of the job takes too long"}
}

// estimateWait returns the time that all workers together need for the accepted work of the same or a more urgent priority
// that is not done.
func estimateWait(load journaler.Load, p model.Priority) time.Duration {
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

// TargetDuration returns the time from the arrival of a job within which it is to end, at most 10 years.
func TargetDuration(s *model.Submission) time.Duration {
	d := float64(CriticalPath(s))*s.Queue.TargetStretch + float64(s.Queue.TargetOffsetMS)*float64(time.Millisecond)
	return time.Duration(min(max(d, 0), float64(maxDuration)))
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps, at most 10 years.
func CriticalPath(s *model.Submission) time.Duration {
	finishTimes := make([]time.Duration, len(s.Steps))
	longest := time.Duration(0)
	for i, st := range s.Steps {
		start := time.Duration(0)
		for _, dependency := range st.DependsOn {
			if dependency >= 0 && dependency < i {
				start = max(start, finishTimes[dependency])
			}
		}
		run := min(max(st.EstimatedRunMS, 0), model.Millis(maxDuration/time.Millisecond))
		finishTimes[i] = min(start+time.Duration(run)*time.Millisecond, maxDuration)
		longest = max(longest, finishTimes[i])
	}
	return longest
}
