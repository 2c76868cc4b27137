package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// demandUpdateInterval is the time between updates of the smoothed demand while no work is waiting.
const demandUpdateInterval = 500 * time.Millisecond

// servicePool holds the totals of the workers of a service for one scheduling pass.
type servicePool struct {
	reserver.Pool
	ready resourceUse // use of the listed workers that are ready, schedulable or not
}

// updateDemand numbers the schedulable nodes of each service, and updates the smoothed demand of each priority for them.
func (p *schedulingPass) updateDemand(units []*placementUnit) {
	for _, n := range p.nodes {
		pool := p.pool(n.Service)
		n.ServiceIndex = pool.Schedulable
		if p.workerOf[n].mayGetTasks() {
			pool.ready.capacity = pool.ready.capacity.Add(n.Capacity)
		}
		if !n.Unschedulable {
			pool.AddWorker(n.Capacity)
		}
	}
	for _, w := range p.d.workers {
		for _, r := range w.runs {
			if r.task != nil && (r.state == runStarting || r.state == runRunning) {
				pool := p.pool(w.info.Service)
				pool.AddRun(r.task.step.job.submission.Queue.Priority, r.need, w.evacuated)
				if w.mayGetTasks() {
					pool.ready.used = pool.ready.used.Add(r.need)
				}
			}
		}
	}
	for _, u := range units {
		q := u.step.job.submission.Queue
		if p.d.fleet.CanRun(q.Service, u.step.spec) { // else no free worker is of use to it
			p.pool(q.Service).AddWaiting(q.Priority, u.step.spec.Need, len(u.tasks))
		}
	}
	for id, pool := range p.pools {
		if p.d.demand[id] == nil {
			p.d.demand[id] = &reserver.Reserver{}
		}
		p.d.demand[id].Observe(&pool.Pool, p.now)
	}
	p.d.demandUpdatedAt = p.now
}

// pool returns the pool of a service, and creates it if it does not exist.
func (p *schedulingPass) pool(id model.ServiceID) *servicePool {
	pool := p.pools[id]
	if pool == nil {
		pool = &servicePool{}
		p.pools[id] = pool
	}
	return pool
}

// withheldNodes returns how many nodes of its service are withheld from the unit, counted from the first one.
//
// Nothing is withheld from long-running tasks, or from tasks that are bound to certain workers or racks. Tasks with checkpoints lose
// little work when they are preempted, but each start takes the link and the processor of the leader, and they are preempted again and
// again while urgent gangs arrive. Less and less is withheld from them as the last part of their slack passes.
func (p *schedulingPass) withheldNodes(u *placementUnit) int {
	spec, q := u.step.spec, u.step.job.submission.Queue
	demand := p.d.demand[q.Service]
	if demand == nil || spec.LongRunning || spec.Label != "" || spec.NearRack != "" {
		return 0
	}
	r := reserver.Request{Priority: q.Priority, Need: spec.Need, Tasks: len(u.tasks), Gang: spec.Gang, Share: 1}
	if spec.Resumable {
		r.Share = u.step.job.withheldShare(p.now)
	}
	n := demand.Withheld(&p.pool(q.Service).Pool, &r)
	key := withheldKey{q.Service, q.Priority}
	p.withheld[key] = max(p.withheld[key], n)
	return n
}

// withheldShare returns the share of the headroom that is withheld from the job's tasks with checkpoints.
func (j *job) withheldShare(now time.Time) float64 {
	slack := j.slack()
	return reserver.ShareAfter(now.Sub(j.seenAt), preemptor.Patience(slack), slack)
}
