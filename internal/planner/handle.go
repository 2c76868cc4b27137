package planner

import (
	"context"
	"maps"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func (p *Planner) handle(ctx context.Context, m Message) {
	p.dirty = true
	switch m := m.(type) {
	case ConfigChanged:
		p.configChanged(ctx, m.Set)
	case JobChanged:
		p.jobChanged(ctx, m.Event)
	case JobsReplaced:
		p.jobsReplaced(ctx, m.Live)
	case JobsCaughtUp:
		p.caughtUp, p.next = m.CaughtUp, m.Next
	case HostsListed:
		p.post(ctx, reserver.Hosts{Hosts: m.Hosts, ReadAt: m.ReadAt})
	case Chosen:
		p.choose(ctx, m)
	case TermSeen:
		p.post(ctx, reserver.TermSeen{Term: m.Term})
	case UsedElsewhere:
		p.elsewhere = m.Used
		if p.sched != nil {
			p.sched.SetUsedElsewhere(m.Used)
		}
	case recorded:
		p.recorded(ctx, m)
	case query:
		m.f(p)
		close(m.done)
	}
}

func (p *Planner) configChanged(ctx context.Context, set *model.Set) {
	p.set = set
	inv := reserver.Inventory{Racks: map[model.RackID]reserver.Resources{}}
	for id, r := range set.FailureDomains[p.cfg.Domain].Racks {
		inv.Racks[id] = reserver.Resources{Accelerators: r.Accelerators, Cores: r.Cores, MemoryMB: r.MemoryMB}
		for i := range r.Workers {
			inv.Positions = append(inv.Positions, reserver.Position{Rack: id, Index: i})
		}
	}
	p.post(ctx, inv)
	if p.sched == nil {
		return
	}
	p.sched.SetConfig(set, p.cfg.Domain)
	for _, h := range p.workers {
		p.upsert(h)
	}
}

func (p *Planner) choose(ctx context.Context, m Chosen) {
	p.chosen = m.Self
	active := p.role == reserver.RolePlanner || p.role == reserver.RoleTakingOver
	if !m.Self && m.Other != "" && active {
		p.post(ctx, reserver.StepDown{Reason: "host " + string(m.Other) + " is chosen"})
	}
}

func (p *Planner) jobsReplaced(ctx context.Context, live []reducer.Job) {
	old := p.jobs
	p.jobs = make(map[model.JobID]reducer.Job, len(live))
	for _, j := range live {
		if j.Home == p.cfg.Domain {
			p.jobs[j.Spec.ID] = j
		}
	}
	// The snapshot may cover the ends and moves of jobs whose records this host never read.
	for id := range old {
		if _, ok := p.jobs[id]; !ok {
			delete(p.decided, id)
			p.forget(ctx, id)
		}
	}
	if p.sched == nil {
		return
	}
	for _, j := range p.inOrder() {
		p.submit(ctx, j)
	}
}

func (p *Planner) jobChanged(ctx context.Context, e reducer.JobEvent) {
	j := e.Job
	id := j.Spec.ID
	mine := j.Home == p.cfg.Domain
	switch e.Kind {
	case reducer.JobAccepted:
		if mine {
			p.jobs[id] = j
			p.submit(ctx, j)
		}
	case reducer.JobStarted:
		if mine {
			p.jobs[id] = j
		}
	case reducer.JobCancel:
		if mine {
			p.jobs[id] = j
			p.cancel(ctx, j)
		}
	case reducer.JobEnded:
		delete(p.jobs, id)
		delete(p.decided, id)
		p.forget(ctx, id)
	case reducer.JobRehomed:
		p.rehomed(ctx, j, e.From)
	case reducer.JobRepeated, reducer.JobsReplaced:
	}
}

func (p *Planner) rehomed(ctx context.Context, j reducer.Job, from model.DomainID) {
	if from == p.cfg.Domain {
		delete(p.jobs, j.Spec.ID)
		p.forget(ctx, j.Spec.ID)
	}
	if j.Home == p.cfg.Domain {
		p.jobs[j.Spec.ID] = j
		p.submit(ctx, j)
	}
}

// submit hands a live job to the scheduler, or ends it when its cancellation was asked for.
func (p *Planner) submit(ctx context.Context, j reducer.Job) {
	if p.sched == nil || p.decided[j.Spec.ID] {
		return
	}
	if j.CancelRequested {
		p.cancel(ctx, j)
		return
	}
	p.sched.Submit(j.Job, time.Now())
}

// cancel ends a job: a waiting one at once, a running one when its gang has stopped.
func (p *Planner) cancel(ctx context.Context, j reducer.Job) {
	if p.sched == nil || p.decided[j.Spec.ID] {
		return
	}
	id, holds := p.sched.Cancel(j.Spec.ID, time.Now())
	if !holds {
		p.end(ctx, reducer.Ended{Job: j.Spec.ID, Domain: p.cfg.Domain, Attempt: j.Attempt, State: model.JobCancelled}, "")
		return
	}
	if g, ok := p.gangs[id]; ok {
		g.cancelled = true
	}
	p.post(ctx, reserver.StopGang{Gang: id, Reason: "cancelled"})
}

// forget drops a job that has its outcome or another home; a gang of it must not go on.
func (p *Planner) forget(ctx context.Context, id model.JobID) {
	if p.sched == nil {
		return
	}
	if gang, holds := p.sched.Cancel(id, time.Now()); holds {
		p.post(ctx, reserver.StopGang{Gang: gang, Reason: "the job has ended"})
	}
}

func (p *Planner) recorded(ctx context.Context, m recorded) {
	if m.gang != "" {
		delete(p.gangs, m.gang)
		p.post(ctx, reserver.Acknowledge{Gang: m.gang})
	}
}

// inOrder returns the live jobs of the domain in the order of acceptance.
func (p *Planner) inOrder() []reducer.Job {
	return slices.SortedFunc(maps.Values(p.jobs), func(a, b reducer.Job) int {
		if a.Offset != b.Offset {
			return int(a.Offset - b.Offset)
		}
		return a.Index - b.Index
	})
}
