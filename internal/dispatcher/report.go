package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/spreader"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func (e *reportEvent) apply(d *Dispatcher, now time.Time) {
	defer close(e.handled)
	d.observeReport(e, now)
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	if e.err != nil {
		d.handleReportFailure(w, e, now)
		d.updateSession(w)
		return
	}
	if !w.isResponding {
		d.Logger.Debug("worker responding", "worker", w.info.ID)
		d.scheduleUpToDate = false
	}
	w.isResponding = true
	w.recordResponse()
	w.reportGap = e.respondedAt.Sub(w.lastReportAt)
	w.clock, w.clockAt, w.lastReportAt = e.report.Clock, e.respondedAt, e.respondedAt
	if !e.sentAt.Before(w.restartListedAt) {
		w.restartListedAt = time.Time{}
	}
	restarted := d.updateIncarnation(w, e)
	w.confirmIncarnation(restarted, e.sentAt)
	if !w.hasReported || restarted {
		// A former leader may have renewed the worker lease, or this one with a time on the clock of the former process.
		w.recordStartLease(e.respondedAt, d.MaxLease)
	}
	if !w.hasReported {
		w.hasReported = true
		d.scheduleUpToDate = false
	}
	if restarted {
		d.pendingStarts.NoteTrouble(w.info.ID, now)
		d.attributeCrash(w.runsLostIn(e), w.startedAt, now)
		d.repeatStops(w)
	} else {
		d.acquitStarts(w, e.sentAt)
	}
	d.settlePossibleCrash(w, e, now)
	d.removeVanishedRuns(w, e, now) // before a listed run takes the place of one that the former process had
	for _, progress := range e.report.Running {
		d.updateRun(w, progress, now)
	}
	for _, end := range e.report.Ended {
		if end.Sequence > w.processedSeq {
			w.processedSeq = end.Sequence
			d.applyEnd(w, end, now)
		}
	}
	if !w.endsListed && len(e.report.Ended) < maxReportedEnds {
		w.endsListed = true
		d.scheduleUpToDate = false
	}
	d.removeArrivedStarts(w, &e.report)
	d.recordLateLeases(w)
	d.stopLateStarts(w)
	if e.ackedSeq > w.ackedSeq {
		w.ackedSeq = e.ackedSeq
	}
	d.journal.appendSoon = d.journal.appendSoon || w.processedSeq > w.durableSeq
	d.updateSession(w)
}

// observeReport records how long a report took beyond the time for which the worker may delay it.
func (d *Dispatcher) observeReport(e *reportEvent, now time.Time) {
	if took := e.respondedAt.Sub(e.sentAt) - e.maxWait; took > 0 {
		d.pacer.Observe(now, took, hasResponded(e.err))
	}
}

// handleReportFailure marks a worker as not responding after a failed lease renewal. It ends the term if the worker has seen a
// higher fencing token.
func (d *Dispatcher) handleReportFailure(w *worker, e *reportEvent, now time.Time) {
	if w.isResponding {
		d.Logger.Warn("worker not responding", "worker", w.info.ID, "runs", len(w.runs), "error", e.err)
		w.raiseSuspicion(now, 1)
		d.scheduleUpToDate = false
	}
	w.isResponding = false
	d.recordCallError(w, e.err, now)
	if isStaleFence(e.err) {
		d.endTerm("worker has seen a higher fencing token", "worker", w.info.ID)
	}
}

// runsLostIn returns the runs that a report does not list although they were started before it was requested, or were cut off while
// they started. A report may be requested before a run starts and sent after the run has crashed the worker.
func (w *worker) runsLostIn(e *reportEvent) []*run {
	listed := map[model.RunRef]bool{}
	for _, progress := range e.report.Running {
		listed[progress.Run] = true
	}
	for _, end := range e.report.Ended {
		listed[end.Run] = true
	}
	var out []*run
	for id, r := range w.runs {
		if !listed[id] && (r.startSentAt.Before(e.sentAt) || !r.startCutOffAt.IsZero()) {
			out = append(out, r)
		}
	}
	return out
}

// updateIncarnation detects a restart of the worker, which loses all its runs and restarts the sequence numbers of its run ends at
// 1. It reports whether the worker has restarted.
func (d *Dispatcher) updateIncarnation(w *worker, e *reportEvent) bool {
	n := e.report.Incarnation
	if n == w.incarnation {
		return false
	}
	known := w.incarnation != 0
	if known {
		d.Logger.Info("worker restarted", "worker", w.info.ID, "incarnation", n, "before", w.incarnation, "runs", len(w.runs))
		w.processedSeq, w.durableSeq, w.ackedSeq = 0, 0, 0
		d.dropPlans(w)
	}
	w.incarnation, w.incarnationAt, w.startedAt = n, e.respondedAt, e.processStartedAt()
	d.fleetDirty = d.fleetDirty || known
	if !w.isDescribed() && d.RefreshWorkers != nil {
		d.RefreshWorkers()
	}
	return known
}

