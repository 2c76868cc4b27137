package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// taskRetryDelay is the time before a task or gang is started again after its start request was refused or could not be sent,
	// and before a long-running task is started again after its run has succeeded or failed.
	taskRetryDelay = 200 * time.Millisecond
)

// startRun starts run n of a task: it assigns the run to the worker and sends the start request.
func (d *Dispatcher) startRun(t *task, w *worker, n model.RunNumber, now time.Time) {
	r := &run{
		id: model.RunRef{Task: t.ref(), Number: n}, task: t, worker: w, need: t.step.spec.Need, state: runStarting,
		incarnation: w.incarnation, startSentAt: now, workerSeenAt: w.clockAt, lastProgressAt: now, fromCheckpoint: t.resumeCheckpoint() != "",
	}
	t.activeRun, t.lastWorker, t.asks = r, w, 0
	w.runs[r.id] = r
	lease := min(maxStartLease, d.grantableLease(w, now))
	req := StartRequest{
		Run: r.id, Payload: t.step.job.submission.Payload, Checkpoint: t.resumeCheckpoint(), Fence: d.Term.Fence,
		LeaseUntil: w.leaseUntil(now, lease), Need: r.need,
	}
	if t.step.spec.Gang {
		req.GangSize = len(t.step.tasks)
	}
	w.recordStart(now)
	w.recordStartLease(now, lease)
	d.addPendingStart(w.info.ID, w.incarnation, r.id, now.Add(lease))
	d.pacer.Spend(now, startBytes(t.step.job))
	r.ticket = w.session.sendStart(w.info, req, now.Add(lease), d.pacer.Timeout())
	d.updateSession(w)
	d.journal.markDirty(t.step.job, false)
	d.assertCapacity(w, r)
	d.Metrics.Runs.Add("started", 1)
}

// grantableLease returns the longest lease that a start request to the worker may grant now.
func (d *Dispatcher) grantableLease(w *worker, now time.Time) time.Duration {
	return d.leaseLimit.Cut(d.LeaseDuration, clockDrift(now.Sub(w.clockAt)), now)
}

// assertCapacity reports a violation if the runs of a worker need more than its capacity after run r was added.
func (d *Dispatcher) assertCapacity(w *worker, r *run) {
	if unoccupied := w.unoccupiedResources(); !unoccupied.CanFit(model.Resources{}) {
		d.OnViolation(asserter.OverCommitted, "worker", w.info.ID, "task", r.id.Task.String(), "room", unoccupied, "capacity", w.info.Capacity)
	}
}

// runNumber returns the run number of an attempt in this term. Attempts are counted from 1.
func (d *Dispatcher) runNumber(attempt int) model.RunNumber {
	return model.RunNumber(int64(d.Term.Fence-1)*maxRunsPerTerm + int64(attempt))
}

// stopRun requests a worker to stop a run, unless the run is already being stopped. The resources of the run stay in use until
// the run is known to have ended.
func (d *Dispatcher) stopRun(r *run, reason string, now time.Time) {
	if r.state == runStopping || r.state == runUnconfirmed {
		return
	}
	r.observe(now)
	r.state = runStopping
	r.stopReason = reason
	if !r.ticket.Withdraw() {
		d.sendStop(r, 0)
	}
	d.Metrics.Runs.Add("stop", 1)
	d.Metrics.Stops.Add(reason, 1)
	d.Metrics.recordLostWork(r, reason, now)
	d.Logger.Debug("stopping run", "task", r.id.Task.String(), "run", r.id.Number, "worker", r.worker.info.ID, "reason", reason,
		"percent", r.percentDone)
}

// sendStop sends the stop request of a run after a delay.
func (d *Dispatcher) sendStop(r *run, delay time.Duration) {
	d.requestStop(r.worker, r.id, &r.stops, delay)
}

// stopStep stops all active runs of a step and drops its reservation.
func (d *Dispatcher) stopStep(s *step, reason string, now time.Time) {
	s.reservation = nil
	for _, t := range s.tasks {
		if t.activeRun != nil {
			d.stopRun(t.activeRun, reason, now)
		}
	}
}

