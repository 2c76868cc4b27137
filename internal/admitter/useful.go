package admitter

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// UsefulUntil returns the time until which a job that arrived at a time can be accepted and still end before its result is
// worthless, after the work ahead of it. It is zero if the job has no target or the load is not known.
func UsefulUntil(load journaler.Load, s *model.Submission, arrivedAt time.Time) time.Time {
	target := TargetDuration(s)
	if target <= 0 || load.Capacity == 0 {
		return time.Time{}
	}
	return arrivedAt.Add(maxLatenessFactor*target - CriticalPath(s) - estimateWait(load, s.Queue.Priority))
}
