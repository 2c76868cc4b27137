package dispatcher

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// headroomRise and headroomFall are the time constants of the level of a priority: it follows a rise fast, and a lull
	// only slowly, since the next such job comes within seconds.
	headroomRise = 500 * time.Millisecond
	headroomFall = 8 * time.Second
	// headroomMost bounds the part of the fleet that is kept from any priority: while less than half of it is in use, no
	// work waits.
	headroomMost = 0.5
	// headroomFrom is the part of the fleet in use from which workers are kept; below it there is room for all.
	headroomFrom = 0.5
	// observeEvery is the pause between observations while no work waits.
	observeEvery = 500 * time.Millisecond
	// keptFor is how long a gang waits for the same workers before it looks for others that empty sooner.
	keptFor = 4 * time.Second
)

// usage is a number of workers by priority.
type usage [maxPriorities]float64

// headroom follows, for each priority, how many workers its work fills, and what of it waits would fill.
//
// The workers stand in a fixed order, and the first of them are kept for the most urgent priority, the next for the one
// after it, and so on. Less urgent work that spread over the whole fleet would take the last free part of each worker and
// rack, so that each urgent gang would have to stop some of it.
type headroom struct {
	levels usage
	at     time.Time
}

// observe takes the need of now.
func (h *headroom) observe(need *usage, now time.Time) {
	if h.at.IsZero() {
		h.at = now
	}
	for p, n := range need {
		tau := headroomFall
		if n > h.levels[p] {
			tau = headroomRise
		}
		w := 1 - math.Exp(-now.Sub(h.at).Seconds()/tau.Seconds())
		h.levels[p] += w * (n - h.levels[p])
	}
	h.at = now
}

// from returns the number of workers that are kept from a priority, out of those that take tasks.
func (h *headroom) from(p model.Priority, open int) int {
	sum := 0.0
	for q := range level(p) {
		sum += h.levels[q]
	}
	return int(min(sum, headroomMost*float64(open)))
}

// level returns the index of a priority in a usage; the last one stands for all that are less urgent still.
func level(p model.Priority) int {
	return min(int(p), maxPriorities-1)
}

// pool is what a pass knows of the workers of a service.
type pool struct {
	open     int             // workers that take tasks
	capacity model.Resources // of all of them
	used     float64         // workers that runs fill
	need     usage
}

// mean returns the capacity of a worker of the pool.
func (l *pool) mean() model.Resources {
	n := max(1, l.open)
	return model.Resources{
		Cores: l.capacity.Cores / model.MilliCores(n), MemoryMB: l.capacity.MemoryMB / model.Megabytes(n),
		Accelerators: l.capacity.Accelerators / model.Accelerators(n),
	}
}

// add counts tasks of a priority as needed, and returns how many workers they fill.
func (l *pool) add(p model.Priority, need model.Resources, tasks int) float64 {
	n := placer.DominantShare(need, l.mean()) * float64(tasks)
	l.need[level(p)] += n
	return n
}

// reserve numbers the nodes of each service that take tasks, and observes what each priority needs of them.
func (p *plan) reserve(units []*unit) {
	for _, n := range p.nodes {
		l := p.pool(n.Service)
		n.ServiceIndex = l.open
		if !n.Unschedulable {
			l.open++
			l.capacity = l.capacity.Add(n.Capacity)
		}
	}
	for _, w := range p.d.workers {
		for _, r := range w.runs {
			if r.task != nil && (r.state == runStarting || r.state == runRunning) {
				l := p.pool(w.info.Service)
				l.used += l.add(r.task.step.job.sub.Queue.Priority, r.need, 1)
			}
		}
	}
	for _, u := range units {
		q := u.step.job.sub.Queue
		p.pool(q.Service).add(q.Priority, u.step.spec.Need, len(u.tasks))
	}
	for id, l := range p.pools {
		if p.d.headroom[id] == nil {
			p.d.headroom[id] = &headroom{}
		}
		p.d.headroom[id].observe(&l.need, p.now)
	}
	p.d.observedAt = p.now
}

func (p *plan) pool(id model.ServiceID) *pool {
	l := p.pools[id]
	if l == nil {
		l = &pool{}
		p.pools[id] = l
	}
	return l
}

// from returns how many of the first workers of its service are kept from the unit.
//
// A task of its own with checkpoints loses little when it gives way; one that lasts, or is bound to certain workers, does
// not wait for others. A gang always has twice the workers that it needs.
func (p *plan) from(u *unit) int {
	spec, q := u.step.spec, u.step.job.sub.Queue
	h := p.d.headroom[q.Service]
	if h == nil || !spec.Gang && spec.Resumable || spec.LongRunning || spec.Label != "" || spec.NearRack != "" {
		return 0
	}
	l := p.pool(q.Service)
	if l.used < headroomFrom*float64(l.open) {
		return 0
	}
	n := h.from(q.Priority, l.open)
	if spec.Gang {
		n = min(n, l.open-2*int(math.Ceil(placer.DominantShare(spec.Need, l.mean())*float64(len(u.tasks)))))
	}
	return max(n, 0)
}

// keepRoom keeps less urgent work off the workers that a waiting gang needs, so that they empty.
func (p *plan) keepRoom(u *unit, r *placer.Request) {
	s := u.step
	if !s.spec.Gang {
		return
	}
	if p.now.After(s.keptUntil) || len(s.kept) > 0 && !p.usable(s.kept) {
		p.fill()
		r.MinimizeWait = true
		places, _ := p.d.reclaimer.Plan(p.nodes, r)
		s.kept, s.keptUntil = s.kept[:0], p.now.Add(keptFor)
		for _, n := range places {
			s.kept = append(s.kept, p.workers[n])
		}
	}
	for _, w := range s.kept {
		placer.Reserve(p.node[w], s.spec.Need)
	}
}

// keepVacated keeps the room of the members of an interrupted gang that have ended, until the gang is ready again.
func (p *plan) keepVacated(s *step) {
	for _, t := range s.tasks {
		if n := p.node[t.last]; n != nil && t.active == nil {
			placer.Reserve(n, s.spec.Need)
		}
	}
}

// usable reports whether all workers take tasks.
func (p *plan) usable(workers []*worker) bool {
	for _, w := range workers {
		if n := p.node[w]; n == nil || n.Unschedulable {
			return false
		}
	}
	return true
}
