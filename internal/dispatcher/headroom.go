package dispatcher

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// demandRiseTime and demandDecayTime are the time constants with which the smoothed demand of a priority follows a
	// rise and a fall. It falls slowly because the next job of the same priority usually arrives within seconds.
	demandRiseTime  = 500 * time.Millisecond
	demandDecayTime = 8 * time.Second
	// maxHeadroomShare is the maximum share of the schedulable workers of a service that is withheld from a priority, so that
	// no work waits while less than half of the fleet is in use.
	maxHeadroomShare = 0.5
	// minUseForHeadroom is the share of workers in use below which nothing is withheld, because there is room for all work.
	minUseForHeadroom = 0.5
	// demandUpdateInterval is the time between updates of the smoothed demand while no work is waiting.
	demandUpdateInterval = 500 * time.Millisecond
	// gangHoldTime is the time for which the same workers are held for a waiting gang, before others that become free sooner
	// are considered.
	gangHoldTime = 4 * time.Second
)

// workersByPriority holds a number of workers for each priority. A partly used worker counts as a fraction.
type workersByPriority [maxPriorities]float64

// priorityDemand tracks the demand of each priority for the workers of a service, which is the number of workers that its running
// and waiting work fills. Headroom, the number of workers that are withheld from less urgent work, is derived from it.
//
// The workers have a fixed order. The first ones are withheld for the most urgent priority, the next ones for the priority
// after it, and so on. Without headroom, less urgent work spreads over the whole fleet and takes the last free capacity of
// each worker and rack, so that every urgent gang has to preempt some of it.
type priorityDemand struct {
	smoothed  workersByPriority // demand, smoothed over time
	updatedAt time.Time
}

// observe updates the smoothed demand with the current demand.
func (d *priorityDemand) observe(current *workersByPriority, now time.Time) {
	if d.updatedAt.IsZero() {
		d.updatedAt = now
	}
	for p, n := range current {
		tau := demandDecayTime
		if n > d.smoothed[p] {
			tau = demandRiseTime
		}
		weight := 1 - math.Exp(-now.Sub(d.updatedAt).Seconds()/tau.Seconds())
		d.smoothed[p] += weight * (n - d.smoothed[p])
	}
	d.updatedAt = now
}

// withheldFrom returns how many of the schedulable workers are withheld from work of a priority.
func (d *priorityDemand) withheldFrom(p model.Priority, schedulable int) int {
	sum := 0.0
	for q := range priorityIndex(p) {
		sum += d.smoothed[q]
	}
	return int(min(sum, maxHeadroomShare*float64(schedulable)))
}

// priorityIndex returns the index of a priority in workersByPriority. The last index covers all less urgent priorities.
func priorityIndex(p model.Priority) int {
	return min(int(p), maxPriorities-1)
}

// servicePool holds the totals of the workers of a service for one scheduling pass.
type servicePool struct {
	schedulable int               // number of schedulable workers
	capacity    model.Resources   // total capacity of the schedulable workers
	inUse       float64           // number of workers that active runs fill, without those in evacuated failure domains
	demand      workersByPriority // current demand of each priority
	ready       resourceUse       // use of the listed workers that are ready, schedulable or not
}

// meanCapacity returns the mean capacity of the schedulable workers.
func (s *servicePool) meanCapacity() model.Resources {
	n := max(1, s.schedulable)
	return model.Resources{
		Cores: s.capacity.Cores / model.MilliCores(n), MemoryMB: s.capacity.MemoryMB / model.Megabytes(n),
		Accelerators: s.capacity.Accelerators / model.Accelerators(n),
	}
}

// addDemand adds a number of equal tasks to the demand of a priority, and returns how many workers they fill.
func (s *servicePool) addDemand(p model.Priority, need model.Resources, tasks int) float64 {
	n := placer.DominantShare(need, s.meanCapacity()) * float64(tasks)
	s.demand[priorityIndex(p)] += n
	return n
}

