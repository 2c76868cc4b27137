package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/estimator"
	"chestnutmux.example/chestnutmux/internal/fitter"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// stallTimeout is the time without progress after which a run counts as stalled. Reports arrive at least every 2 s.
	stallTimeout = 2800 * time.Millisecond
	// stallFactor is the time without progress after which a long run counts as stalled, as a multiple of the time that it is expected
	// to take for each percent. The run may wait for its gang, or be on a worker that is slow for a while.
	stallFactor = 4
	// maxStallTimeout limits how long a stalled run keeps its resources, whatever its caller or other runs say.
	maxStallTimeout = 10 * time.Minute
	// stallQuantile is the share of the runs that may take less than what is assumed of a run without progress.
	stallQuantile = 0.99
	// minPacePercent is the progress in percent from which the pace of a run counts alone, and below it in proportion. Progress is
	// reported in whole percents.
	minPacePercent = 5
	// maxCallerEstimate limits the estimates of callers, so that sums and multiples of a few fit into a time.Duration.
	maxCallerEstimate = 10 * 365 * 24 * time.Hour
)

// forecast returns what is expected of the tasks of the step. It is looked up once for each update of the estimator.
func (s *step) forecast() estimator.Forecast {
	e := &s.job.runTimes.estimator
	if s.runTimes.Scope == "" || s.runTimesVersion != e.Version() {
		s.runTimes, s.runTimesVersion = e.Forecast(s.runTimesKey(), s.callerEstimate()), e.Version()
	}
	return s.runTimes
}

// runTimesKey returns what the tasks of the step have in common with others.
func (s *step) runTimesKey() estimator.Key {
	sub := s.job.submission
	return estimator.Key{Workspace: sub.Workspace, Queue: sub.Queue.ID, Step: s.ref.Step, Need: s.spec.Need, Gang: s.spec.Gang}
}

// callerEstimate returns the caller's estimate of the run time of a task; 0 means none.
func (s *step) callerEstimate() time.Duration {
	return time.Duration(min(max(s.spec.EstimatedRunMS, 0), model.Millis(maxCallerEstimate/time.Millisecond))) * time.Millisecond
}

// usesForecast reports whether learned run times apply to the step.
func (s *step) usesForecast() bool { return s.job.runTimes != nil && !s.spec.LongRunning }

// expectedSeconds returns the expected run time of a task of the step.
func (s *step) expectedSeconds() float64 {
	if s.usesForecast() {
		return s.forecast().Total(0).Seconds()
	}
	return s.callerEstimate().Seconds()
}

// estimateRemaining estimates the time until the run ends, from its progress and the expected run time of its step.
func (r *run) estimateRemaining(now time.Time) time.Duration {
	if r.task.step.usesForecast() {
		return r.forecastRemaining(now)
	}
	estimate := r.task.step.callerEstimate()
	elapsed := now.Sub(r.startConfirmedAt)
	if r.percentDone > 5 && r.percentDone < 100 && !r.fromCheckpoint {
		return time.Duration(float64(elapsed) * float64(100-r.percentDone) / float64(r.percentDone))
	}
	if r.percentDone > 0 {
		return estimate / 100 * time.Duration(100-r.percentDone)
	}
	return max(estimate-elapsed, 0)
}

// forecastRemaining returns the expected time until the run ends, by its own pace as far as that is known, and otherwise by the run times
// of other runs.
func (r *run) forecastRemaining(now time.Time) time.Duration {
	pace, percents := r.pace()
	byPace := pace*time.Duration(100-r.percentDone) - min(now.Sub(r.lastProgressAt), maxReportAge)
	if percents >= minPacePercent {
		return max(byPace, 0)
	}
	f, slowness := r.task.step.forecast(), r.slowness()
	if r.percentDone == 0 {
		return f.Remaining(now.Sub(r.startConfirmedAt), slowness)
	}
	byRuns := time.Duration(float64(f.Total(0)) * slowness * float64(100-r.percentDone) / 100)
	return max(byRuns+(byPace-byRuns)*time.Duration(percents)/minPacePercent, 0)
}

// pace returns the time that the run has taken for each percent of its progress, and the number of percents that it has made since its
// start or, for a run that has not begun at 0 under this leader, since its first report. It returns 0 before the first percent.
func (r *run) pace() (pace time.Duration, percents int) {
	if r.paceFrom.IsZero() || r.percentDone <= r.paceFromPercent {
		return 0, 0
	}
	percents = r.percentDone - r.paceFromPercent
	return r.lastProgressAt.Sub(r.paceFrom) / time.Duration(percents), percents
}

// slowness returns the run times on the worker of the run as a multiple of the usual ones. That of a gang depends on all its workers.
func (r *run) slowness() float64 {
	if r.task.step.spec.Gang {
		return 1
	}
	return r.task.step.job.runTimes.estimator.Slowness(r.worker.info.ID)
}

// slowness returns how slow the placer takes a worker to be: by what is known across steps, or by the pace of runs within a step if run
// times are not learned.
func (d *Dispatcher) slowness(w *worker) float64 {
	if d.LearnRunTimes {
		return d.runTimes.estimator.Slowness(w.info.ID)
	}
	return w.slowness
}

