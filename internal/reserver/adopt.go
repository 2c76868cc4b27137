package reserver

import (
	"slices"
	"strconv"
	"strings"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// unknownTask deals with a reported task that is no member on this worker. Leftovers of
// refused attempts are cleaned up, everything else is collected into a gang that is
// adopted when it turns out to be complete.
func (r *Reserver) unknownTask(w *worker, t *workerclient.Task) *gang {
	g := r.gangs[t.Gang]
	_, dropped := r.dropped[t.Gang]
	own := g != nil && g.foundAt.IsZero() || g == nil && dropped
	neverRan := t.RunMS == 0 && (t.State == workerclient.TaskStopped || t.State == workerclient.TaskLapsed)
	settled := g != nil && (g.phase == phaseRunning || g.phase == phaseCheckpointing)
	if own || neverRan || settled {
		r.cleanTask(w, t)
		return nil
	}
	if g == nil {
		g = &gang{
			id: t.Gang, job: t.Job, workspace: t.Workspace, accelerators: t.Accelerators, cores: t.Cores,
			memory: t.MemoryMB, spec: t.Spec, size: max(1, t.Members),
			phase: phaseAdopting, foundAt: r.now, deadline: r.now.Add(2 * r.cfg.Poll),
		}
		r.add(g)
	}
	reserved := t.State == workerclient.TaskReserved
	for _, m := range slices.Clone(g.members) {
		// An attempt that was refused and placed again may have left a reservation behind.
		switch {
		case m.task != t.ID:
		case reserved:
			r.cleanTask(w, t)
			return nil
		case m.state == workerclient.TaskReserved:
			r.detach(m)
			m.w.clean(cleanup{task: m.task, gang: g.id, kind: workerclient.OpRelease})
			r.heat(m.w)
		}
	}
	m := &member{
		g: g, w: w, task: t.ID, index: index(t.ID), state: t.State, run: t.RunMS, err: t.Error,
		startSent: !reserved, leaseEnd: r.now.Add(r.cfg.TaskLease),
	}
	g.members = append(g.members, m)
	w.members = append(w.members, m)
	if g.phase == phaseStopping || g.phase == phaseEnded {
		r.stopMember(m)
	}
	return g
}

// cleanTask queues the operation that removes a task without a gang.
func (r *Reserver) cleanTask(w *worker, t *workerclient.Task) {
	kind := workerclient.OpForget
	switch {
	case t.State == workerclient.TaskReserved:
		kind = workerclient.OpRelease
	case t.State.Holds():
		kind = workerclient.OpStop
	}
	w.clean(cleanup{task: t.ID, gang: t.Gang, kind: kind})
	r.heat(w)
}

// adoptComplete adopts a found gang of which every member runs or has finished.
func (r *Reserver) adoptComplete(g *gang) {
	if !g.complete() || g.running() < g.size {
		return
	}
	other := slices.ContainsFunc(r.jobs[g.job], func(o *gang) bool {
		return o != g && o.phase != phaseEnded && o.phase != phaseAdopting && o.phase != phaseStopping
	})
	if other {
		r.report(GangLost{Gang: g.id, Job: g.job, Reason: "another attempt runs"})
		r.stopAll(g, OutcomeLost)
		return
	}
	r.enter(g, phaseRunning)
	r.report(GangAdopted{
		Gang: g.id, Job: g.job, Workspace: g.workspace, Accelerators: g.accelerators, Cores: g.cores,
		MemoryMB: g.memory, Run: g.run(), Members: g.list(), Spec: g.spec,
	})
}

// running counts the members that run or have finished.
func (g *gang) running() int {
	n := 0
	for _, m := range g.members {
		switch m.state {
		case workerclient.TaskRunning, workerclient.TaskCheckpointing, workerclient.TaskFinished:
			n++
		}
	}
	return n
}

// detach removes a member from its gang and worker.
func (r *Reserver) detach(m *member) {
	m.detached = true
	m.w.remove(m)
	m.g.members = slices.DeleteFunc(m.g.members, func(x *member) bool { return x == m })
}

// index returns the member's number from the task id "<job>/<attempt>/<index>", -1 when malformed.
func index(t model.TaskID) int {
	s := string(t)
	n, err := strconv.Atoi(s[strings.LastIndexByte(s, '/')+1:])
	if err != nil {
		return -1
	}
	return n
}
