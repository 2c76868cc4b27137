package dispatcher

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// headroomRiseTime and headroomDecayTime are the time constants with which the smoothed demand of a priority follows a
	// rise and a fall. It falls slowly because the next job of the priority usually arrives within seconds.
	headroomRiseTime  = 500 * time.Millisecond
	headroomDecayTime = 8 * time.Second
	// maxHeadroomShare is the largest share of the workers that is withheld from a priority. No work waits while less than
	// half of the fleet is in use.
	maxHeadroomShare = 0.5
	// minUseForHeadroom is the share of the workers in use below which nothing is withheld, because there is room for all work.
	minUseForHeadroom = 0.5
	// headroomInterval is the time between headroom updates while no work is waiting.
	headroomInterval = 500 * time.Millisecond
	// gangHoldTime is how long a waiting gang holds the same workers before it looks for others that become free sooner.
	gangHoldTime = 4 * time.Second
)

// workersByPriority is a number of workers per priority; fractions are partly used workers.
type workersByPriority [maxPriorities]float64

// headroom tracks the demand of each priority: the number of workers that its running and waiting work fills.
//
// The workers have a fixed order. The first ones are kept free for the most urgent priority, the next ones for the priority
// after it, and so on. Otherwise less urgent work spreads over the whole fleet and takes the last free capacity of each
// worker and rack, so that every urgent gang has to preempt some of it.
type headroom struct {
	demand    workersByPriority // smoothed
	updatedAt time.Time
}

// observe updates the smoothed demand with the current one.
func (h *headroom) observe(demand *workersByPriority, now time.Time) {
	if h.updatedAt.IsZero() {
		h.updatedAt = now
	}
	for p, n := range demand {
		tau := headroomDecayTime
		if n > h.demand[p] {
			tau = headroomRiseTime
		}
		weight := 1 - math.Exp(-now.Sub(h.updatedAt).Seconds()/tau.Seconds())
		h.demand[p] += weight * (n - h.demand[p])
	}
	h.updatedAt = now
}

// withheldFrom returns how many of the schedulable workers are withheld from a priority.
func (h *headroom) withheldFrom(p model.Priority, schedulable int) int {
	sum := 0.0
	for q := range priorityIndex(p) {
		sum += h.demand[q]
	}
	return int(min(sum, maxHeadroomShare*float64(schedulable)))
}

// priorityIndex returns the index of a priority in workersByPriority. The last index covers all less urgent priorities.
func priorityIndex(p model.Priority) int {
	return min(int(p), maxPriorities-1)
}

// servicePool sums up the workers of a service during a pass.
type servicePool struct {
	schedulable int             // number of schedulable workers
	capacity    model.Resources // total capacity of the schedulable workers
	inUse       float64         // number of workers that runs fill
	demand      workersByPriority
}

// meanCapacity returns the mean capacity of the schedulable workers.
func (s *servicePool) meanCapacity() model.Resources {
	n := max(1, s.schedulable)
	return model.Resources{
		Cores: s.capacity.Cores / model.MilliCores(n), MemoryMB: s.capacity.MemoryMB / model.Megabytes(n),
		Accelerators: s.capacity.Accelerators / model.Accelerators(n),
	}
}

// addDemand adds tasks to the demand of a priority, and returns how many workers they fill.
func (s *servicePool) addDemand(p model.Priority, need model.Resources, tasks int) float64 {
	n := placer.DominantShare(need, s.meanCapacity()) * float64(tasks)
	s.demand[priorityIndex(p)] += n
	return n
}

// updateHeadroom numbers the schedulable nodes of each service, and updates the demand of each priority for them.
func (p *schedulingPass) updateHeadroom(units []*placementUnit) {
	for _, n := range p.nodes {
		pool := p.pool(n.Service)
		n.ServiceIndex = pool.schedulable
		if !n.Unschedulable {
			pool.schedulable++
			pool.capacity = pool.capacity.Add(n.Capacity)
		}
	}
	for _, w := range p.d.workers {
		for _, r := range w.runs {
			if r.task != nil && (r.state == runStarting || r.state == runRunning) {
				pool := p.pool(w.info.Service)
				pool.inUse += pool.addDemand(r.task.step.job.submission.Queue.Priority, r.need, 1)
			}
		}
	}
	for _, u := range units {
		q := u.step.job.submission.Queue
		p.pool(q.Service).addDemand(q.Priority, u.step.spec.Need, len(u.tasks))
	}
	for id, pool := range p.pools {
		if p.d.headroom[id] == nil {
			p.d.headroom[id] = &headroom{}
		}
		p.d.headroom[id].observe(&pool.demand, p.now)
	}
	p.d.headroomUpdatedAt = p.now
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

// headroomNodes returns how many of the first nodes of its service are withheld from the unit.
//
// Nothing is withheld from single tasks with checkpoints, which lose little when they are preempted, nor from long-running
// tasks and tasks that are bound to certain workers or racks. A gang can always use at least twice the workers that it needs.
func (p *schedulingPass) headroomNodes(u *placementUnit) int {
	spec, q := u.step.spec, u.step.job.submission.Queue
	h := p.d.headroom[q.Service]
	if h == nil || !spec.Gang && spec.Resumable || spec.LongRunning || spec.Label != "" || spec.NearRack != "" {
		return 0
	}
	pool := p.pool(q.Service)
	if pool.inUse < minUseForHeadroom*float64(pool.schedulable) {
		return 0
	}
	n := h.withheldFrom(q.Priority, pool.schedulable)
	if spec.Gang {
		n = min(n, pool.schedulable-2*int(math.Ceil(placer.DominantShare(spec.Need, pool.meanCapacity())*float64(len(u.tasks)))))
	}
	return max(n, 0)
}

// holdWorkers keeps less urgent work off the workers that a waiting gang needs, so that they become free.
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
		placer.TakeResources(p.nodeOf[w], s.spec.Need)
	}
}

// holdVacated holds the resources of those members of an interrupted gang that have ended, until the gang can start again.
func (p *schedulingPass) holdVacated(s *step) {
	for _, t := range s.tasks {
		if n := p.nodeOf[t.lastWorker]; n != nil && t.activeRun == nil {
			placer.TakeResources(n, s.spec.Need)
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
