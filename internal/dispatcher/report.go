package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

func (e *reported) apply(d *Dispatcher, now time.Time) {
	defer close(e.done)
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	if e.err != nil {
		d.noReport(w, e, now)
		d.updatePlan(w)
		return
	}
	if !w.answers {
		d.Logger.Debug("worker answers", "worker", w.info.ID)
		d.planned = false
	}
	w.answers = true
	w.clock, w.clockAt, w.reportAt = e.report.Clock, e.answeredAt, e.answeredAt
	d.incarnation(w, e.report.Incarnation)
	if !w.settled {
		// No lease was asked for yet, but what runs there has one of a former leader.
		w.granted(e.answeredAt, d.LeaseDuration)
		w.settled = true
		d.planned = false
	}
	for _, st := range e.report.Running {
		d.running(w, st, now)
	}
	for _, end := range e.report.Ended {
		if end.Sequence > w.seen {
			w.seen = end.Sequence
			d.ended(w, end, now)
		}
	}
	d.vanished(w, e, now)
	if e.acked > w.acked {
		w.acked = e.acked
	}
	d.journal.urgent = d.journal.urgent || w.seen > w.durable
	d.updatePlan(w)
}

func (d *Dispatcher) noReport(w *worker, e *reported, now time.Time) {
	if w.answers {
		d.Logger.Warn("worker does not answer", "worker", w.info.ID, "runs", len(w.runs), "error", e.err)
		w.suspect(now, 1)
		d.planned = false
	}
	w.answers = false
	var refused *RefusedError
	if errors.As(e.err, &refused) && refused.Reason == RefusedStaleFence {
		d.depose("a worker has seen a higher fence", "worker", w.info.ID)
	}
}

// incarnation notices that the worker was restarted; its runs are gone and its ends count from 1 again.
func (d *Dispatcher) incarnation(w *worker, n int64) {
	if n == w.incarnation {
		return
	}
	if w.incarnation != 0 {
		d.Logger.Info("worker restarted", "worker", w.info.ID, "incarnation", n, "before", w.incarnation, "runs", len(w.runs))
		w.seen, w.durable, w.acked = 0, 0, 0
	}
	w.incarnation = n
}

// running notes the state of a run that a worker lists as running.
func (d *Dispatcher) running(w *worker, st model.RunProgress, now time.Time) {
	r := w.runs[st.Run]
	if r == nil {
		d.adopt(w, st, now)
		return
	}
	if r.state == runStarting {
		d.confirm(r, now)
		d.begun(r, now)
	}
	r.progressed(st.PercentDone, now)
}

// confirm notes that a run has started.
func (d *Dispatcher) confirm(r *run, now time.Time) {
	r.state = runRunning
	r.answeredAt, r.percentAt = now, now
}

// vanished removes runs that a worker neither runs nor lists as ended, though it had answered their order before.
func (d *Dispatcher) vanished(w *worker, e *reported, now time.Time) {
	if len(e.report.Ended) >= maxEnds {
		return // the list is cut off
	}
	here := make(map[model.RunRef]bool, len(e.report.Running)+len(e.report.Ended))
	for _, st := range e.report.Running {
		here[st.Run] = true
	}
	for _, end := range e.report.Ended {
		here[end.Run] = true
	}
	for id, r := range w.runs {
		if here[id] {
			continue
		}
		started := !r.answeredAt.IsZero() && r.answeredAt.Before(e.sentAt)
		stopped := !r.stoppedAt.IsZero() && r.stoppedAt.Before(e.sentAt)
		if started || stopped {
			d.Logger.Info("run is gone", "worker", w.info.ID, "task", id.Task.String(), "run", id.Number, "state", r.state)
			d.Metrics.Runs.Add("vanished", 1)
			d.remove(r, now)
		}
	}
}

// maxEnds is the most ends that a report holds.
const maxEnds = 500

