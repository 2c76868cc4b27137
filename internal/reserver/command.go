package reserver

import (
	"fmt"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// startGang begins to reserve a gang, or reports why not.
func (r *Reserver) startGang(ev StartGang) {
	if g := r.gangs[ev.Gang]; g != nil && g.phase != phaseEnded {
		return // the command was repeated
	}
	if worker, kind, at := r.objection(ev); kind != "" {
		r.report(GangRefused{Gang: ev.Gang, Job: ev.Job, Worker: worker, Kind: kind, RetryAt: at})
		return
	}
	g := &gang{
		id: ev.Gang, job: ev.Job, workspace: ev.Workspace, accelerators: ev.Accelerators, cores: ev.Cores,
		memory: ev.MemoryMB, spec: ev.Spec, size: len(ev.Workers),
		phase: phaseReserving, deadline: r.now.Add(r.cfg.ReserveTTL),
	}
	for i, id := range ev.Workers {
		w := r.workers[id]
		m := &member{g: g, w: w, index: i, task: model.TaskID(fmt.Sprintf("%s/%d", ev.Gang, i)), need: workerclient.OpReserve}
		g.members = append(g.members, m)
		w.members = append(w.members, m)
		r.heat(w)
	}
	r.add(g)
}

// objection returns why a gang can't be started now, and when to try again.
func (r *Reserver) objection(ev StartGang) (model.HostID, model.ErrorKind, time.Time) {
	soon := r.now.Add(r.backoff(0, r.cfg.RetryMax))
	if !r.fresh() {
		return "", model.KindNotReady, soon
	}
	if !r.accounted && !ev.AcceptedAt.After(r.newAfter()) {
		if r.accountedAt.After(soon) {
			soon = r.accountedAt
		}
		return "", model.KindNotReady, soon
	}
	if b := r.refused[ev.Job]; b != nil && r.now.Before(b.until) {
		return "", model.KindOverloaded, b.until
	}
	if r.gangs[ev.Gang] != nil || slices.ContainsFunc(r.jobs[ev.Job], (*gang).blocks) {
		return "", model.KindConflict, r.now.Add(r.cfg.Poll)
	}
	seen := map[model.HostID]bool{}
	for _, id := range ev.Workers {
		w := r.workers[id]
		if seen[id] {
			return id, model.KindInvalid, r.now.Add(r.cfg.RetryMax)
		}
		seen[id] = true
		if w == nil || !w.up {
			return id, model.KindNotReady, soon
		}
	}
	if len(ev.Workers) == 0 {
		return "", model.KindInvalid, r.now.Add(r.cfg.RetryMax)
	}
	return "", "", time.Time{}
}

// blocks reports whether the gang prevents another attempt of its job.
func (g *gang) blocks() bool {
	done := g.outcome == OutcomeFinished || g.outcome == OutcomeFailed
	return g.phase != phaseEnded || done && !g.acked
}

// refuse gives up an attempt before its start, releases its reservations and sets the job's back-off.
func (r *Reserver) refuse(g *gang, worker model.HostID, kind model.ErrorKind) {
	r.unreserve(g)
	b := r.refused[g.job]
	if b == nil {
		b = &refusal{}
		r.refused[g.job] = b
	}
	b.until = r.now.Add(r.backoff(b.count, r.cfg.RetryMax))
	b.count++
	r.report(GangRefused{Gang: g.id, Job: g.job, Worker: worker, Kind: kind, RetryAt: b.until})
}

// unreserve drops a gang that was never started and releases what it may have reserved.
func (r *Reserver) unreserve(g *gang) {
	r.dropped[g.id] = r.now.Add(r.cfg.TaskLease)
	r.drop(g)
	for _, m := range g.members {
		if m.reserveSent && !m.gone {
			m.w.clean(cleanup{task: m.task, gang: g.id, kind: workerclient.OpRelease})
			r.heat(m.w)
		}
	}
}

// startReserved starts a gang once all of its reservations are granted.
func (r *Reserver) startReserved(g *gang) {
	if !g.all(func(m *member) bool { return m.state == workerclient.TaskReserved && m.need == "" }) {
		if m := slices.IndexFunc(g.members, func(m *member) bool { return m.state != "" && !m.state.Holds() }); m >= 0 {
			r.refuse(g, g.members[m].w.host.ID, model.KindWrongState)
		}
		return
	}
	if !r.fresh() || r.leaseTTL() <= 0 {
		r.refuse(g, "", model.KindNotReady)
		return
	}
	for _, m := range g.members {
		if !r.now.Before(m.reservedUntil) {
			r.refuse(g, m.w.host.ID, model.KindDeadline)
			return
		}
	}
	g.deadline = r.now.Add(2 * r.cfg.Poll)
	r.enter(g, phaseStarting)
	for _, m := range g.members {
		m.need = workerclient.OpStart
		r.heat(m.w)
	}
}

// stopGang stops a gang for the given outcome.
func (r *Reserver) stopGang(id model.GangID, outcome Outcome) {
	g := r.gangs[id]
	if g == nil {
		return
	}
	switch {
	case g.phase == phaseReserving:
		r.unreserve(g)
		r.report(GangEnded{Gang: g.id, Job: g.job, Workspace: g.workspace, Outcome: outcome, Members: g.list(), Spec: g.spec})
	case g.phase.runs():
		r.stopAll(g, outcome)
	}
}

// preemptGang lets a running gang save its state before it is stopped.
func (r *Reserver) preemptGang(id model.GangID) {
	g := r.gangs[id]
	if g == nil || g.phase == phaseCheckpointing {
		return
	}
	if g.phase != phaseRunning {
		r.stopGang(id, OutcomePreempted)
		return
	}
	g.deadline = r.now.Add(r.cfg.Checkpoint)
	r.enter(g, phaseCheckpointing)
	for _, m := range g.members {
		if m.state.Holds() {
			m.need = workerclient.OpCheckpoint
			r.heat(m.w)
		}
	}
}

// timeGang applies the deadline of a gang's phase.
func (r *Reserver) timeGang(g *gang) {
	due := !r.now.Before(g.deadline)
	switch g.phase {
	case phaseReserving:
		if due {
			r.refuse(g, "", model.KindDeadline)
		}
	case phaseStarting:
		if !due {
			return
		}
		for _, m := range g.members {
			if m.state == workerclient.TaskReserved {
				r.failMember(m, CauseUnconfirmed)
			}
		}
	case phaseAdopting:
		if due {
			r.report(GangLost{Gang: g.id, Job: g.job, Reason: fmt.Sprintf("%d of %d members were found running", g.running(), g.size)})
			r.stopAll(g, OutcomeLost)
		}
	case phaseCheckpointing:
		if due {
			r.stopAll(g, OutcomePreempted)
			return
		}
		r.hurry(g)
	case phaseStopping:
		r.hurry(g)
		r.advance(g)
	}
}

// hurry polls the workers of members that change their state soon, ahead of the regular poll.
func (r *Reserver) hurry(g *gang) {
	for _, m := range g.members {
		w := m.w
		if m.need != "" || m.gone || !m.state.Holds() || r.now.Sub(w.sentAt) < r.cfg.Checkpoint/4 {
			continue
		}
		if g.phase == phaseStopping {
			r.stopMember(m)
		} else {
			w.nextPoll = r.now
		}
	}
}
