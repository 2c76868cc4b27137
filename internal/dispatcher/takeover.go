package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxLoggedWorkers is the maximum number of workers that a log line lists.
const maxLoggedWorkers = 8

// takeOver builds the state of a new term, and starts sessions that request a report from every worker with the new fencing token.
//
// A worker that responds refuses all further requests of former leaders. On a worker that does not respond, any lease that a
// former leader granted has ended once formerLeaseDuration has passed. Until then, tasks that a former leader may have started
// there are not started again.
func (d *Dispatcher) takeOver(jobs []journaler.Job, fleet []journaler.FleetWorker, list []model.Worker) {
	now := time.Now()
	for _, j := range jobs {
		if j.IsContested {
			d.journal.restoreSubmission(j)
		}
		if hasEnded(j) {
			d.journal.scheduleRemoval(j.Submission.ID, now)
			continue
		}
		d.keepFormerStarts(d.addJob(j, now), j.Progress.Steps)
	}
	for _, w := range fleet {
		added := d.addWorker(model.Worker{ID: w.ID, Address: w.Address, State: model.WorkerDraining}, now)
		added.runsRecorded, added.formerIncarnation = w.RunsRecorded, w.Incarnation
		added.openInLog = !w.RunsRecorded
	}
	d.updateWorkerList(list, now)
	d.updateEvacuations(now)
	for _, j := range d.jobs {
		if j.cancelled {
			d.cancelJob(j, now)
		}
	}
	d.Logger.Info("term started", "fence", d.Term.Fence, "offset", d.TermOffset, "jobs", len(d.jobs), "workers", len(d.workers))
}

// addWorker adds a worker and starts its session.
func (d *Dispatcher) addWorker(info model.Worker, now time.Time) *worker {
	w := &worker{
		info: info, runs: map[model.RunRef]*run{},
		formerLeaseEndsAt: leaseEnd(now, leaselimiter.FormerLeaseDuration(d.LeaseDuration, d.MaxLease)),
	}
	d.workers[info.ID] = w
	w.session = newSession(d.ctx, d, info)
	d.fleetDirty = true
	return w
}

func (e *workersEvent) apply(d *Dispatcher, now time.Time) {
	d.updateWorkerList(e.workers, now)
}

// updateWorkerList applies a new list of workers from the platform.
func (d *Dispatcher) updateWorkerList(workers []model.Worker, now time.Time) {
	present := map[model.HostID]bool{}
	for _, info := range workers {
		present[info.ID] = true
		w := d.workers[info.ID]
		if w == nil {
			w = d.addWorker(info, now)
			d.Logger.Info("worker joined", "worker", info.ID, "domain", info.FailureDomain, "rack", info.Rack, "address", info.Address)
		}
		if !w.listed || w.info.State != info.State || w.info.Address != info.Address {
			d.scheduleUpToDate = false
			d.fleetDirty = true
		}
		if w.info.Incarnation != info.Incarnation {
			d.scheduleUpToDate = false
		}
		if w.listed && w.info.Capacity != info.Capacity {
			d.scheduleUpToDate = false
			d.Logger.Info("worker capacity changed", "worker", info.ID, "capacity", info.Capacity, "before", w.info.Capacity, "runs", len(w.runs))
		}
		if w.listed && w.info.State != info.State {
			d.Logger.Info("worker state changed", "worker", info.ID, "state", info.State, "remaining-ms", info.MinRemainingMS)
		}
		w.listed = true
		restarted := w.isListedRestart(info)
		w.info = info
		d.updateEvacuation(w)
		if w.mayGetTasks() && !w.openInLog {
			d.journal.appendSoon = true // its tasks wait for the fleet record
		}
		w.session.updateRenewalState(func(state *renewalState) { state.info = info })
		if restarted {
			w.restartListedAt = now
			d.updateSession(w)
		}
		if info.State == model.WorkerDraining {
			d.announceEnd(w)
			d.stopRunsOnDrainingWorker(w, now)
		}
	}
	for _, w := range d.workers {
		if w.listed && !present[w.info.ID] {
			w.listed = false
			d.scheduleUpToDate = false
			d.fleetDirty = true
			d.Logger.Info("worker no longer listed", "worker", w.info.ID, "runs", len(w.runs))
		}
	}
	d.observeFleet()
}

// checkFormerRuns sets formerRunsKnown once all runs of former leaders are known or can no longer be active.
//
// A worker may have received requests until the former leader stopped. Jobs from before the term are therefore not scheduled until
// each worker has reported or its lease from a former leader has ended. Workers whose RunsRecorded is set are exempt, because the
// log lists all their runs.
func (d *Dispatcher) checkFormerRuns(now time.Time) {
	var exempt, expired []model.HostID
	for _, w := range d.workers {
		switch {
		case w.hasUnknownRuns(now):
			return
		case w.hasReported:
		case now.Before(w.formerLeaseEndsAt):
			exempt = append(exempt, w.info.ID)
		default:
			expired = append(expired, w.info.ID)
		}
	}
	d.formerRunsKnown = true
	d.scheduleUpToDate = false
	d.fleetDirty = true // the incarnations of the workers are known now
	d.Logger.Info("runs of former leaders known, scheduling their jobs", "fence", d.Term.Fence,
		"without-report", len(exempt), "such-as", exempt[:min(len(exempt), maxLoggedWorkers)],
		"leases-ended", len(expired), "ended-such-as", expired[:min(len(expired), maxLoggedWorkers)])
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.spec.Gang && s.tasksLeft > 0 {
				d.adoptedGangs = append(d.adoptedGangs, s)
			}
		}
	}
}

