package reserver

import (
	"encoding/json"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// phase is the progress of a gang.
type phase string

const (
	phaseReserving     phase = "reserving"
	phaseStarting      phase = "starting"
	phaseAdopting      phase = "adopting" // found on workers, not yet known to be complete
	phaseRunning       phase = "running"
	phaseCheckpointing phase = "checkpointing"
	phaseStopping      phase = "stopping"
	phaseEnded         phase = "ended"
)

// runs reports whether a failed member ends a gang in this phase.
func (p phase) runs() bool {
	switch p {
	case phaseStarting, phaseAdopting, phaseRunning, phaseCheckpointing:
		return true
	}
	return false
}

// timed reports whether a gang in this phase waits for a deadline.
func (p phase) timed() bool { return p != phaseRunning && p != phaseEnded }

// gang is one attempt of a job.
type gang struct {
	id           model.GangID
	job          model.JobID
	workspace    model.WorkspaceID
	accelerators model.Accelerators
	cores        model.Cores
	memory       model.Megabytes
	spec         json.RawMessage
	size         int
	members      []*member

	phase    phase
	timed    bool // on the list of timed gangs
	deadline time.Time
	foundAt  time.Time // zero for gangs that this host started
	outcome  Outcome   // while stopping and ended
	err      string
	worker   model.HostID // of the first failed member
	acked    bool         // the outcome is durable

	partialSince time.Time // a part of it has been confirmed running since, zero for none or all
	partialNoted time.Time // when it was last looked at
	partialTold  bool
}

// member is one task of a gang.
type member struct {
	g     *gang
	w     *worker
	task  model.TaskID
	index int

	need          workerclient.OpKind    // operation to send, empty for none
	state         workerclient.TaskState // as last reported, empty before
	run           model.Millis
	err           string
	reserveSent   bool
	startSent     bool
	notStarted    bool // the worker refused the start
	gone          bool // the worker does not have it any more
	detached      bool // no longer part of its gang
	reservedUntil time.Time
	leaseEnd      time.Time // it can't run after this time
}

// extend notes the latest end of a lease.
func (m *member) extend(t time.Time) {
	if t.After(m.leaseEnd) {
		m.leaseEnd = t
	}
}

// over reports whether the member certainly does not run and won't.
func (m *member) over(now time.Time) bool {
	if m.gone || !m.startSent || m.state != "" && !m.state.Holds() {
		return true
	}
	return !now.Before(m.leaseEnd)
}

// cause returns why the member ends its gang, or nothing.
func (m *member) cause() Cause {
	switch m.state {
	case workerclient.TaskFinished:
		return ""
	case workerclient.TaskFailed:
		return CauseFailed
	case workerclient.TaskLapsed:
		return CauseLapsed
	case workerclient.TaskStopped:
		return CauseStopped
	case workerclient.TaskCheckpointed:
		if m.g.phase != phaseCheckpointing {
			return CauseStopped
		}
		return ""
	}
	if m.gone {
		return CauseDisappeared
	}
	return ""
}

func (g *gang) all(f func(*member) bool) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool { return !f(m) })
}

// complete reports whether every index of the gang has its member.
func (g *gang) complete() bool {
	if len(g.members) != g.size {
		return false
	}
	seen := make([]bool, g.size)
	for _, m := range g.members {
		if m.index < 0 || m.index >= g.size || seen[m.index] {
			return false
		}
		seen[m.index] = true
	}
	return true
}

func (g *gang) list() []Member {
	out := make([]Member, len(g.members))
	for i, m := range g.members {
		out[i] = Member{Task: m.task, Worker: m.w.host.ID, Index: m.index, State: m.state}
	}
	return out
}

func (g *gang) run() time.Duration {
	var d model.Millis
	for _, m := range g.members {
		d = max(d, m.run)
	}
	return time.Duration(d) * time.Millisecond
}

// add registers a gang.
func (r *Reserver) add(g *gang) {
	r.gangs[g.id] = g
	r.jobs[g.job] = append(r.jobs[g.job], g)
	r.enter(g, g.phase)
}

// drop forgets a gang and detaches its members from their workers.
func (r *Reserver) drop(g *gang) {
	for _, m := range g.members {
		m.detached = true
		m.w.remove(m)
	}
	delete(r.gangs, g.id)
	rest := slices.DeleteFunc(r.jobs[g.job], func(x *gang) bool { return x == g })
	if len(rest) == 0 {
		delete(r.jobs, g.job)
	} else {
		r.jobs[g.job] = rest
	}
	g.phase = phaseEnded
}

// enter changes the phase of a gang.
func (r *Reserver) enter(g *gang, p phase) {
	g.phase = p
	if p.timed() && !g.timed {
		g.timed = true
		r.timed = append(r.timed, g)
	}
}

// anyStale reports whether some member was not confirmed within two polls.
func (r *Reserver) anyStale(g *gang) bool {
	return slices.ContainsFunc(g.members, func(m *member) bool {
		return m.state != workerclient.TaskFinished && r.stale(m.w)
	})
}