// withdrawalRemedy returns what an operator can do about start requests that are not sent, or nothing if they need not.
func withdrawalRemedy(err error) string {
	if errors.Is(err, errNoMemory) {
		return "find jobs with payloads of more than 16 KiB and workers that respond late, or raise the memory of the hosts"
	}
	return ""
}

func (e *startEvent) apply(d *Dispatcher, now time.Time) {
	d.settlePendingStart(e)
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	r := w.runs[e.run]
	if errors.Is(e.err, errWithdrawn) {
		if r != nil {
			level := hclog.Warn
			if r.state == runStopping {
				level = hclog.Debug // nobody waits for it
			}
			d.Logger.Log(level, "start request withdrawn", "worker", w.info.ID, "task", e.run.Task.String(), "run", e.run.Number, "remedy", withdrawalRemedy(e.err))
			d.requeueUnstarted(r, now)
		}
		return
	}
	d.pacer.Observe(now, e.respondedAt.Sub(e.sentAt), hasResponded(e.err))
	w.recordStart(e.sentAt)
	if e.err == nil {
		w.recordAnswer(e.response, e.sentAt, e.respondedAt)
		if r != nil {
			if r.state == runStarting {
				d.markRunStarted(r, now)
				d.updateJobAfterStart(r, now)
			}
			r.startConfirmedAt = e.respondedAt
			d.markRunBegun(r)
		}
		d.updateSession(w)
		return
	}
	d.recordCallError(w, e.err, now)
	if r == nil {
		return
	}
	var refused *RefusedError
	switch {
	case errors.As(e.err, &refused):
		d.handleRefusal(r, refused.Reason, now)
	case errors.Is(e.err, ErrNotSent):
		w.isResponding = false
		w.raiseSuspicion(now, 1)
		d.Logger.Warn("worker unreachable, start request not sent", "worker", w.info.ID, "task", e.run.Task.String(), "run", e.run.Number)
		d.requeueUnstarted(r, now)
	default:
		d.handleUnconfirmedStart(r, e, now)
	}
	d.updateSession(w)
}

// handleRefusal handles a start request that the worker has refused.
func (d *Dispatcher) handleRefusal(r *run, reason Refusal, now time.Time) {
	d.Logger.Warn("start request refused", "worker", r.worker.info.ID, "task", r.id.Task.String(), "run", r.id.Number, "reason", reason)
	d.Metrics.Refusals.Add(string(reason), 1)
	switch reason {
	case RefusedStaleFence:
		d.endTerm("worker has seen a higher fencing token", "worker", r.worker.info.ID)
	case RefusedUnhealthy, RefusedInsufficientResources, RefusedInvalid:
		r.worker.raiseSuspicion(now, 2)
	case RefusedWrongWorker:
		r.worker.listed = false
	}
	d.requeueUnstarted(r, now)
}

// requeueUnstarted removes a run that has not started, so that its task can start again after taskRetryDelay. It stops the other
// members of a gang.
func (d *Dispatcher) requeueUnstarted(r *run, now time.Time) {
	t := r.task
	d.removeRun(r, now)
	if t == nil {
		return
	}
	t.notBefore = now.Add(taskRetryDelay)
	if t.step.spec.Gang {
		t.step.notBefore = now.Add(taskRetryDelay)
		d.stopStep(t.step, "start of another gang member failed", now)
	}
}

