package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// attemptPause is the pause before a task or gang is started again after a refused or unanswered order, and before a
	// long-running task is started again after any end.
	attemptPause = 200 * time.Millisecond
)

// startRun orders a worker to start a task.
func (d *Dispatcher) startRun(t *task, w *worker, n model.RunNumber, now time.Time) {
	r := &run{
		id: model.RunRef{Task: t.ref(), Number: n}, task: t, worker: w, need: t.step.spec.Need, state: runStarting,
		sentAt: now, percentAt: now, resumed: t.resumeFrom() != "",
	}
	t.active, t.last = r, w
	w.runs[r.id] = r
	o := StartRequest{
		Run: r.id, Payload: t.step.job.sub.Payload, Checkpoint: t.resumeFrom(), Fence: d.Term.Fence,
		LeaseUntil: w.leaseUntil(now, min(startLease, d.LeaseDuration)), Need: r.need,
	}
	if t.step.spec.Gang {
		o.GangSize = len(t.step.tasks)
	}
	w.granted(now, min(startLease, d.LeaseDuration))
	w.session.start(w.info, o)
	d.updatePlan(w)
	d.journal.mark(t.step.job, false)
	d.checkRoom(w, r)
	d.Metrics.Runs.Add("started", 1)
}

// checkRoom asserts that a worker holds no more than its capacity after a start.
func (d *Dispatcher) checkRoom(w *worker, r *run) {
	if room := w.physical(); !room.CanFit(model.Resources{}) {
		d.OnViolation(asserter.OverCommitted, "worker", w.info.ID, "task", r.id.Task.String(), "room", room, "capacity", w.info.Capacity)
	}
}

// number returns the number of the task's next run.
func (d *Dispatcher) number(attempt int) model.RunNumber {
	return model.RunNumber(int64(d.Term.Fence-1)*runsPerTerm + int64(attempt))
}

// stopRun orders a worker to stop a run; its room is free once the end is listed.
func (d *Dispatcher) stopRun(r *run, why string, now time.Time) {
	if r.state == runStopping || r.state == runDoubtful {
		return
	}
	r.state = runStopping
	r.why = why
	d.sendStop(r, 0)
	d.Metrics.Runs.Add("stop", 1)
	d.Logger.Debug("run is stopped", "task", r.id.Task.String(), "run", r.id.Number, "worker", r.worker.info.ID, "reason", why,
		"percent", r.percent)
}

func (d *Dispatcher) sendStop(r *run, pause time.Duration) {
	r.stopTries++
	r.worker.session.stop(r.worker.info, StopRequest{Run: r.id, Fence: d.Term.Fence}, pause)
}

// stopStep stops all runs of a step.
func (d *Dispatcher) stopStep(s *step, why string, now time.Time) {
	s.claim = nil
	for _, t := range s.tasks {
		if t.active != nil {
			d.stopRun(t.active, why, now)
		}
	}
}

func (e *started) apply(d *Dispatcher, now time.Time) {
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	r := w.runs[e.run]
	if e.err == nil {
		w.clock, w.clockAt, w.answers = e.reply.Clock, e.answeredAt, true
		if r != nil {
			if r.state == runStarting {
				d.confirm(r, now)
				d.begun(r, now)
			}
			r.answeredAt = e.answeredAt
		}
		d.updatePlan(w)
		return
	}
	if r == nil {
		return
	}
	var refused *RefusedError
	switch {
	case errors.As(e.err, &refused):
		d.refused(r, refused.Reason, now)
	case errors.Is(e.err, ErrNotSent):
		w.answers = false
		w.suspect(now, 1)
		d.Logger.Warn("worker can't be reached for a start", "worker", w.info.ID, "task", e.run.Task.String(), "run", e.run.Number)
		d.notStarted(r, now)
	default:
		d.doubtful(r, e.err, now)
	}
	d.updatePlan(w)
}

// refused handles a start that a worker refused and so never carries out.
func (d *Dispatcher) refused(r *run, reason Refusal, now time.Time) {
	d.Logger.Warn("start refused", "worker", r.worker.info.ID, "task", r.id.Task.String(), "run", r.id.Number, "reason", reason)
	d.Metrics.Refusals.Add(string(reason), 1)
	switch reason {
	case RefusedStaleFence:
		d.depose("a worker has seen a higher fence", "worker", r.worker.info.ID)
	case RefusedUnhealthy, RefusedInsufficientResources, RefusedInvalid:
		r.worker.suspect(now, 2)
	case RefusedWrongWorker:
		r.worker.listed = false
	}
	d.notStarted(r, now)
}