// stopIncompleteGangs stops each adopted gang with missing members, once the runs of all workers that may run a member are known.
func (d *Dispatcher) stopIncompleteGangs(now time.Time) {
	d.adoptedGangs = slices.DeleteFunc(d.adoptedGangs, func(s *step) bool {
		for _, t := range s.tasks {
			if d.mayRunOnFormerWorker(t, now) {
				return false
			}
		}
		d.stopIfIncomplete(s, now)
		return true
	})
}

// mayRunOnFormerWorker reports whether a run that a former leader started may still be active without being known to this leader.
// It clears formerWorker once that is ruled out.
func (d *Dispatcher) mayRunOnFormerWorker(t *task, now time.Time) bool {
	if t.formerWorker == "" {
		return false
	}
	w := d.workers[t.formerWorker]
	if w != nil && w.mayHideRuns(now) {
		return true
	}
	id := t.formerWorker
	t.formerWorker = ""
	d.recordEvidence(t)
	if t.activeRun == nil && t.formerBlameless {
		d.keepFormerStart(t, id)
	}
	if w != nil && t.activeRun == nil && !t.formerBlameless {
		d.attributeFormerCrash(t, w, now)
	}
	return false
}

// attributeFormerCrash counts the crash of a worker against a task whose run a former leader started there, once the crash is known.
func (d *Dispatcher) attributeFormerCrash(t *task, w *worker, now time.Time) {
	switch {
	case w.hasRestartedSinceFormerLeader():
		d.countCrash(t, w, 1, now)
	case !w.hasReported && w.hasCrashed:
		r := &run{id: model.RunRef{Task: t.ref()}, task: t, worker: w, hasBegun: true}
		d.notePossibleCrash(w, []*run{r}, w.formerIncarnation, w.formerLeaseEndsAt, now)
	}
}

// stopIfIncomplete stops an adopted gang if only some of its members have a run with the latest run number.
func (d *Dispatcher) stopIfIncomplete(s *step, now time.Time) {
	var latest model.RunNumber
	members := 0
	for _, t := range s.tasks {
		if t.activeRun != nil {
			latest = max(latest, t.activeRun.id.Number)
		}
	}
	for _, t := range s.tasks {
		if t.activeRun != nil && t.activeRun.id.Number == latest {
			members++
		}
	}
	if members == 0 || members == len(s.tasks) {
		return
	}
	d.Logger.Info("adopted gang is incomplete", "job", s.ref.Job, "step", s.ref.Step, "members", members, "of", len(s.tasks))
	d.stopStep(s, "gang incomplete", now)
}

// adoptRun adds a run that a worker reports and that this leader does not know. It stops the run if it is not needed.
func (d *Dispatcher) adoptRun(w *worker, progress model.RunProgress, now time.Time) {
	r := &run{
		id: progress.Run, worker: w, state: runRunning, hasBegun: true, startSentAt: now, startConfirmedAt: now, percentDone: progress.PercentDone, lastProgressAt: now,
		adopted: true, paceFrom: now, paceFromPercent: progress.PercentDone,
		endAnnounced: w.listed && w.info.State == model.WorkerDraining,
	}
	w.runs[progress.Run] = r
	j := d.jobs[progress.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.findTask(progress.Run.Task)
	}
	r.need, r.needUnknown = d.resourcesOf(w, progress.Run.Task, t)
	if t == nil {
		d.Logger.Info("stopping unknown run", "worker", w.info.ID, "task", progress.Run.Task.String(), "run", progress.Run.Number)
		d.stopRun(r, "job unknown or ended", now)
		return
	}
	switch {
	case t.done || j.state.IsFinal():
		r.task = nil
		d.stopRun(r, "task is done", now)
	case t.activeRun != nil:
		d.OnViolation(asserter.DoubleStart, "task", progress.Run.Task.String(), "worker", w.info.ID, "run", progress.Run.Number,
			"other", t.activeRun.id.Number, "other-worker", t.activeRun.worker.info.ID)
		d.stopRun(r, "task runs elsewhere", now)
	default:
		r.task = t
		if t.formerWorker != w.info.ID || t.formerBlameless {
			d.journal.markDirty(j, false) // the former leader did not record the run, or not that it had begun
		}
		t.activeRun, t.formerWorker = r, ""
		r.observeStart()
		d.markJobRunning(j)
		d.Metrics.Runs.Add("adopted", 1)
		if len(t.lateStarts) > 0 && d.pendingStarts.IsHeld(t.ref(), w.info.ID, now) {
			d.stopHeld(t, now)
		}
	}
}

// resourcesOf returns the resources that a run uses. Those of a run of an unknown job are unknown; it counts as using the whole
// worker.
func (d *Dispatcher) resourcesOf(w *worker, ref model.TaskRef, t *task) (need model.Resources, unknown bool) {
	if t != nil {
		return t.step.spec.Need, false
	}
	if j, ok := d.LookupJob(ref.Job); ok && ref.Step >= 0 && ref.Step < len(j.Submission.Steps) {
		return j.Submission.Steps[ref.Step].Need, false
	}
	return w.info.Capacity, true
}