// processStartedAt returns the latest time at which the process that has reported may have started. Its clock counts from its start.
func (e *reportEvent) processStartedAt() time.Time {
	return e.respondedAt.Add(-time.Duration(e.report.Clock) * time.Millisecond)
}

// updateRun updates a run that a worker reports as running, or adopts it if it is unknown.
func (d *Dispatcher) updateRun(w *worker, progress model.RunProgress, now time.Time) {
	r := w.runs[progress.Run]
	if r == nil {
		d.adoptRun(w, progress, now)
		return
	}
	if r.state == runStarting {
		d.markRunStarted(r, now)
		d.updateJobAfterStart(r, now)
	}
	r.listedAt = w.lastReportAt
	d.markRunBegun(r)
	r.recordProgress(progress.PercentDone, now)
}

// markRunStarted sets the state of a run to running. Its progress is expected from now on.
func (d *Dispatcher) markRunStarted(r *run, now time.Time) {
	r.state = runRunning
	r.startConfirmedAt, r.lastProgressAt = now, now
	if !r.fromCheckpoint {
		r.paceFrom = now
	}
	r.observeStart()
}

// markRunBegun notes that a run has begun, which a record that was written before does not tell.
func (d *Dispatcher) markRunBegun(r *run) {
	if !r.hasBegun {
		r.hasBegun = true
		d.recordEvidence(r.task)
	}
}

// removeVanishedRuns removes runs that a report lists neither as running nor as ended, although the worker had confirmed their
// start request or stop request before the report was requested.
func (d *Dispatcher) removeVanishedRuns(w *worker, e *reportEvent, now time.Time) {
	if len(e.report.Ended) >= maxReportedEnds {
		return // the list may be truncated
	}
	reported := make(map[model.RunRef]bool, len(e.report.Running)+len(e.report.Ended))
	for _, progress := range e.report.Running {
		reported[progress.Run] = true
	}
	for _, end := range e.report.Ended {
		reported[end.Run] = true
	}
	for id, r := range w.runs {
		if reported[id] {
			continue
		}
		started := !r.startConfirmedAt.IsZero() && r.startConfirmedAt.Before(e.sentAt)
		stopped := !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(e.sentAt)
		if started || stopped {
			d.logLostRun(r, "the worker no longer reports it", now)
			d.Metrics.Runs.Add("vanished", 1)
			d.removeRun(r, now)
		}
	}
}

// maxReportedEnds is the maximum number of run ends in a report.
const maxReportedEnds = 500