// ended applies the end of a run.
func (d *Dispatcher) ended(w *worker, end model.RunEnd, now time.Time) {
	d.Metrics.Runs.Add(string(end.Kind), 1)
	r := w.runs[end.Run]
	j := d.jobs[end.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.find(end.Run.Task)
	}
	if r != nil {
		d.drop(r)
	}
	if t == nil {
		return
	}
	if t.active != nil && t.active != r {
		d.superseded(t, w, end, now)
		return
	}
	d.Logger.Debug("run ended", "job", j.sub.ID, "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"how", end.Kind, "number", end.Sequence)
	t.active = nil
	switch end.Kind {
	case model.EndDone:
		d.done(t, w, now)
	case model.EndFailed:
		d.failed(t, w, end, now)
	default:
		d.interrupted(t, end, now)
	}
	if j.state.IsFinal() {
		d.forget(j)
	}
	d.planned = false
}

// superseded applies the end of a run that was taken as lost, while a newer run of its task goes on: a result ends the
// task, and a failure counts as an attempt.
func (d *Dispatcher) superseded(t *task, w *worker, end model.RunEnd, now time.Time) {
	d.Logger.Warn("run ended that was taken as lost", "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"how", end.Kind, "newer", t.active.id.Number)
	switch {
	case t.step.spec.LongRunning || t.done:
	case end.Kind == model.EndFailed:
		d.failed(t, w, end, now)
	case end.Kind == model.EndDone && t.step.spec.Gang:
		d.done(t, w, now)
		d.stopStep(t.step, "a former run is done", now)
	case end.Kind == model.EndDone:
		d.done(t, w, now)
		d.stopRun(t.active, "a former run is done", now)
	}
}

// done marks a task done, and with it all members of its gang.
func (d *Dispatcher) done(t *task, w *worker, now time.Time) {
	w.prove(now)
	s, j := t.step, t.step.job
	if s.spec.LongRunning {
		t.notBefore = now.Add(attemptPause)
		d.journal.mark(j, true)
		return
	}
	if s.spec.Gang {
		for _, m := range s.tasks {
			m.markDone()
		}
	}
	t.markDone()
	d.journal.mark(j, true)
	if j.left() == 0 && !j.state.IsFinal() {
		d.finish(j, model.JobFinished, "", now)
	}
}

// failed counts a failed run against the attempts of the task, or of its gang.
func (d *Dispatcher) failed(t *task, w *worker, end model.RunEnd, now time.Time) {
	s, j := t.step, t.step.job
	d.blame(t, w, now)
	t.failedAt = now
	d.journal.mark(j, true)
	if t.done || j.state.IsFinal() {
		return
	}
	if s.spec.LongRunning {
		t.notBefore = now.Add(attemptPause) // it has no limit of attempts
		return
	}
	t.failed[end.Run.Number] = true
	s.failedRuns[end.Run.Number] = true
	s.shun(w)
	n := len(t.failed)
	if s.spec.Gang {
		n = len(s.failedRuns)
	}
	d.Logger.Info("run failed", "job", j.sub.ID, "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"failures", n, "most", j.sub.Queue.MaxAttempts)
	if j.sub.Queue.MaxAttempts > 0 && n >= j.sub.Queue.MaxAttempts {
		d.finish(j, model.JobFailed, "task "+end.Run.Task.String()+" has failed in every attempt", now)
	}
}

// interrupted puts a task back whose run ended without a result. Its record may wait: a leader that takes over before it is
// written resumes from an earlier checkpoint.
func (d *Dispatcher) interrupted(t *task, end model.RunEnd, now time.Time) {
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
		if t.step.spec.Gang {
			t.step.checkpoint = end.Checkpoint
		}
	}
	d.journal.mark(t.step.job, false)
}

// remove takes a run as gone without an end.
func (d *Dispatcher) remove(r *run, _ time.Time) {
	d.drop(r)
	if t := r.task; t != nil && t.active == r {
		t.active = nil
		d.forget(t.step.job)
	}
	d.planned = false
}

// drop gives the room of a run back.
func (d *Dispatcher) drop(r *run) {
	delete(r.worker.runs, r.id)
	d.updatePlan(r.worker)
	d.planned = false
}

// updatePlan tells the session of a worker what is needed of it.
func (d *Dispatcher) updatePlan(w *worker) {
	w.session.set(func(p *holdPlan) {
		p.needed = len(w.runs) > 0 || w.acked < w.seen
		p.settled = w.settled
		p.seen, p.durable = w.seen, w.durable
		p.clock, p.clockAt = w.clock, w.clockAt
		p.known = !w.clockAt.IsZero()
		p.answers = w.answers
	})
}