// advance moves a gang on after a change of its members.
func (r *Reserver) advance(g *gang) {
	if g.phase.runs() {
		for _, m := range g.members {
			if c := m.cause(); c != "" {
				r.failMember(m, c)
				return
			}
		}
		if g.complete() && g.all(func(m *member) bool { return m.state == workerclient.TaskFinished }) {
			r.end(g, OutcomeFinished)
			return
		}
	}
	switch g.phase {
	case phaseReserving:
		r.startReserved(g)
	case phaseStarting:
		if g.all(func(m *member) bool { return m.state != "" && m.state != workerclient.TaskReserved }) {
			delete(r.refused, g.job)
			r.enter(g, phaseRunning)
			r.report(GangStarted{Gang: g.id, Job: g.job, At: r.now})
		}
	case phaseAdopting:
		r.adoptComplete(g)
	case phaseCheckpointing:
		if g.all(func(m *member) bool { return !m.state.Holds() }) {
			r.report(CheckpointDone{Gang: g.id, Job: g.job})
			r.end(g, OutcomePreempted)
		}
	case phaseStopping:
		if g.all(func(m *member) bool { return m.over(r.now) }) && r.noneMissing(g) {
			r.end(g, g.outcome)
		}
	case phaseEnded:
		if g.acked {
			r.forget(g)
		}
	}
}

// noneMissing reports whether members of a found gang that were never seen can't run either.
func (r *Reserver) noneMissing(g *gang) bool {
	return g.foundAt.IsZero() || g.complete() || r.accounted || r.now.Sub(g.foundAt) >= r.cfg.TaskLease
}

// failMember reports a failed member and stops its gang everywhere.
func (r *Reserver) failMember(m *member, c Cause) {
	g := m.g
	if m.detached || !g.phase.runs() {
		return
	}
	if c == CauseStopped && g.phase == phaseCheckpointing {
		r.stopAll(g, OutcomePreempted) // the worker applied the bound by itself
		return
	}
	r.report(MemberFailed{Gang: g.id, Job: g.job, Task: m.task, Worker: m.w.host.ID, Cause: c, Error: m.err})
	outcome := OutcomeLost
	switch {
	case c == CauseFailed:
		outcome = OutcomeFailed
	case g.phase == phaseCheckpointing, m.state == workerclient.TaskCheckpointed:
		outcome = OutcomePreempted
	}
	g.err, g.worker = m.err, m.w.host.ID
	if outcome == OutcomeLost {
		r.report(GangLost{Gang: g.id, Job: g.job, Reason: string(c) + ": " + string(m.task) + " on " + string(m.w.host.ID)})
	}
	r.stopAll(g, outcome)
}

// memberGone notes that the worker does not have the task any more.
func (r *Reserver) memberGone(m *member) {
	if m.detached {
		return
	}
	m.gone, m.need = true, ""
	if m.g.phase == phaseReserving {
		r.refuse(m.g, m.w.host.ID, model.KindNotReady)
		return
	}
	r.advance(m.g)
}

// stopAll stops or releases every member that may hold its resources.
func (r *Reserver) stopAll(g *gang, outcome Outcome) {
	g.outcome = outcome
	r.enter(g, phaseStopping)
	for _, m := range g.members {
		r.stopMember(m)
	}
	r.advance(g)
}

func (r *Reserver) stopMember(m *member) {
	m.need = ""
	if m.gone || m.state != "" && !m.state.Holds() {
		return
	}
	m.need = workerclient.OpRelease
	if m.startSent {
		m.need = workerclient.OpStop
	}
	r.heat(m.w)
}

// end reports the outcome of a gang of which no member runs any more.
func (r *Reserver) end(g *gang, outcome Outcome) {
	is := func(want ...workerclient.TaskState) bool {
		return g.complete() && g.all(func(m *member) bool { return slices.Contains(want, m.state) })
	}
	if is(workerclient.TaskFinished) {
		outcome = OutcomeFinished // it finished before the stop arrived
	}
	g.outcome = outcome
	r.enter(g, phaseEnded)
	r.report(GangEnded{
		Gang: g.id, Job: g.job, Workspace: g.workspace, Outcome: outcome,
		Checkpointed: is(workerclient.TaskCheckpointed, workerclient.TaskFinished),
		Started:      slices.ContainsFunc(g.members, func(m *member) bool { return m.startSent }),
		Run:          g.run(), Error: g.err, Worker: g.worker, Members: g.list(), Spec: g.spec,
	})
}

// acknowledge lets the workers forget an ended gang.
func (r *Reserver) acknowledge(id model.GangID) {
	if g := r.gangs[id]; g != nil && g.phase == phaseEnded {
		g.acked = true
		r.forget(g)
	}
}

// forget asks the workers to forget the members that they still list.
func (r *Reserver) forget(g *gang) {
	for _, m := range slices.Clone(g.members) {
		switch {
		case m.gone:
			r.forgotten(m)
		case m.need == "":
			m.need = workerclient.OpForget
			r.heat(m.w)
		}
	}
	if len(g.members) == 0 {
		r.drop(g)
	}
}

// forgotten removes a member that its worker does not list any more.
func (r *Reserver) forgotten(m *member) {
	m.detached = true
	m.w.remove(m)
	m.g.members = slices.DeleteFunc(m.g.members, func(x *member) bool { return x == m })
	if len(m.g.members) == 0 {
		r.drop(m.g)
	}
}
