package dispatcher

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/internal/retrier"
	"chestnutmux.example/chestnutmux/internal/starttracker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// lateStartReason is the reason for which runs are stopped beside a start request that may arrive late.
const lateStartReason = "an earlier start request may be carried out late"

// lateStop is the stop request of stopLateStarts for a start request without a response.
type lateStop struct {
	worker      *worker // worker whose session sends it; nil if there is none
	incarnation int64   // incarnation of the process that it is meant for
	requests    retrier.Requests
}

// pendingStart is a start request without a response.
type pendingStart = starttracker.Start[lateStop]

// addPendingStart adds a start request to a worker that is sent at the given time or before.
func (d *Dispatcher) addPendingStart(id model.HostID, incarnation int64, ref model.RunRef, sentBy time.Time) {
	d.pendingStarts.Add(&pendingStart{Worker: id, Run: ref, Incarnation: incarnation, ArrivesBy: sentBy.Add(leaselimiter.MaxConnectTime + starttracker.MaxDelay)})
}

// settlePendingStart removes a start request that has got a response or was not sent.
func (d *Dispatcher) settlePendingStart(e *startEvent) {
	if hasResponded(e.err) || errors.IsAny(e.err, ErrNotSent, errWithdrawn) {
		d.pendingStarts.Remove(e.worker, e.run)
	}
}

// removeArrivedStarts removes the start requests whose runs a report shows, and those of former leaders, which the worker refuses.
func (d *Dispatcher) removeArrivedStarts(w *worker, report *Report) {
	if len(d.pendingStarts.Of(w.info.ID)) == 0 {
		return
	}
	d.pendingStarts.ConfirmFence(w.info.ID)
	for _, progress := range report.Running {
		d.pendingStarts.Remove(w.info.ID, progress.Run)
	}
	for _, end := range report.Ended {
		d.pendingStarts.Remove(w.info.ID, end.Run)
	}
}

// removeOldStarts removes the start requests that can no longer arrive.
func (d *Dispatcher) removeOldStarts(now time.Time) {
	for _, id := range d.pendingStarts.RemoveOld(now) {
		if w := d.workers[id]; w != nil {
			d.updateSession(w)
		}
	}
}

// recordLateLeases notes the leases that late start requests may grant to a process that has restarted, whether it carries them out or refuses
// them. A time on the clock of the former process grants the longest lease. A request that is refused for its fencing token grants none.
func (d *Dispatcher) recordLateLeases(w *worker) {
	for _, s := range d.pendingStarts.Of(w.info.ID) {
		if w.incarnation != s.Incarnation && s.Run.Number != starttracker.FormerRun {
			w.startLeaseEndsAt = latest(w.startLeaseEndsAt, leaseEnd(s.ArrivesBy, d.MaxLease))
		}
	}
}

// stopLateStarts sends a process that has restarted the stop requests of start requests which may still arrive, although their runs were
// removed. The stop requests of other runs are sent for as long as they have runs.
func (d *Dispatcher) stopLateStarts(w *worker) {
	for ref, s := range d.pendingStarts.Of(w.info.ID) {
		isStopping := s.State.worker == w && s.State.incarnation == w.incarnation
		if w.runs[ref] != nil || w.incarnation == s.Incarnation || w.incarnation == s.StoppedIn || isStopping || ref.Number == starttracker.FormerRun {
			continue
		}
		d.Logger.Info("stopping run whose start request may arrive late", "worker", w.info.ID, "task", ref.Task.String(), "run", ref.Number,
			"incarnation", w.incarnation, "sent-to", s.Incarnation)
		d.Metrics.Runs.Add("stopped-unseen", 1)
		s.State.worker, s.State.incarnation = w, w.incarnation
		s.State.requests.Reset()
		d.requestStop(w, ref, &s.State.requests, 0)
	}
}

