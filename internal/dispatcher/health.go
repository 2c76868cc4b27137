package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxConsecutiveFailures is the number of failures without a success in between after which a worker is quarantined.
	maxConsecutiveFailures = 2
	// minQuarantine and maxQuarantine limit the time for which a failing worker gets no tasks. The time doubles with each
	// quarantine until a task succeeds on the worker.
	minQuarantine = 3 * time.Second
	maxQuarantine = 24 * time.Second
	// knownHealthyTime is the time for which a worker counts as healthy after a success or after progress of a run.
	knownHealthyTime = 4 * time.Second
	// healthyWorkerWait is the time for which a task that has failed waits for a worker known to be healthy. After that, it may
	// start on any worker that is not suspected.
	healthyWorkerWait = 3 * time.Second
	// maxReportAge is the maximum age of a worker's last report for detecting stalled runs; an older one may miss progress.
	maxReportAge = 2500 * time.Millisecond
	// slownessWeight is the weight of the newest observation in the moving average of a worker's slowness.
	slownessWeight = 0.4
	// minPaceProgress is the minimum increase in the progress of a run, in percent, from which the pace of its worker is computed.
	minPaceProgress = 8
)

// health tracks the failures, progress and speed of a worker.
type health struct {
	suspicion           int           // grows with each sign of a fault, decays with time; 0 to maxSuspicion
	suspicionDecayAt    time.Time     // time of the next decay
	consecutiveFailures int           // number of first failures of tasks and of stalled runs since the last success
	quarantinedUntil    time.Time     // the worker gets no tasks before this time
	quarantineTime      time.Duration // duration of the last quarantine
	lastProgressAt      time.Time     // time of the last success, or of progress while consecutiveFailures was 0
	lastSuccessAt       time.Time     // time of the last success
	slowness            float64       // moving average of the time per unit of work, relative to the fastest worker of the step; 0 means unknown or run times are learned
}

const (
	// maxSuspicion is the maximum suspicion of a worker. It limits how long a worker is avoided after many signs of a fault.
	maxSuspicion = 3
	// suspicionDecayTime is the time without a new sign of a fault after which the suspicion drops by one.
	suspicionDecayTime = 4 * time.Second
)

// raiseSuspicion records a sign of a fault with weight n.
func (h *health) raiseSuspicion(now time.Time, n int) {
	h.suspicion = min(h.suspicion+n, maxSuspicion)
	h.suspicionDecayAt = now.Add(suspicionDecayTime)
}

// decaySuspicion lowers the suspicion by one if there were no new signs of a fault for suspicionDecayTime.
func (h *health) decaySuspicion(now time.Time) {
	if h.suspicion > 0 && now.After(h.suspicionDecayAt) {
		h.suspicion--
		h.suspicionDecayAt = now.Add(suspicionDecayTime)
	}
}

// recordFailure counts a failure against the worker, and reports whether the worker is quarantined for it.
func (h *health) recordFailure(now time.Time) bool {
	h.raiseSuspicion(now, 1)
	h.consecutiveFailures++
	if h.consecutiveFailures < maxConsecutiveFailures {
		return false
	}
	h.consecutiveFailures = maxConsecutiveFailures - 1 // after the quarantine, one more failure is enough for the next one
	h.quarantineTime = min(max(2*h.quarantineTime, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineTime)
	return true
}

// retractFailure undoes recordFailure, after the same task has failed on another worker, too.
func (h *health) retractFailure() {
	h.consecutiveFailures = max(0, h.consecutiveFailures-1)
	h.suspicion = max(0, h.suspicion-1)
}

// recordSuccess records the success of a task and clears the signs of a fault.
func (h *health) recordSuccess(now time.Time) {
	h.suspicion, h.consecutiveFailures, h.quarantineTime = 0, 0, 0
	h.quarantinedUntil = time.Time{}
	h.lastProgressAt, h.lastSuccessAt = now, now
}

// isKnownHealthy reports whether the worker has made progress within knownHealthyTime and has had no failure since its last
// success.
func (h *health) isKnownHealthy(now time.Time) bool {
	return h.consecutiveFailures == 0 && now.Sub(h.lastProgressAt) < knownHealthyTime
}

// attributeFailure counts the first failure of a task against the worker. If the task fails again on another worker, the task is
// considered faulty, and the failure is retracted from the first worker.
func (d *Dispatcher) attributeFailure(t *task, w *worker, now time.Time) {
	if t.failedOn == nil {
		t.failedOn = map[model.HostID]bool{}
	}
	if len(t.failedOn) == 0 {
		if w.recordFailure(now) {
			d.Logger.Warn("failing worker quarantined", "worker", w.info.ID, "for-ms", w.quarantineTime.Milliseconds())
		}
	}
	for id := range t.failedOn {
		if other := d.workers[id]; other != nil && id != w.info.ID {
			other.retractFailure()
		}
	}
	t.failedOn[w.info.ID] = true
}

// recordProgress updates the progress of a run, and the pace and health of its worker.
func (r *run) recordProgress(percent int, now time.Time) {
	if percent <= r.percentDone {
		return
	}
	if t := r.task; t != nil && t.step.job.runTimes == nil && !t.step.spec.Gang && percent-r.percentDone >= minPaceProgress {
		t.step.recordPace(r.worker, now.Sub(r.lastProgressAt).Seconds()/float64(percent-r.percentDone))
	}
	if r.paceFrom.IsZero() {
		r.paceFrom, r.paceFromPercent = now, percent
	}
	r.percentDone, r.lastProgressAt = percent, now
	if r.worker.consecutiveFailures == 0 {
		r.worker.lastProgressAt = now
	}
}

// recordPace updates the slowness of a worker with its pace in seconds per percent of progress, relative to the best pace in the
// step.
func (s *step) recordPace(w *worker, pace float64) {
	if s.bestPace == 0 || pace < s.bestPace {
		s.bestPace = pace
	}
	relative := pace / s.bestPace
	if w.slowness == 0 {
		w.slowness = relative
		return
	}
	w.slowness += slownessWeight * (relative - w.slowness)
}

// stopStalledRuns stops the runs of a worker that have made no progress for stallTimeout, provided that its last report is not
// older than maxReportAge. Members of a gang wait for each other, so the whole gang is stopped.
func (d *Dispatcher) stopStalledRuns(w *worker, now time.Time) {
	if now.Sub(w.lastReportAt) > maxReportAge {
		return
	}
	for _, r := range w.runs {
		if !r.isStalled(now) {
			continue
		}
		s := r.task.step
		d.Logger.Warn("run makes no progress", "job", s.ref.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", w.info.ID,
			"percent", r.percentDone, "for-ms", now.Sub(r.lastProgressAt).Milliseconds())
		d.Metrics.Runs.Add("stuck", 1)
		if !s.spec.Gang {
			w.recordFailure(now)
			d.stopRun(r, "no progress", now)
			continue
		}
		d.suspectStalledGang(s, now)
		d.stopStep(s, "no progress", now)
	}
}

// suspectStalledGang raises the suspicion of the gang's workers that are not known to be healthy, and excludes them from the step for a
// time.
func (d *Dispatcher) suspectStalledGang(s *step, now time.Time) {
	for _, t := range s.tasks {
		if t.activeRun != nil && !t.activeRun.worker.isKnownHealthy(now) {
			t.activeRun.worker.raiseSuspicion(now, 1)
			s.exclusions.Exclude(t.activeRun.worker.info.ID, now)
		}
	}
}
