package dispatcher

import (
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its job fails. The platform allows to give up after
	// two; the third rules out a coincidence.
	maxCrashes = 3
	// provenTime is how long a run works before a crash of its worker is attributed to newer runs there, if there are any.
	provenTime = 1500 * time.Millisecond
	// isolationWait is how long a task under which a worker has crashed waits for a worker without other runs.
	isolationWait = 2 * time.Second
	// maxDownTime is the longest time from the crash of a worker to the start of its next process. A process that starts later may have
	// replaced one that lived on behind a cut of the network.
	maxDownTime = 4 * time.Second
	// freshTime is the maximum age of a response of a worker that shows it was not cut off when a start request was sent.
	freshTime = time.Second
	// askTime is how long a task that may crash its worker waits for a report of it, and how long its start request may wait to be sent.
	askTime = 100 * time.Millisecond
	// maxAsks is how often a task waits for such a report before a start, so that it soon starts beside room for it.
	maxAsks = 5
)

// recordCallError notes whether a failed call suggests that the process of a worker has ended: its connection was closed or refused,
// or another worker uses its address. Only the last of these is a proof, since a network may close and refuse connections, too.
func (w *worker) recordCallError(err error) {
	w.lastError = err
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		w.isReplaced = refused.Reason == RefusedWrongWorker
		w.hasCrashed = w.isReplaced
	case isConnectionClosed(err):
		w.hasCrashed = true
	}
}

// isConnectionClosed reports whether a call failed because the connection was closed or refused, as it is when a process ends.
func isConnectionClosed(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE)
}

// recordCallError notes a failed call to a worker. A refused connection shows that its process has ended.
func (d *Dispatcher) recordCallError(w *worker, err error, now time.Time) {
	w.recordCallError(err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.noteProcessEnd(w, now)
	}
}

// recordResponse notes that a worker has responded, so that it has not crashed.
func (w *worker) recordResponse() { w.lastError, w.hasCrashed, w.isReplaced = nil, false, false }

// attributeCrash counts the crash of a worker against the tasks that may have caused it, if their runs had begun. A job whose task has
// crashed maxCrashes workers fails. The next process of the worker started at restartedAt, which is zero if unknown.
func (d *Dispatcher) attributeCrash(lost []*run, restartedAt, now time.Time) {
	for _, r := range crashSuspects(lost) {
		if r.task == nil || r.crashCounted || r.endAnnounced || !r.hasBegunBefore(restartedAt) {
			continue
		}
		r.crashCounted = true
		if r.task.step.spec.LongRunning && r.isProven() {
			r.task.crashes = 0 // such a task is started as often as its workers end, unless it ends them itself
			continue
		}
		d.countCrash(r.task, r.worker, len(lost), now)
	}
}

// crashSuspects returns the runs under whose start requests the worker seems to have ended. If there is none, it returns the runs that
// had not worked for provenTime, or all if there is no such run, either. A run that may not have begun is among them, so that its
// worker's crash is not attributed to a run that has worked for long.
func crashSuspects(lost []*run) []*run {
	var cutOff, unproven []*run
	for _, r := range lost {
		if !r.hasBegun && !r.startCutOffAt.IsZero() {
			cutOff = append(cutOff, r)
		}
		if !r.isProven() {
			unproven = append(unproven, r)
		}
	}
	switch {
	case len(cutOff) > 0:
		return cutOff
	case len(unproven) > 0:
		return unproven
	}
	return lost
}

// hasBegunBefore reports whether the run is known to have begun in the process that has ended. A response or report has shown it, or
// the worker ended while it carried out the start request: the connection of the request was closed, and the next process
// started soon after that. If the time of that is unknown, the worker must have responded shortly before the request instead; a
// worker that was cut off before, and ended behind the cut, has not.
func (r *run) hasBegunBefore(restartedAt time.Time) bool {
	switch {
	case r.hasBegun:
		return true
	case r.startCutOffAt.IsZero():
		return false
	case restartedAt.IsZero():
		return r.startSentAt.Sub(r.workerSeenAt) <= freshTime
	}
	return !restartedAt.Before(r.startSentAt) && restartedAt.Sub(r.startCutOffAt) <= maxDownTime
}