// notStarted puts a task back whose run never began, and with it the rest of its gang.
func (d *Dispatcher) notStarted(r *run, now time.Time) {
	t := r.task
	d.remove(r, now)
	if t == nil {
		return
	}
	t.notBefore = now.Add(attemptPause)
	if t.step.spec.Gang {
		t.step.notBefore = now.Add(attemptPause)
		d.stopStep(t.step, "another member was refused", now)
	}
}

// doubtful handles a start without an answer: the run is stopped, so that a late order finds it refused.
func (d *Dispatcher) doubtful(r *run, err error, now time.Time) {
	if r.state == runRunning {
		return // a report has shown it meanwhile
	}
	d.Logger.Warn("start got no answer", "worker", r.worker.info.ID, "task", r.id.Task.String(), "run", r.id.Number, "error", err)
	d.Metrics.Runs.Add("doubtful", 1)
	r.worker.suspect(now, 1)
	r.state = runDoubtful
	r.why = "start got no answer"
	d.sendStop(r, 0)
	if t := r.task; t != nil {
		t.step.shun(r.worker)
		if t.step.spec.Gang {
			d.stopStep(t.step, "another member got no answer", now)
		}
	}
}

func (e *stopped) apply(d *Dispatcher, now time.Time) {
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	r := w.runs[e.run]
	if r == nil {
		return
	}
	var refused *RefusedError
	switch {
	case e.err == nil:
		w.clock, w.clockAt, w.answers = e.reply.Clock, e.answeredAt, true
		r.stoppedAt = e.answeredAt
		d.updatePlan(w)
		w.session.set(func(p *holdPlan) { p.quick = r.answeredAt.IsZero() })
		return
	case errors.As(e.err, &refused) && refused.Reason == RefusedStaleFence:
		d.depose("a worker has seen a higher fence", "worker", w.info.ID)
		return
	}
	d.Logger.Warn("stop got no answer", "worker", w.info.ID, "task", e.run.Task.String(), "run", e.run.Number, "error", e.err)
	d.sendStop(r, stopRetry)
}

// begun notes the start of a run, and of its step once all tasks have started. The members of a gang wait for each other,
// so that none of them works before.
func (d *Dispatcher) begun(r *run, now time.Time) {
	if r.task == nil {
		return
	}
	s := r.task.step
	whole := s.whole()
	if whole || !s.spec.Gang {
		d.setRunning(s.job)
	}
	if !whole || !s.beganAt.IsZero() {
		return
	}
	s.beganAt = now
	d.Metrics.begun(s, now)
	d.Logger.Info("step began", "job", s.ref.Job, "occurrence", s.ref.Occurrence, "step", s.ref.Step, "tasks", len(s.tasks),
		"wait-ms", now.Sub(s.job.seenAt).Milliseconds())
}

// setRunning notes that a task of the job has started.
func (d *Dispatcher) setRunning(j *job) {
	if j.state == model.JobQueued {
		j.state = model.JobRunning
		d.journal.mark(j, false)
	}
}

// evacuate stops what can resume elsewhere, or can't end in time, on a worker that is leaving.
func (d *Dispatcher) evacuate(w *worker, now time.Time) {
	rest := time.Duration(w.info.MinRemainingMS) * time.Millisecond
	for _, r := range w.runs {
		if r.task == nil || r.state != runRunning || r.remaining(now) <= rest {
			continue
		}
		d.Logger.Info("run moves from a leaving worker", "worker", w.info.ID, "task", r.id.Task.String(), "run", r.id.Number,
			"percent", r.percent, "remaining-ms", rest.Milliseconds())
		if r.task.step.spec.Gang {
			d.stopStep(r.task.step, "worker leaves", now)
		} else {
			d.stopRun(r, "worker leaves", now)
		}
	}
}

// remaining estimates the time to the end of a run from its progress.
func (r *run) remaining(now time.Time) time.Duration {
	est := time.Duration(r.task.step.spec.EstimatedRunMS) * time.Millisecond
	ran := now.Sub(r.answeredAt)
	if r.percent > 5 && r.percent < 100 && !r.resumed {
		return time.Duration(float64(ran) * float64(100-r.percent) / float64(r.percent))
	}
	if r.percent > 0 {
		return est * time.Duration(100-r.percent) / 100
	}
	return max(est-ran, 0)
}