// settleLateStop notes the outcome of a stop request whose run was removed, or never had a run in this process. It is repeated until the
// present process has confirmed it.
func (d *Dispatcher) settleLateStop(w *worker, e *stopEvent, now time.Time) {
	s := d.pendingStarts.Get(e.worker, e.run)
	if s == nil {
		return
	}
	switch {
	case e.err == nil && !e.sentAt.Before(w.incarnationAt):
		d.pendingStarts.ConfirmStop(w.info.ID, e.run, w.incarnation)
		s.State.worker = nil
		w.recordAnswer(e.response, e.sentAt, e.respondedAt)
		d.updateSession(w)
		w.session.askNow() // the run may have begun before
	case s.State.worker != w || !s.State.requests.IsNewest(e.number):
	case e.err == nil:
		d.requestStop(w, e.run, &s.State.requests, 0) // the process that has confirmed it may have ended
	case isStaleFence(e.err):
		d.endTerm("worker has seen a higher fencing token", "worker", w.info.ID)
	default:
		d.recordCallError(w, e.err, now)
		d.requestStop(w, e.run, &s.State.requests, s.State.requests.NextDelay())
	}
}

// isHeld reports whether a task waits because the next process of a worker may carry out an earlier start request of it.
func (d *Dispatcher) isHeld(t *task, now time.Time) bool {
	return len(t.lateStarts) > 0 && d.pendingStarts.IsHeld(t.ref(), "", now)
}

// noteProcessEnd notes that the process of a worker has ended. Runs of tasks whose start requests the next process may carry out are
// stopped elsewhere, because such a request may arrive before any call of this leader.
func (d *Dispatcher) noteProcessEnd(w *worker, now time.Time) {
	starts := d.pendingStarts.Of(w.info.ID)
	if len(starts) == 0 {
		return
	}
	d.pendingStarts.NoteTrouble(w.info.ID, now)
	for ref := range starts {
		j := d.jobs[ref.Task.Job]
		if j == nil {
			continue
		}
		t := j.findTask(ref.Task)
		if t == nil || t.done || t.activeRun == nil || t.activeRun.worker == w {
			continue
		}
		d.stopHeld(t, now)
	}
}

// stopHeld stops the run of a task, or its gang, beside which the next process of another worker may carry out an earlier start request.
func (d *Dispatcher) stopHeld(t *task, now time.Time) {
	r := t.activeRun
	d.Logger.Warn("stopping run, an earlier start request may be carried out late", "task", r.id.Task.String(), "worker", r.worker.info.ID, "run", r.id.Number)
	if t.step.spec.Gang {
		d.stopStep(t.step, lateStartReason, now)
		return
	}
	d.stopRun(r, lateStartReason, now)
}

// keepLateStart notes that the start request of a run which was removed may still arrive.
func (d *Dispatcher) keepLateStart(t *task, id model.HostID, ref model.RunRef) {
	t.lateStarts = slices.DeleteFunc(t.lateStarts, func(s *pendingStart) bool { return !s.IsPending() })
	if s := d.pendingStarts.Get(id, ref); s != nil {
		t.lateStarts = append(t.lateStarts, s)
	}
}

// keepFormerStart notes that a start request of a former leader may still arrive, for a task that its worker has not been seen to run.
func (d *Dispatcher) keepFormerStart(t *task, id model.HostID) {
	ref := model.RunRef{Task: t.ref(), Number: starttracker.FormerRun}
	d.addPendingStart(id, 0, ref, d.ElectedAt)
	d.keepLateStart(t, id, ref)
}

// keepFormerStarts notes the start requests of former leaders that the log lists as pending.
func (d *Dispatcher) keepFormerStarts(j *job, steps map[string]journaler.StepProgress) {
	for _, s := range j.steps {
		for id, tasks := range steps[journaler.StepKey(s.ref.Occurrence, s.ref.Step)].LateStarts {
			for _, n := range tasks {
				if n >= 0 && n < len(s.tasks) && !s.tasks[n].done {
					d.keepFormerStart(s.tasks[n], id)
				}
			}
		}
	}
}
