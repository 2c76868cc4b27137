package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures of different tasks after which a worker is quarantined.
	maxConsecutiveFailures = 2
	// minQuarantine and maxQuarantine bound the time for which a failing worker gets no tasks. It doubles with each relapse.
	minQuarantine = 3 * time.Second
	maxQuarantine = 24 * time.Second
	// knownHealthyTime is how long a worker counts as healthy after a success or after progress of a run.
	knownHealthyTime = 4 * time.Second
	// healthyWorkerWait is how long a task that has failed waits for a worker known to be healthy before it accepts any other.
	healthyWorkerWait = 3 * time.Second
	// stallTimeout is how long a run may go without progress before it counts as stalled. Reports come at least every 2 s.
	stallTimeout = 2800 * time.Millisecond
	// maxReportAge is the age up to which the last report is used to detect stalled runs.
	maxReportAge = 2500 * time.Millisecond
	// slownessWeight is the weight of the newest observation in the moving average of a worker's slowness.
	slownessWeight = 0.4
	// minPaceProgress is the least progress, in percent, from which the pace of a worker is computed.
	minPaceProgress = 8
)

// health tracks the failures, progress and speed of a worker.
type health struct {
	suspicion           int           // grows with signs of a fault, decays with time
	suspicionDecayAt    time.Time     // time of the next decay
	consecutiveFailures int           // failures since the last success, of tasks that had not failed elsewhere
	quarantinedUntil    time.Time     // the worker gets no tasks before this time
	quarantineTime      time.Duration // duration of the last quarantine
	lastProgressAt      time.Time     // time of the last success or progress
	lastSuccessAt       time.Time     // time of the last success
	slowness            float64       // time per unit of work relative to the fastest worker of the same step; 0 means unknown
}

const (
	// maxSuspicion bounds how long a worker is avoided after many signs of a fault.
	maxSuspicion = 3
	// suspicionDecayTime is the time without new signs of a fault after which the suspicion drops by one.
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

// recordFailure records the failure of a task that had not failed elsewhere, and reports whether the worker is now quarantined.
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

// retractFailure undoes one recorded failure after the same task has failed on another worker, too.
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

// isKnownHealthy reports whether the worker has made progress within knownHealthyTime and has no failures on record.
func (h *health) isKnownHealthy(now time.Time) bool {
	return h.consecutiveFailures == 0 && now.Sub(h.lastProgressAt) < knownHealthyTime
}

// attributeFailure counts the first failure of a task against the worker. If the task fails again elsewhere, the task is at
// fault, and the failure counted against the other worker is taken back.
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

// recordProgress updates a run with the progress that its worker reports.
func (r *run) recordProgress(percent int, now time.Time) {
	if percent <= r.percent {
		return
	}
	if t := r.task; t != nil && !t.step.spec.Gang && percent-r.percent >= minPaceProgress {
		t.step.recordPace(r.worker, now.Sub(r.lastProgressAt).Seconds()/float64(percent-r.percent))
	}
	r.percent, r.lastProgressAt = percent, now
	if r.worker.consecutiveFailures == 0 {
		r.worker.lastProgressAt = now
	}
}

// recordPace updates the slowness of a worker from its pace, in seconds per percent, relative to the best pace of the step.
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

// stopStalledRuns stops the runs of a worker that have made no progress for stallTimeout, if its last report is recent enough.
func (d *Dispatcher) stopStalledRuns(w *worker, now time.Time) {
	if now.Sub(w.lastReportAt) > maxReportAge {
		return
	}
	for _, r := range w.runs {
		if r.state != runRunning || r.task == nil || r.percent >= 100 || r.task.step.spec.LongRunning || now.Sub(r.lastProgressAt) < stallTimeout {
			continue
		}
		s := r.task.step
		d.Logger.Warn("run makes no progress", "job", s.ref.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", w.info.ID,
			"percent", r.percent, "for-ms", now.Sub(r.lastProgressAt).Milliseconds())
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

// suspectStalledGang raises the suspicion of the gang's workers that are not known to be healthy.
func (d *Dispatcher) suspectStalledGang(s *step, now time.Time) {
	for _, t := range s.tasks {
		if t.activeRun != nil && !t.activeRun.worker.isKnownHealthy(now) {
			t.activeRun.worker.raiseSuspicion(now, 1)
			s.excludeWorker(t.activeRun.worker)
		}
	}
}

// excludeWorker keeps all further runs of the step off a worker.
func (s *step) excludeWorker(w *worker) {
	if s.excluded == nil {
		s.excluded = map[model.HostID]bool{}
	}
	s.excluded[w.info.ID] = true
}