// updateDemand numbers the schedulable nodes of each service, and updates the smoothed demand of each priority for them.
func (p *schedulingPass) updateDemand(units []*placementUnit) {
	for _, n := range p.nodes {
		pool := p.pool(n.Service)
		n.ServiceIndex = pool.schedulable
		if p.workerOf[n].mayGetTasks() {
			pool.ready.capacity = pool.ready.capacity.Add(n.Capacity)
		}
		if !n.Unschedulable {
			pool.schedulable++
			pool.capacity = pool.capacity.Add(n.Capacity)
		}
	}
	for _, w := range p.d.workers {
		for _, r := range w.runs {
			if r.task != nil && (r.state == runStarting || r.state == runRunning) {
				pool := p.pool(w.info.Service)
				filled := pool.addDemand(r.task.step.job.submission.Queue.Priority, r.need, 1)
				if !w.evacuated {
					pool.inUse += filled
				}
				if w.mayGetTasks() {
					pool.ready.used = pool.ready.used.Add(r.need)
				}
			}
		}
	}
	for _, u := range units {
		q := u.step.job.submission.Queue
		p.pool(q.Service).addDemand(q.Priority, u.step.spec.Need, len(u.tasks))
	}
	for id, pool := range p.pools {
		if p.d.demand[id] == nil {
			p.d.demand[id] = &priorityDemand{}
		}
		p.d.demand[id].observe(&pool.demand, p.now)
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
// Nothing is withheld from long-running tasks, or from tasks that are bound to certain workers or racks. A gang can always use at
// least twice the workers that it needs. Tasks with checkpoints lose little work when they are preempted, but each start takes the
// link and the processor of the leader, and they are preempted again and again while urgent gangs arrive. Less and less is withheld
// from them as the last part of their slack passes.
func (p *schedulingPass) withheldNodes(u *placementUnit) int {
	spec, q := u.step.spec, u.step.job.submission.Queue
	demand := p.d.demand[q.Service]
	if demand == nil || spec.LongRunning || spec.Label != "" || spec.NearRack != "" {
		return 0
	}
	pool := p.pool(q.Service)
	if pool.inUse < minUseForHeadroom*float64(pool.schedulable) {
		return 0
	}
	n := demand.withheldFrom(q.Priority, pool.schedulable)
	if spec.Gang {
		n = min(n, pool.schedulable-2*int(math.Ceil(placer.DominantShare(spec.Need, pool.meanCapacity())*float64(len(u.tasks)))))
	}
	if spec.Resumable {
		n = int(float64(n) * u.step.job.withheldShare(p.now))
	}
	return max(n, 0)
}

// withheldShare returns the share of the headroom that is withheld from the job's tasks with checkpoints. From the end of its
// patience on, it falls from 1 to 0. It is 1 again after that, because the job can no longer end within its target duration.
func (j *job) withheldShare(now time.Time) float64 {
	slack := float64(j.slack())
	waited, patience := float64(now.Sub(j.seenAt)), float64(preemptor.Patience(j.slack()))
	if waited <= patience || waited > slack {
		return 1
	}
	return (slack - waited) / (slack - patience)
}

// holdWorkers holds the workers on which a waiting gang can start soonest, so that no less urgent work takes the resources that
// become free there.
func (p *schedulingPass) holdWorkers(u *placementUnit, r *placer.Request) {
	s := u.step
	if !s.spec.Gang {
		return
	}
	if p.now.After(s.heldUntil) || len(s.heldWorkers) > 0 && !p.allSchedulable(s.heldWorkers) {
		p.listPreemptible()
		r.MinimizeWait = true
		places, _ := p.d.preemptionPlanner.Plan(p.nodes, r)
		s.heldWorkers, s.heldUntil = s.heldWorkers[:0], p.now.Add(gangHoldTime)
		for _, n := range places {
			s.heldWorkers = append(s.heldWorkers, p.workerOf[n])
		}
	}
	for _, w := range s.heldWorkers {
		p.hold(p.nodeOf[w], s.spec.Need)
	}
}

// hold keeps resources of a node free of less urgent work, unless that finds ample room.
func (p *schedulingPass) hold(n *placer.Node, need model.Resources) {
	placer.TakeResources(n, need)
	p.held[n] = p.held[n].Add(need)
}

// holdVacatedResources holds the resources that ended members of an interrupted gang have released, until the gang can start
// again.
func (p *schedulingPass) holdVacatedResources(s *step) {
	for _, t := range s.tasks {
		if n := p.nodeOf[t.lastWorker]; n != nil && t.activeRun == nil {
			p.hold(n, s.spec.Need)
		}
	}
}

// allSchedulable reports whether all workers accept new tasks.
func (p *schedulingPass) allSchedulable(workers []*worker) bool {
	for _, w := range workers {
		if n := p.nodeOf[w]; n == nil || n.Unschedulable {
			return false
		}
	}
	return true
}
