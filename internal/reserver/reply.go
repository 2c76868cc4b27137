package reserver

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// replied applies an answer. Late answers to earlier batches only tell about terms.
func (r *Reserver) replied(ev Replied) {
	r.see(ev.Reply.Term)
	if !r.active() {
		return
	}
	if ev.Reply.Term.Compare(r.term) > 0 {
		r.stepDown("worker " + string(ev.Worker) + " has seen a higher term")
		return
	}
	w := r.workers[ev.Worker]
	if w == nil || w.out == nil || w.out.seq != ev.Seq {
		return
	}
	reply := &ev.Reply
	if reply.Error != "" || reply.Worker != w.host.ID {
		// Another worker answers at a reused address, or the worker can't take batches.
		r.failed(w, false)
		return
	}
	out := w.out
	w.out = nil
	w.fails, w.failingSince, w.retryAt, w.lastOK = 0, time.Time{}, time.Time{}, out.sentAt
	full := reply.Full || out.since == 0
	if w.boot != "" && w.boot != reply.Boot {
		r.restarted(w)
		w.relist = !full
	}
	w.boot, w.version = reply.Boot, reply.Version
	if full && !w.acked {
		w.acked = true
		r.renewSoon(w)
	}
	r.applyResults(w, out, reply.Results)
	r.applyTasks(w, reply.Tasks, full)
	if len(reply.Tasks) > 0 {
		r.report(WorkerReporting{Worker: w.host.ID, Tasks: reply.Tasks})
	}
	r.checkHeld(w, reply.Tasks, full)
	r.watch(w)
	if w.pending() {
		r.heat(w)
	}
}

// sendFailed notes a batch without an answer; its operations are sent again.
func (r *Reserver) sendFailed(ev SendFailed) {
	if w := r.workers[ev.Worker]; r.active() && w != nil && w.out != nil && w.out.seq == ev.Seq {
		r.failed(w, ev.NotRun)
	}
}

func (r *Reserver) failed(w *worker, notRun bool) {
	out := w.out
	w.out = nil
	if w.failingSince.IsZero() {
		w.failingSince = out.sentAt
	}
	if !w.acked && w.unreachedSince.IsZero() {
		w.unreachedSince = out.sentAt
	}
	if !w.acked || out.since == 0 {
		w.relist = true
	}
	w.retryAt = r.now.Add(r.backoff(w.fails, r.cfg.Poll))
	w.fails++
	if out.poll && w.nextPoll.After(w.retryAt) {
		w.nextPoll = w.retryAt
	}
	for _, op := range out.ops {
		// A worker that takes no connection won't answer within the reservation's time either.
		if notRun && op.kind == workerclient.OpReserve && op.member != nil && op.member.g.phase == phaseReserving {
			r.refuse(op.member.g, w.host.ID, model.KindNotReady)
		}
	}
}

// restarted forgets the tasks of a worker's earlier boot, except those that the answered batch reserved.
func (r *Reserver) restarted(w *worker) {
	r.report(WorkerRestarted{Worker: w.host.ID})
	w.cleanup = nil
	for _, m := range slices.Clone(w.members) {
		fresh := m.state == "" && m.need == workerclient.OpReserve
		if !fresh {
			r.memberGone(m)
		}
	}
}

// applyResults matches the results to the operations of the batch.
func (r *Reserver) applyResults(w *worker, out *outstanding, results []workerclient.Result) {
	for i, op := range out.ops {
		if i >= len(results) || results[i].Task != op.task {
			i = slices.IndexFunc(results, func(x workerclient.Result) bool { return x.Task == op.task })
		}
		if i < 0 {
			continue // sent again with the next batch
		}
		if op.member != nil {
			if !op.member.detached {
				r.applyResult(op.member, op.kind, results[i], out)
			}
			continue
		}
		w.cleanup = slices.DeleteFunc(w.cleanup, func(c cleanup) bool { return c.task == op.task && c.kind == op.kind })
		if results[i].Error == model.KindWrongState {
			r.cleanNext(w, op)
		}
	}
}

// cleanNext goes on when a task was in another state than its cleanup assumed: it may
// run instead of being reserved, or have ended, and a leftover would refuse a new reservation.
func (r *Reserver) cleanNext(w *worker, op sentOp) {
	c := cleanup{task: op.task, gang: op.gang, kind: workerclient.OpForget}
	switch {
	case op.kind == workerclient.OpForget:
		return
	case op.kind == workerclient.OpRelease && w.member(op.task) == nil:
		c.kind = workerclient.OpStop
	}
	w.clean(c)
}

func (r *Reserver) applyResult(m *member, kind workerclient.OpKind, res workerclient.Result, out *outstanding) {
	if m.need == kind {
		m.need = ""
	}
	g := m.g
	unknown := res.Error == model.KindUnknownTask
	switch kind {
	case workerclient.OpReserve:
		if res.Error != "" {
			if g.phase == phaseReserving {
				r.refuse(g, m.w.host.ID, res.Error)
			}
			return
		}
		m.state = workerclient.TaskReserved
		m.reservedUntil = out.sentAt.Add(r.cfg.ReserveTTL)
	case workerclient.OpStart:
		switch {
		case res.Error == "":
			m.state = workerclient.TaskRunning
			if res.State != "" {
				m.state = res.State
			}
		case unknown, res.State == "", res.State == workerclient.TaskReserved, res.State == workerclient.TaskLapsed:
			m.notStarted = true
			if g.phase.runs() {
				r.failMember(m, CauseNotStarted)
			}
		default:
			m.state = res.State // an earlier start took effect
		}
	case workerclient.OpForget:
		if res.Error == "" || unknown {
			r.forgotten(m)
			return
		}
		// It still holds its resources; the pause keeps a worker that refuses both from a busy loop.
		m.need = workerclient.OpStop
		m.w.retryAt = r.now.Add(r.backoff(4, r.cfg.Poll))
	case workerclient.OpStop, workerclient.OpRelease:
		switch {
		case unknown:
			r.memberGone(m)
			return
		case res.State != "":
			m.state = res.State
		case res.Error == "":
			m.state = workerclient.TaskStopped
		default:
			m.w.relist = true // learn its state
			m.w.retryAt = r.now.Add(r.backoff(4, r.cfg.Poll))
		}
	}
	r.advance(g)
}

// applyTasks applies the reported states and sorts out tasks that belong to no known member.
func (r *Reserver) applyTasks(w *worker, tasks []workerclient.Task, full bool) {
	listed := make(map[model.TaskID]bool, len(tasks))
	var changed []*gang
	for i := range tasks {
		t := &tasks[i]
		listed[t.ID] = true
		m := w.member(t.ID)
		if m == nil {
			if g := r.unknownTask(w, t); g != nil {
				changed = append(changed, g)
			}
			continue
		}
		if m.gone {
			continue
		}
		if m.state == "" && m.need == workerclient.OpReserve {
			continue // left over from an earlier attempt to reserve it; the pending operation decides
		}
		m.state, m.run = t.State, max(m.run, t.RunMS)
		if t.Error != "" {
			m.err = t.Error
		}
		changed = append(changed, m.g)
	}
	if full {
		for _, m := range slices.Clone(w.members) {
			if m.state != "" && !listed[m.task] {
				r.memberGone(m)
			}
		}
	}
	for _, g := range changed {
		r.advance(g)
	}
}
