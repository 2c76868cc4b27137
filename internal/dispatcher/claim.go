package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// reservation holds resources of workers for the tasks of a step while the preempted runs there are stopping.
type reservation struct {
	tasks   []*task
	workers []*worker // worker for each of the tasks
}

// freeResources returns the resources of a worker that a new run may use immediately.
//
// A reservation is served from the resources of stopping runs, so only the larger of the two is subtracted.
func (p *schedulingPass) freeResources(w *worker) model.Resources {
	active, stopping := w.usedResources()
	return w.info.Capacity.Sub(active).Sub(maxResources(stopping, p.reserved[w]))
}

// reservedResources returns the reserved resources per worker, and drops reservations that are no longer valid.
func (d *Dispatcher) reservedResources(now time.Time) map[*worker]model.Resources {
	out := map[*worker]model.Resources{}
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.reservation == nil {
				continue
			}
			if !s.isReady(now) || !s.reservation.isValid(now) {
				s.reservation = nil
				continue
			}
			for _, w := range s.reservation.workers {
				out[w] = out[w].Add(s.spec.Need)
			}
		}
	}
	return out
}

// isValid reports whether all tasks are still waiting and all workers are still schedulable.
func (r *reservation) isValid(now time.Time) bool {
	for i, t := range r.tasks {
		if t.done || t.activeRun != nil || !r.workers[i].isSchedulable(now) {
			return false
		}
	}
	return len(r.tasks) > 0
}

// maxResources returns the larger value of each resource.
func maxResources(a, b model.Resources) model.Resources {
	return model.Resources{
		Cores:        max(a.Cores, b.Cores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