// speedPreference returns how the speed of workers counts for the tasks of the step. Tasks that last have no length to compare.
func (d *Dispatcher) speedPreference(s *step) placer.SpeedPreference {
	if !d.LearnRunTimes {
		return placer.SpeedUnknown
	}
	if !s.usesForecast() {
		return placer.SpeedAny
	}
	q := s.job.submission.Queue
	return d.runTimes.usualWork[q.Service].Preference(q.Priority == 0, s.expectedSeconds())
}

// observeUsualWork counts a task of the step that starts.
func (d *Dispatcher) observeUsualWork(s *step) {
	if !d.LearnRunTimes || !s.usesForecast() {
		return
	}
	service := s.job.submission.Queue.Service
	usual := d.runTimes.usualWork[service]
	if usual == nil {
		if d.runTimes.usualWork == nil {
			d.runTimes.usualWork = map[model.ServiceID]*placer.UsualWork{}
		}
		usual = &placer.UsualWork{}
		d.runTimes.usualWork[service] = usual
	}
	usual.Observe(s.expectedSeconds(), d.speedPreference(s))
}

// isStalled reports whether the run makes no progress.
func (r *run) isStalled(now time.Time) bool {
	if r.state != runRunning || r.task == nil || r.percentDone >= 100 || r.task.step.spec.LongRunning {
		return false
	}
	idle := now.Sub(r.lastProgressAt)
	return idle >= stallTimeout && (!r.task.step.usesForecast() || idle >= r.longRunStallTimeout())
}

// longRunStallTimeout returns the time without progress after which the run counts as stalled if that is more than stallTimeout. A run of
// an hour takes 36 s for each percent.
func (r *run) longRunStallTimeout() time.Duration {
	perPercent, percents := r.pace()
	if percents == 0 {
		perPercent = time.Duration(float64(r.task.step.forecast().Quantile(stallQuantile, 0))*r.slowness()) / 100
	}
	return min(stallFactor*perPercent, maxStallTimeout)
}

// remainingWork estimates the work that the job still needs and that the fleet can do, from the expected run times of its tasks and its
// progress. Steps that can't run would keep other jobs out for ever.
func (j *job) remainingWork(fleet fitter.Fleet, now time.Time) resourceSeconds {
	var sum resourceSeconds
	canEnd := fleet.CanEnd(j.submission.Queue.Service, j.submission.Steps)
	for _, s := range j.steps {
		if s.tasksLeft == 0 || !canEnd[s.ref.Step] {
			continue
		}
		perTask := s.expectedSeconds()
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.activeRun != nil && t.activeRun.state == runRunning && t.activeRun.worker.evacuated:
			case t.activeRun != nil && t.activeRun.state == runRunning:
				sum = sum.add(s.spec.Need, t.activeRun.estimateRemaining(now).Seconds())
			default:
				sum = sum.add(s.spec.Need, perTask)
			}
		}
	}
	return sum
}

// slack returns the difference between the target duration of the job and the estimated run time of its critical path. Both follow from the
// caller's estimates, to which the target duration is promised.
func (j *job) slack() time.Duration {
	return j.targetDuration - j.estimatedPath
}

// due returns the time by which the job, or its occurrence, is to end; zero unless the leader learns run times. Work of the same rank starts
// in this order, so that short jobs end in time that arrive behind long ones whose targets are far off. No job is passed over for longer
// than the difference of the target durations. Without this order, short jobs miss their targets where run times in one rank are mixed.
func (s *step) due() time.Time {
	if s.job.runTimes == nil {
		return time.Time{}
	}
	return latest(s.job.seenAt, s.dueAt).Add(s.job.expectedTarget())
}

// expectedTarget returns the target duration by the caller's estimates, or by learned run times where these are longer, as in admission. So
// too short an estimate does not put a job ahead of others of its kind for good.
func (j *job) expectedTarget() time.Duration {
	if v := j.runTimes.estimator.Version(); j.learnedTarget == 0 || j.learnedTargetVersion != v {
		path := j.longestChain(func(s *step) time.Duration {
			return max(s.callerEstimate(), time.Duration(s.expectedSeconds()*float64(time.Second)))
		})
		j.learnedTarget, j.learnedTargetVersion = admitter.TargetFor(j.submission, path), v
	}
	return j.learnedTarget
}

// criticalPath returns the expected run time of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
	return j.longestChain(func(s *step) time.Duration {
		return time.Duration(s.expectedSeconds() * float64(time.Second))
	})
}

// remainingPath returns the expected run time of the longest chain of dependent steps that are not done, without the time that their tasks
// wait.
func (j *job) remainingPath(now time.Time) time.Duration {
	return j.longestChain(func(s *step) time.Duration {
		return s.remainingTime(now, time.Duration(s.expectedSeconds()*float64(time.Second)))
	})
}

// longestChain returns the longest chain of dependent steps of the last occurrence of the job.
func (j *job) longestChain(runTime func(*step) time.Duration) time.Duration {
	first := len(j.steps) - len(j.submission.Steps)
	return admitter.LongestChain(j.submission.Steps, func(i int) time.Duration { return runTime(j.steps[first+i]) })
}
