package admitter

import (
	"math"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Decision is the result of the admission control of a job.
type Decision struct {
	Accepted bool
	// Wait is the estimated time until the workers have finished the work ahead of the job.
	Wait time.Duration
	// RetryAfter is the time after which a refused job may return, see retryAfter; 0 if the job was accepted.
	RetryAfter time.Duration
	// Reason says why the job was refused; empty if it was accepted.
	Reason string
}

const (
	// MaxLatenessFactor is the multiple of its target duration after which the result of a job is worthless to its caller.
	MaxLatenessFactor = 3
	// minRetryAfter and maxRetryAfter bound the earliest return of a refused job. With a lower maximum, callers would return while the work
	// ahead still takes minutes, and each such refusal costs them one of a few retries.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
	// evacuatedRetryAfter is RetryAfter while all workers are evacuated. How long that lasts is unknown; a caller that is told to come back
	// in some seconds still has retries left when capacity is back.
	evacuatedRetryAfter = 5 * time.Second
	// unfitRetryAfter is RetryAfter of a job that no worker can hold. Only larger workers, or more, would change that.
	unfitRetryAfter = 30 * time.Second
	// maxDuration limits target durations and critical paths, so that sums of a few of them fit into a time.Duration.
	maxDuration   = 10 * 365 * 24 * time.Hour
	maxDurationMS = model.Millis(maxDuration / time.Millisecond)
)

// Decide accepts a job if it is expected to finish, after the work ahead of it, before its result is worthless. It accepts every
// job while the capacity is 0, which is the case until the leader has published a load, but none while all workers are evacuated, and none
// that no worker has ever been able to hold.
func Decide(load journaler.Load, s *model.Submission) Decision {
	if load.AllEvacuated {
		return Decision{RetryAfter: evacuatedRetryAfter, Reason: "all failure domains are evacuated"}
	}
	if slices.Contains(load.Fleet.CanEnd(s.Queue.Service, s.Steps), false) {
		return Decision{RetryAfter: unfitRetryAfter, Reason: "no worker can hold the job"}
	}
	wait := estimateWait(load, s.Workspace, s.Queue.Priority)
	path := expectedPath(load, s)
	target := TargetFor(s, path)
	maxWait := MaxLatenessFactor*target - path
	if wait <= maxWait || load.Capacity == 0 {
		return Decision{Accepted: true, Wait: wait}
	}
	return Decision{Wait: wait, RetryAfter: retryAfter(s.ID, wait, maxWait, target-path), Reason: "the work ahead of the job takes too long"}
}

// estimateWait returns the time that all workers together need for the accepted work that is not done and goes before a new job: what is
// more urgent and, of the same priority, all work or what the workspace waits for within its share, whichever is less.
func estimateWait(load journaler.Load, ws model.WorkspaceID, p model.Priority) time.Duration {
	if load.Capacity <= 0 {
		return 0
	}
	total := 0.0
	for i, work := range load.Backlog {
		switch {
		case i < int(p):
			total += work
		case i == int(p):
			total += min(work, sharedWork(load, ws, i))
		}
	}
	return time.Duration(min(total/float64(load.Capacity)*float64(time.Second), float64(maxDuration)))
}

// sharedWork returns the work of a priority for which a workspace waits within its share; infinity if that was not published.
func sharedWork(load journaler.Load, ws model.WorkspaceID, p int) float64 {
	work, listed := load.Shared[ws]
	if !listed {
		work = load.SharedOthers
	}
	if p >= len(work) {
		return math.Inf(1)
	}
	return work[p]
}

// expectedPath returns the critical path of a job by the caller's estimates, or by the run times that the leader has learned where these are
// longer. Since the backlog counts the learned run times, a job with too short an estimate would not be given the time that it takes.
func expectedPath(load journaler.Load, s *model.Submission) time.Duration {
	learned, ok := load.RunTimes[s.Queue.ID]
	return LongestChain(s.Steps, func(i int) time.Duration {
		estimate := estimatedRunTime(&s.Steps[i])
		if !ok && estimate == 0 {
			return learnedRunTime(load.RunTimes[""])
		}
		if learned.Factor > 0 && estimate > 0 {
			return time.Duration(min(float64(estimate)*max(learned.Factor, 1), float64(maxDuration)))
		}
		return max(estimate, learnedRunTime(learned))
	})
}

func learnedRunTime(l journaler.LearnedRunTime) time.Duration {
	return time.Duration(min(max(l.MS, 0), maxDurationMS)) * time.Millisecond
}

// TargetDuration returns the time from the arrival of a job within which it is to end, at most 10 years. It follows from the caller's
// estimates only, since it is promised to the caller.
func TargetDuration(s *model.Submission) time.Duration { return TargetFor(s, CriticalPath(s)) }

// TargetFor returns the target duration of a job whose critical path takes the given time, at most 10 years.
func TargetFor(s *model.Submission, path time.Duration) time.Duration {
	d := float64(path)*s.Queue.TargetStretch + float64(s.Queue.TargetOffsetMS)*float64(time.Millisecond)
	return time.Duration(min(max(d, 0), float64(maxDuration)))
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps, at most 10 years.
func CriticalPath(s *model.Submission) time.Duration {
	return LongestChain(s.Steps, func(i int) time.Duration { return estimatedRunTime(&s.Steps[i]) })
}

// estimatedRunTime returns the caller's estimate of the run time of a task.
func estimatedRunTime(s *model.Step) time.Duration {
	return time.Duration(min(max(s.EstimatedRunMS, 0), maxDurationMS)) * time.Millisecond
}

// LongestChain returns the run time of the longest chain of dependent steps, at most 10 years, where runTime returns that of a task of
// step i.
func LongestChain(steps []model.Step, runTime func(i int) time.Duration) time.Duration {
	finishTimes := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, st := range steps {
		start := time.Duration(0)
		for _, dependency := range st.DependsOn {
			if dependency >= 0 && dependency < i {
				start = max(start, finishTimes[dependency])
			}
		}
		finishTimes[i] = min(start+min(max(runTime(i), 0), maxDuration), maxDuration)
		longest = max(longest, finishTimes[i])
	}
	return longest
}
