package scheduler

import (
	"fmt"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The default bounds of waiting jobs. One caller may fill at most a share of
// its workspace's bound, so that it cannot shut the others out.
const (
	defaultMaxWaiting = 10000
	callerShare       = 4 // a caller gets half of what is left of the bound, at least 1/callerShare of all
)

// drainHalfLife is the half-life of the count behind the drain rate.
const drainHalfLife = 5 * time.Minute

// The bounds of retry-after.
const (
	minRetry = time.Second
	maxRetry = 5 * time.Minute
)

// Admit returns a *model.Error when the job must be refused, else nil.
func (s *Scheduler) Admit(spec *model.JobSpec, now time.Time) error {
	if !s.planned {
		return notRun(model.KindNotReady, "no configuration with this failure domain is in force yet", "repeat the request", minRetry)
	}
	ws, ok := s.set.Workspaces[spec.Workspace]
	if !ok {
		return notRun(model.KindNotFound, fmt.Sprintf("workspace %q does not exist", spec.Workspace), "name a published workspace", 0)
	}
	class, ok := s.set.Classes[spec.Class]
	if !ok {
		return notRun(model.KindNotFound, fmt.Sprintf("class %q does not exist", spec.Class), "name a published class", 0)
	}
	sh := spec.Shape
	if sh.Workers < 1 || sh.Accelerators < 0 || sh.Cores < 0 || sh.MemoryMB < 0 {
		return notRun(model.KindInvalid, "the shape has no workers or a negative amount", "ask for at least 1 worker and no negative amounts", 0)
	}
	if why := s.impossible(spec); why != "" {
		return notRun(model.KindNeverRunnable, why, "ask for a smaller shape or have the inventory or quota raised", 0)
	}
	if j := s.jobs[spec.ID]; j != nil && spec.ID != "" {
		return nil
	}
	total := maxWaiting(ws.MaxWaiting)
	a := s.workspace(spec.Workspace)
	if n := a.waiting; n >= total {
		return s.overloaded("workspace", string(spec.Workspace), n, n-total+1, a, now)
	}
	limit := maxWaiting(class.MaxWaiting)
	if n := s.classWaiting[classKey{spec.Workspace, spec.Class}]; n >= limit {
		return s.overloaded("class", string(spec.Class), n, n-limit+1, a, now)
	}
	n := 0
	if c := s.callers[callerKey{spec.Workspace, spec.Caller}]; c != nil {
		n = c.waiting
	}
	if limit := max((total-a.waiting+n)/2, total/callerShare, 1); n >= limit {
		return s.overloaded("caller", string(spec.Caller), n, n-limit+1, a, now)
	}
	return nil
}

func maxWaiting(n int) int {
	if n <= 0 {
		return defaultMaxWaiting
	}
	return n
}

func notRun(k model.ErrorKind, message, remedy string, retry time.Duration) *model.Error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: k, Message: message, Remedy: remedy, RetryAfterMS: model.Millis(retry.Milliseconds())}
}

// overloaded computes the time until excess jobs have left the queue at the observed rate.
func (s *Scheduler) overloaded(what, name string, waiting, excess int, a *account, now time.Time) *model.Error {
	retry := maxRetry
	if r := a.drainPerSecond(now); r > 0 {
		retry = min(max(time.Duration(min(float64(excess)/r, maxRetry.Seconds())*float64(time.Second)), minRetry), maxRetry)
	}
	return notRun(model.KindOverloaded, fmt.Sprintf("%d jobs of %s %q wait, the bound is reached", waiting, what, name), "submit again after retry-after-ms", retry)
}

// impossible tells why a job can never run under the configuration, or returns "".
func (s *Scheduler) impossible(spec *model.JobSpec) string {
	ws, ok := s.set.Workspaces[spec.Workspace]
	if !ok {
		return fmt.Sprintf("workspace %q does not exist", spec.Workspace)
	}
	sh := spec.Shape
	if sh.Workers < 1 {
		return "the shape has no workers"
	}
	if t := sh.Total(); t > ws.Quota {
		return fmt.Sprintf("it needs %d accelerators, the quota of workspace %q is %d", t, spec.Workspace, ws.Quota)
	}
	fits, widest := 0, 0
	for r, n := range s.racks {
		if r.Accelerators >= sh.Accelerators && r.Cores >= sh.Cores && r.MemoryMB >= sh.MemoryMB {
			fits += n * r.Workers
			widest = max(widest, r.Workers)
		}
	}
	switch {
	case fits < sh.Workers:
		return fmt.Sprintf("it needs %d workers with %d accelerators, %d cores and %d MB each, failure domain %q declares %d",
			sh.Workers, sh.Accelerators, sh.Cores, sh.MemoryMB, s.domain, fits)
	case sh.Span == model.SpanRack && widest < sh.Workers:
		return fmt.Sprintf("it needs %d such workers in one rack, the widest rack of failure domain %q has %d", sh.Workers, s.domain, widest)
	}
	return ""
}

// quotaLeft returns the accelerators that a workspace may still use.
func (s *Scheduler) quotaLeft(w model.WorkspaceID) model.Accelerators {
	return s.set.Workspaces[w].Quota - s.used[w] - s.elsewhere[w]
}