// handleUnconfirmedStart stops a run whose start request got no response. Once the worker has received the stop request, it
// refuses the start request, which may still arrive.
func (d *Dispatcher) handleUnconfirmedStart(r *run, e *startEvent, now time.Time) {
	if r.state == runRunning {
		return // a report has confirmed the start
	}
	d.Logger.Warn("no response to start request", "worker", r.worker.info.ID, "task", r.id.Task.String(), "run", r.id.Number, "error", e.err)
	d.Metrics.Runs.Add("doubtful", 1)
	r.worker.raiseSuspicion(now, 1)
	hasRestarted := r.worker.incarnation != r.incarnation
	if isConnectionClosed(e.err) && (hasRestarted || !e.respondedAt.Before(r.worker.confirmedAt)) {
		r.startCutOffAt = e.respondedAt
	}
	d.recordEvidence(r.task)
	if hasRestarted {
		d.attributeCrash([]*run{r}, r.worker.startedAt, now) // a report has shown the restart already
	}
	r.state = runUnconfirmed
	r.stopReason = "no response to start request"
	d.Metrics.Stops.Add(r.stopReason, 1)
	d.sendStop(r, 0)
	if t := r.task; t != nil {
		t.step.exclusions.Exclude(r.worker.info.ID, now)
		if t.step.spec.Gang {
			d.stopStep(t.step, "no response to start request of another gang member", now)
		}
	}
}

func (e *stopEvent) apply(d *Dispatcher, now time.Time) {
	d.pacer.Observe(now, e.respondedAt.Sub(e.sentAt), hasResponded(e.err))
	w := d.workers[e.worker]
	if w == nil {
		return
	}
	r := w.runs[e.run]
	if r == nil {
		d.settleLateStop(w, e, now)
		return
	}
	switch {
	case e.err == nil && e.sentAt.Before(w.incarnationAt) && r.startConfirmedAt.IsZero():
		if r.stops.IsNewest(e.number) {
			d.sendStop(r, 0) // the process that has confirmed it may have ended
		}
		return
	case e.err == nil:
		w.recordAnswer(e.response, e.sentAt, e.respondedAt)
		r.stopConfirmedAt = e.respondedAt
		d.pendingStarts.ConfirmStop(w.info.ID, r.id, w.incarnation)
		d.updateSession(w)
		if r.startConfirmedAt.IsZero() {
			w.session.askNow()
		}
		return
	case isStaleFence(e.err):
		d.endTerm("worker has seen a higher fencing token", "worker", w.info.ID)
		return
	}
	d.recordCallError(w, e.err, now)
	if r.stops.IsNewest(e.number) {
		d.Logger.Warn("stop request failed, retrying", "worker", w.info.ID, "task", e.run.Task.String(), "run", e.run.Number, "error", e.err)
		d.sendStop(r, r.stops.NextDelay())
	}
}

// updateJobAfterStart updates the state of the job after a run has started, and records the start of the step once all its tasks
// have started. The members of a gang wait for each other, so a gang changes the job to running only when all have started.
func (d *Dispatcher) updateJobAfterStart(r *run, now time.Time) {
	if r.task == nil {
		return
	}
	s := r.task.step
	allStarted := s.allStarted()
	if allStarted || !s.spec.Gang {
		d.markJobRunning(s.job)
	}
	if !allStarted || !s.allStartedAt.IsZero() {
		return
	}
	s.allStartedAt = now
	d.Metrics.recordStart(s, now)
	d.Logger.Info("step started", "job", s.ref.Job, "occurrence", s.ref.Occurrence, "step", s.ref.Step, "tasks", len(s.tasks),
		"wait-ms", now.Sub(s.job.seenAt).Milliseconds())
}

// markJobRunning changes the state of a queued job to running.
func (d *Dispatcher) markJobRunning(j *job) {
	if j.state == model.JobQueued {
		j.state = model.JobRunning
		d.journal.markDirty(j, false)
	}
}

// stopRunsOnDrainingWorker stops the runs on a draining worker that are not expected to end before the worker stops.
func (d *Dispatcher) stopRunsOnDrainingWorker(w *worker, now time.Time) {
	timeLeft := time.Duration(w.info.MinRemainingMS) * time.Millisecond
	for _, r := range w.runs {
		if r.task == nil || r.state != runRunning || r.estimateRemaining(now) <= timeLeft {
			continue
		}
		d.Logger.Info("moving run off draining worker", "worker", w.info.ID, "task", r.id.Task.String(), "run", r.id.Number,
			"percent", r.percentDone, "remaining-ms", timeLeft.Milliseconds())
		if r.task.step.spec.Gang {
			d.stopStep(r.task.step, "worker draining", now)
		} else {
			d.stopRun(r, "worker draining", now)
		}
	}
}
