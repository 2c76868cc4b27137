package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// takeOver builds the state of a new term and asks every worker, under the new fence, what it runs.
//
// A worker that answers refuses all orders of former leaders from then on. Of one that doesn't, every lease that a former
// leader granted has ended after the lease time; until then tasks that a former leader may have started there wait.
func (d *Dispatcher) takeOver(jobs []journaler.Job, fleet []journaler.FleetWorker, list []model.Worker) {
	now := time.Now()
	for _, j := range jobs {
		if !j.Progress.State.IsFinal() {
			d.addJob(j, now)
		}
	}
	for _, w := range fleet {
		d.addWorker(model.Worker{ID: w.ID, Address: w.Address, State: model.WorkerDraining}, now).closed = w.Closed
	}
	d.list(list, now)
	for _, j := range d.jobs {
		if j.cancelled {
			d.cancel(j, now)
		}
	}
	d.Logger.Info("term began", "fence", d.Term.Fence, "offset", d.TermOffset, "jobs", len(d.jobs), "workers", len(d.workers))
}

// addWorker starts a session with a worker.
func (d *Dispatcher) addWorker(info model.Worker, now time.Time) *worker {
	w := &worker{
		info: info, runs: map[model.RunRef]*run{},
		settleBy: leaseEnd(now, d.LeaseDuration),
	}
	d.workers[info.ID] = w
	w.session = newSession(d.ctx, d, info)
	d.fleetDirty = true
	return w
}

func (e *listed) apply(d *Dispatcher, now time.Time) {
	d.list(e.workers, now)
}

// list applies the platform's list of workers.
func (d *Dispatcher) list(workers []model.Worker, now time.Time) {
	present := map[model.HostID]bool{}
	for _, info := range workers {
		present[info.ID] = true
		w := d.workers[info.ID]
		if w == nil {
			w = d.addWorker(info, now)
			d.Logger.Info("worker joined", "worker", info.ID, "domain", info.FailureDomain, "rack", info.Rack, "address", info.Address)
		}
		if !w.listed || w.info.State != info.State || w.info.Address != info.Address {
			d.planned = false
			d.fleetDirty = true
		}
		if w.listed && w.info.State != info.State {
			d.Logger.Info("worker changed", "worker", info.ID, "state", info.State, "remaining-ms", info.MinRemainingMS)
		}
		w.listed = true
		w.info = info
		w.session.set(func(p *holdPlan) { p.info = info })
		if info.State == model.WorkerDraining {
			d.evacuate(w, now)
		}
	}
	for _, w := range d.workers {
		if w.listed && !present[w.info.ID] {
			w.listed = false
			d.planned = false
			d.fleetDirty = true
			d.Logger.Info("worker left the list", "worker", w.info.ID, "runs", len(w.runs))
		}
	}
}

// settle checks whether all runs of former leaders are known.
//
// A worker may have got orders until the former leader's end, so all tasks wait for its answer. Only of one that the
// former leader had closed before does the log name all runs.
func (d *Dispatcher) settle(now time.Time) {
	for _, w := range d.workers {
		if !w.settled && !w.closed && now.Before(w.settleBy) {
			return
		}
	}
	d.settled = true
	d.planned = false
	d.Logger.Info("runs of former leaders known", "fence", d.Term.Fence)
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.spec.Gang && s.left > 0 {
				d.adopted = append(d.adopted, s)
			}
		}
	}
}

// checkGangs stops adopted gangs that are not whole, once all workers that may have a member are known.
func (d *Dispatcher) checkGangs(now time.Time) {
	d.adopted = slices.DeleteFunc(d.adopted, func(s *step) bool {
		for _, t := range s.tasks {
			if d.pending(t, now) {
				return false
			}
		}
		d.checkGang(s, now)
		return true
	})
}

// pending reports whether a former leader's run of the task may still be found on a worker.
func (d *Dispatcher) pending(t *task, now time.Time) bool {
	if t.former == "" {
		return false
	}
	w := d.workers[t.former]
	if w == nil || w.settled || now.After(w.settleBy) {
		t.former = ""
		return false
	}
	return true
}

// checkGang stops an adopted gang that has lost members.
func (d *Dispatcher) checkGang(s *step, now time.Time) {
	var number model.RunNumber
	n := 0
	for _, t := range s.tasks {
		if t.active != nil {
			number = max(number, t.active.id.Number)
		}
	}
	for _, t := range s.tasks {
		if t.active != nil && t.active.id.Number == number {
			n++
		}
	}
	if n == 0 || n == len(s.tasks) {
		return
	}
	d.Logger.Info("adopted gang is not whole", "job", s.ref.Job, "step", s.ref.Step, "members", n, "of", len(s.tasks))
	d.stopStep(s, "gang not whole", now)
}

// adopt takes over a run that a worker reports and this leader did not start.
func (d *Dispatcher) adopt(w *worker, st model.RunProgress, now time.Time) {
	r := &run{
		id: st.Run, worker: w, state: runRunning, sentAt: now, answeredAt: now, percent: st.PercentDone, percentAt: now,
	}
	w.runs[st.Run] = r
	j := d.jobs[st.Run.Task.Job]
	var t *task
	if j != nil {
		t = j.find(st.Run.Task)
	}
	r.need = d.needOf(w, st.Run.Task, t)
	if t == nil {
		d.Logger.Info("unknown run stopped", "worker", w.info.ID, "task", st.Run.Task.String(), "run", st.Run.Number)
		d.stopRun(r, "job is not known or has ended", now)
		return
	}
	switch {
	case t.done || j.state.IsFinal():
		r.task = nil
		d.stopRun(r, "task is done", now)
	case t.active != nil:
		d.OnViolation(asserter.DoubleStart, "task", st.Run.Task.String(), "worker", w.info.ID, "run", st.Run.Number,
			"other", t.active.id.Number, "other-worker", t.active.worker.info.ID)
		d.stopRun(r, "task runs elsewhere", now)
	default:
		r.task = t
		t.active = r
		d.setRunning(j)
		d.Metrics.Runs.Add("adopted", 1)
	}
}

// needOf returns the room that a run takes; of a job that nobody knows any more, the whole worker.
func (d *Dispatcher) needOf(w *worker, ref model.TaskRef, t *task) model.Resources {
	if t != nil {
		return t.step.spec.Need
	}
	if j, ok := d.LookupJob(ref.Job); ok && ref.Step >= 0 && ref.Step < len(j.Submission.Steps) {
		return j.Submission.Steps[ref.Step].Need
	}
	return w.info.Capacity
}
