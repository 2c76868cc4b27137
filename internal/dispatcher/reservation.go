package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// reservation reserves resources of workers for waiting tasks of a step while the runs preempted for them are stopping.
type reservation struct {
	tasks   []*task
	workers []*worker // worker of the task with the same index
}

// freeResources returns the resources of a worker that are available for new runs, and those that no run uses.
//
// Reservations use the resources that stopping runs release, so only the larger of the two amounts is subtracted.
func (p *schedulingPass) freeResources(w *worker) (free, unused model.Resources) {
	active, stopping := w.usedResources()
	inactive := w.info.Capacity.Sub(active)
	return inactive.Sub(stopping.Max(p.reserved[w])), inactive.Sub(stopping)
}

// reservedResources returns the reserved resources of each worker, and drops reservations that are no longer valid.
func (d *Dispatcher) reservedResources(now time.Time) map[*worker]model.Resources {
	out := map[*worker]model.Resources{}
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.reservation == nil {
				continue
			}
			if !s.isReady(now) || !s.reservation.isValid(s.spec.Need, now) {
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

// isValid reports whether all tasks of the reservation still wait for a run, and whether all its workers are schedulable and will
// have room for them once the preempted runs have ended. A worker whose capacity has shrunk may not.
func (r *reservation) isValid(need model.Resources, now time.Time) bool {
	reserved := map[*worker]model.Resources{}
	for i, t := range r.tasks {
		w := r.workers[i]
		if t.done || t.activeRun != nil || !w.isSchedulable(now) {
			return false
		}
		reserved[w] = reserved[w].Add(need)
		if active, _ := w.usedResources(); !w.info.Capacity.Sub(active).CanFit(reserved[w]) {
			return false
		}
	}
	return len(r.tasks) > 0
}

// dropPlans drops what is reserved or held on a worker for waiting steps. After a restart, the worker may not be able to run them.
func (d *Dispatcher) dropPlans(w *worker) {
	for _, j := range d.jobs {
		for _, s := range j.steps {
			if s.reservation != nil && slices.Contains(s.reservation.workers, w) {
				s.reservation = nil
			}
			if slices.Contains(s.heldWorkers, w) {
				s.heldWorkers, s.heldUntil = nil, time.Time{}
			}
		}
	}
}