// isProven reports whether the worker has listed the run after it had worked for provenTime.
func (r *run) isProven() bool {
	return r.state != runStarting && r.state != runUnconfirmed && !r.startConfirmedAt.IsZero() && r.listedAt.Sub(r.startConfirmedAt) >= provenTime
}

// announceEnd notes that a worker drains, so that its end is no crash under its runs. The list may show its next process before a
// report does, so that the state of the worker says nothing about these runs by then.
func (d *Dispatcher) announceEnd(w *worker) {
	for _, r := range w.runs {
		if r.endAnnounced {
			continue
		}
		r.endAnnounced = true
		d.recordEvidence(r.task)
	}
}

// acquitStarts notes that a worker has survived the start requests whose connections were closed before it was asked for a report.
func (d *Dispatcher) acquitStarts(w *worker, askedAt time.Time) {
	for _, r := range w.runs {
		if !r.startCutOffAt.IsZero() && r.startCutOffAt.Before(askedAt) {
			r.startCutOffAt = time.Time{}
			d.recordEvidence(r.task)
		}
	}
}

// recordEvidence writes a new record of the job of a task, which tells the next leader whether a later end of the worker counts
// against the task. The task is nil for a run that is not needed.
func (d *Dispatcher) recordEvidence(t *task) {
	if t != nil && !t.step.job.state.IsFinal() {
		d.journal.markDirty(t.step.job, false)
	}
}

// countCrash counts a crash of a worker against a task, and fails the job after the last one.
func (d *Dispatcher) countCrash(t *task, w *worker, runs int, now time.Time) {
	j := t.step.job
	if t.done || j.state.IsFinal() {
		return
	}
	t.crashes++
	t.lastCrashAt = now
	d.Metrics.Runs.Add("crashed", 1)
	d.Logger.Warn("worker crashed under a task", "worker", w.info.ID, "job", j.submission.ID, "task", t.ref().String(), "crashes", t.crashes,
		"most", maxCrashes, "runs", runs)
	d.journal.markDirty(j, true)
	if t.crashes >= maxCrashes {
		d.endJob(j, model.JobFailed, "task "+t.ref().String()+" has crashed each worker that started it", now)
	}
}

// isSuspect reports whether a worker has crashed, or may have crashed, under the task. It runs alone until its run is proven, so that
// it takes no other work with it and a further crash can be attributed. Members of a gang are exempt, because they start together.
func (t *task) isSuspect() bool { return t.crashes+t.possibleCrashes > 0 && !t.step.spec.Gang }

// needsIsolation reports whether the task may only start on a worker without other runs.
func (t *task) needsIsolation(now time.Time) bool {
	return t.isSuspect() && now.Sub(t.lastCrashAt) < isolationWait
}

// needsFreshWorker reports whether the worker is to be asked for a report before the task, which may crash it, is sent there. Nothing else
// tells a crash before the response from a cut of the network, if the worker then never comes back. After maxAsks, and after
// ampleRoomWait beside ample room, the task is sent in any case.
func (t *task) needsFreshWorker(w *worker, now time.Time) bool {
	if since := t.step.roomSince; t.asks >= maxAsks || !since.IsZero() && now.Sub(since) >= ampleRoomWait {
		return false
	}
	return t.isSuspect() && now.Sub(w.clockAt) > freshTime-askTime
}

// askBeforeStart asks a worker for a report, and lets the task wait for it.
func (d *Dispatcher) askBeforeStart(t *task, w *worker, now time.Time) {
	t.asks++
	t.notBefore = now.Add(askTime)
	w.session.askNow()
}

// hostsSuspect reports whether the worker runs a task that may crash it, so that it should get no other tasks.
func (w *worker) hostsSuspect() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.isSuspect() && !r.isProven() {
			return true
		}
	}
	return false
}
