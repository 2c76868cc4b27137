package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxStrikes is the number of failures of different tasks in a row, without a success, that close a worker.
	maxStrikes = 2
	// minClosed and maxClosed bound how long a failing worker gets no tasks; the time doubles with each relapse.
	minClosed = 3 * time.Second
	maxClosed = 24 * time.Second
	// provenFor is how long a success or progress counts as a sign that a worker is sound.
	provenFor = 4 * time.Second
	// carefulFor is how long a task that has failed waits for a proven worker before any other one will do.
	carefulFor = 3 * time.Second
	// stallTime is how long a run may make no progress before it is taken as stuck; reports come at least every 2 s.
	stallTime = 2800 * time.Millisecond
	// freshReport is the age up to which a report tells whether a run makes progress.
	freshReport = 2500 * time.Millisecond
	// paceWeight is the weight of the newest observation in a worker's slowness.
	paceWeight = 0.4
	// minPaceSteps is the progress in percent from which a run tells how fast its worker is.
	minPaceSteps = 8
)

// health is what the leader has learned of a worker from what it does with its tasks.
type health struct {
	doubt       int // signs of trouble; fades with time
	doubtUntil  time.Time
	strikes     int           // failures in a row of tasks that had not failed elsewhere
	closedUntil time.Time     // gets no tasks before
	closedFor   time.Duration // of the last closing
	provenAt    time.Time     // of the last success or progress
	doneAt      time.Time     // of the last success
	slowness    float64       // time per work relative to the fastest worker of the same steps; 0 means not known
}

const (
	// maxDoubt bounds how long a worker is avoided after many signs.
	maxDoubt = 3
	// doubtTime is how long one sign counts.
	doubtTime = 4 * time.Second
)

// suspect notes a sign that the worker is faulty.
func (h *health) suspect(now time.Time, n int) {
	h.doubt = min(h.doubt+n, maxDoubt)
	h.doubtUntil = now.Add(doubtTime)
}

// forgive lowers the doubt after a while without new signs.
func (h *health) forgive(now time.Time) {
	if h.doubt > 0 && now.After(h.doubtUntil) {
		h.doubt--
		h.doubtUntil = now.Add(doubtTime)
	}
}

// strike notes the failure of a task that had not failed elsewhere, and reports whether the worker gets closed.
func (h *health) strike(now time.Time) bool {
	h.suspect(now, 1)
	h.strikes++
	if h.strikes < maxStrikes {
		return false
	}
	h.strikes = maxStrikes - 1 // after the pause, one more failure closes the worker again
	h.closedFor = min(max(2*h.closedFor, minClosed), maxClosed)
	h.closedUntil = now.Add(h.closedFor)
	return true
}

// absolve takes back a strike after the task has failed elsewhere, too.
func (h *health) absolve() {
	h.strikes = max(0, h.strikes-1)
	h.doubt = max(0, h.doubt-1)
}

// prove notes a success.
func (h *health) prove(now time.Time) {
	h.doubt, h.strikes, h.closedFor = 0, 0, 0
	h.closedUntil = time.Time{}
	h.provenAt, h.doneAt = now, now
}

// proven reports whether the worker has lately shown that it is sound.
func (h *health) proven(now time.Time) bool {
	return h.strikes == 0 && now.Sub(h.provenAt) < provenFor
}

// blame decides whether a failed run speaks against its worker or against its task.
func (d *Dispatcher) blame(t *task, w *worker, now time.Time) {
	if t.failedOn == nil {
		t.failedOn = map[model.HostID]bool{}
	}
	if len(t.failedOn) == 0 {
		if w.strike(now) {
			d.Logger.Warn("failing worker closed", "worker", w.info.ID, "for-ms", w.closedFor.Milliseconds())
		}
	}
	for id := range t.failedOn {
		if other := d.workers[id]; other != nil && id != w.info.ID {
			other.absolve()
		}
	}
	t.failedOn[w.info.ID] = true
}

// progressed notes the progress of a run that its worker reports.
func (r *run) progressed(percent int, now time.Time) {
	if percent <= r.percent {
		return
	}
	if t := r.task; t != nil && !t.step.spec.Gang && percent-r.percent >= minPaceSteps {
		t.step.observePace(r.worker, now.Sub(r.percentAt).Seconds()/float64(percent-r.percent))
	}
	r.percent, r.percentAt = percent, now
	if r.worker.strikes == 0 {
		r.worker.provenAt = now
	}
}

// observePace compares the pace of a worker, in seconds a percent, with the fastest one of the step.
func (s *step) observePace(w *worker, pace float64) {
	if s.bestPace == 0 || pace < s.bestPace {
		s.bestPace = pace
	}
	x := pace / s.bestPace
	if w.slowness == 0 {
		w.slowness = x
		return
	}
	w.slowness += paceWeight * (x - w.slowness)
}

// unstick stops runs that make no progress though their worker answers.
func (d *Dispatcher) unstick(w *worker, now time.Time) {
	if now.Sub(w.reportAt) > freshReport {
		return
	}
	for _, r := range w.runs {
		if r.state != runRunning || r.task == nil || r.percent >= 100 || r.task.step.spec.LongRunning || now.Sub(r.percentAt) < stallTime {
			continue
		}
		s := r.task.step
		d.Logger.Warn("run makes no progress", "job", s.ref.Job, "task", r.id.Task.String(), "run", r.id.Number, "worker", w.info.ID,
			"percent", r.percent, "for-ms", now.Sub(r.percentAt).Milliseconds())
		d.Metrics.Runs.Add("stuck", 1)
		if !s.spec.Gang {
			w.strike(now)
			d.stopRun(r, "no progress", now)
			continue
		}
		d.blameStalledGang(s, now)
		d.stopStep(s, "no progress", now)
	}
}

// blameStalledGang suspects the members' workers that show no progress anywhere.
func (d *Dispatcher) blameStalledGang(s *step, now time.Time) {
	for _, t := range s.tasks {
		if t.active != nil && !t.active.worker.proven(now) {
			t.active.worker.suspect(now, 1)
			s.shun(t.active.worker)
		}
	}
}

// shun keeps the tasks of a step off a worker.
func (s *step) shun(w *worker) {
	if s.avoid == nil {
		s.avoid = map[model.HostID]bool{}
	}
	s.avoid[w.info.ID] = true
}