// applyEnd processes a run end that a worker reports for the first time.
func (d *Dispatcher) applyEnd(w *worker, end model.RunEnd, now time.Time) {
	d.Metrics.Runs.Add(string(end.Kind), 1)
	r := w.runs[end.Run]
	j := d.jobs[end.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.findTask(end.Run.Task)
	}
	if r != nil {
		if end.Kind == model.EndDone {
			d.observeDone(r, now)
		} else if r.state != runStopping {
			d.Metrics.recordLostWork(r, string(end.Kind), now)
		}
		if end.Kind == model.EndDone {
			d.observeEstimate(r, now)
		}
		d.releaseRun(r)
	}
	if t == nil {
		return
	}
	if t.activeRun != nil && t.activeRun != r {
		d.applySupersededEnd(t, w, end, now)
		return
	}
	d.Logger.Debug("run ended", "job", j.submission.ID, "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"how", end.Kind, "number", end.Sequence)
	t.activeRun = nil
	switch end.Kind {
	case model.EndDone:
		d.completeTask(t, w, now)
	case model.EndFailed:
		d.failTask(t, w, end, now)
	default:
		d.keepCheckpoint(t, end, now)
		if end.Kind == model.EndGangIncomplete {
			t.step.spread.Widen(end.Run.Number, spreader.Fullest(t.step.tasks, func(t *task) *worker { return t.lastWorker }))
		}
	}
	if j.state.IsFinal() {
		d.removeEndedJob(j)
	}
	d.scheduleUpToDate = false
}

// applySupersededEnd processes the end of a run that was considered lost while another run of its task is active. A success
// completes the task, and a failure counts as a failed attempt.
func (d *Dispatcher) applySupersededEnd(t *task, w *worker, end model.RunEnd, now time.Time) {
	d.Logger.Warn("superseded run ended", "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"how", end.Kind, "newer", t.activeRun.id.Number)
	switch {
	case t.step.spec.LongRunning || t.done:
	case end.Kind == model.EndFailed:
		d.failTask(t, w, end, now)
	case end.Kind == model.EndDone && t.step.spec.Gang:
		d.completeTask(t, w, now)
		d.stopStep(t.step, "superseded run completed", now)
	case end.Kind == model.EndDone:
		d.completeTask(t, w, now)
		d.stopRun(t.activeRun, "superseded run completed", now)
	}
}

// completeTask marks a task as done, along with all members of its gang, and ends the job after its last task. A long-running task
// is started again instead.
func (d *Dispatcher) completeTask(t *task, w *worker, now time.Time) {
	w.recordSuccess(now)
	s, j := t.step, t.step.job
	if s.spec.LongRunning {
		t.notBefore = now.Add(taskRetryDelay)
		d.journal.markDirty(j, true)
		return
	}
	if s.spec.Gang {
		for _, m := range s.tasks {
			m.markDone()
		}
	}
	t.markDone()
	d.journal.markDirty(j, true)
	if j.tasksLeft() == 0 && !j.state.IsFinal() {
		d.endJob(j, model.JobFinished, "", now)
	}
}

// failTask counts a failed run as a failed attempt of the task or its gang, and fails the job after the last attempt.
func (d *Dispatcher) failTask(t *task, w *worker, end model.RunEnd, now time.Time) {
	s, j := t.step, t.step.job
	d.attributeFailure(t, w, now)
	t.lastFailureAt = now
	d.journal.markDirty(j, true)
	if t.done || j.state.IsFinal() {
		return
	}
	if s.spec.LongRunning {
		t.notBefore = now.Add(taskRetryDelay) // long-running tasks have no limit on attempts
		return
	}
	t.failedRuns[end.Run.Number] = true
	s.failedRuns[end.Run.Number] = true
	s.exclusions.Exclude(w.info.ID, now)
	failures := len(t.failedRuns)
	if s.spec.Gang {
		failures = len(s.failedRuns)
	}
	d.Logger.Info("run failed", "job", j.submission.ID, "task", end.Run.Task.String(), "run", end.Run.Number, "worker", w.info.ID,
		"failures", failures, "most", j.submission.Queue.MaxAttempts)
	if j.submission.Queue.MaxAttempts > 0 && failures >= j.submission.Queue.MaxAttempts {
		d.endJob(j, model.JobFailed, "task "+end.Run.Task.String()+" has failed in every attempt", now)
	}
}

// keepCheckpoint stores the checkpoint of a run that ended without success or failure. The record need not be appended soon,
// because a leader that takes over before that resumes from an earlier checkpoint.
func (d *Dispatcher) keepCheckpoint(t *task, end model.RunEnd, now time.Time) {
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
		if t.step.spec.Gang {
			t.step.checkpoint = end.Checkpoint
		}
	}
	d.journal.markDirty(t.step.job, false)
}

// removeRun removes a run for which no run end was reported, so that its task can start again.
func (d *Dispatcher) removeRun(r *run, _ time.Time) {
	d.releaseRun(r)
	if t := r.task; t != nil && t.activeRun == r {
		t.activeRun = nil
		d.keepLateStart(t, r.worker.info.ID, r.id)
		d.recordEvidence(t)
		d.removeEndedJob(t.step.job)
	}
	d.scheduleUpToDate = false
}

// releaseRun removes a run from its worker, which frees the resources of the run.
func (d *Dispatcher) releaseRun(r *run) {
	delete(r.worker.runs, r.id)
	d.updateSession(r.worker)
	d.scheduleUpToDate = false
}

// updateSession copies the state of a worker that its session needs.
func (d *Dispatcher) updateSession(w *worker) {
	w.session.updateRenewalState(func(state *renewalState) {
		state.hasWork = len(w.runs) > 0 || w.ackedSeq < w.processedSeq || len(d.pendingStarts.Of(w.info.ID)) > 0
		state.hasReported = w.hasReported
		state.processedSeq, state.durableSeq, state.incarnation = w.processedSeq, w.durableSeq, w.incarnation
		state.clock, state.clockAt = w.clock, w.clockAt
		state.clockKnown = !w.clockAt.IsZero() && w.restartListedAt.IsZero()
		state.restartListed = !w.restartListedAt.IsZero()
		state.isResponding = w.isResponding
		state.callTimeout = d.pacer.Timeout()
	})
}
