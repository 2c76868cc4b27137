package reserver

import (
	"math"
	"time"

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
)

// Reserver tracks the demand of each priority for the workers of a service, which is the number of workers that its running
// and waiting work fills. Headroom, the number of workers that are withheld from less urgent work, is derived from it. The zero value
// is ready to use.
//
// The workers have a fixed order. The first ones are withheld for the most urgent priority, the next ones for the priority
// after it, and so on. Without headroom, less urgent work spreads over the whole fleet and takes the last free capacity of
// each worker and rack, so that every urgent gang has to preempt some of it.
type Reserver struct {
	smoothed  workersByPriority // demand, smoothed over time
	updatedAt time.Time
}

// Request describes the waiting work of a step from which workers may be withheld.
type Request struct {
	Priority model.Priority
	Need     model.Resources // resources of each task
	Tasks    int
	Gang     bool
	Share    float64 // share of the headroom that is withheld from the step; see ShareAfter
}

// Observe updates the smoothed demand with that of a pass.
func (r *Reserver) Observe(pool *Pool, now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	for p, n := range pool.demand {
		tau := demandDecayTime
		if n > r.smoothed[p] {
			tau = demandRiseTime
		}
		weight := 1 - math.Exp(-now.Sub(r.updatedAt).Seconds()/tau.Seconds())
		r.smoothed[p] += weight * (n - r.smoothed[p])
	}
	r.updatedAt = now
}

// Withheld returns how many workers of the pool are withheld from a step, counted from the first one. A gang can always use at least
// twice the workers that it needs.
func (r *Reserver) Withheld(pool *Pool, q *Request) int {
	if pool.inUse < minUseForHeadroom*float64(pool.Schedulable) {
		return 0
	}
	n := r.withheldFrom(q.Priority, pool.Schedulable)
	if q.Gang {
		n = min(n, pool.Schedulable-2*int(math.Ceil(pool.workersFilled(q.Need, q.Tasks))))
	}
	return max(int(float64(n)*q.Share), 0)
}

// withheldFrom returns how many of the schedulable workers are withheld from work of a priority.
func (r *Reserver) withheldFrom(p model.Priority, schedulable int) int {
	sum := 0.0
	for q := range priorityIndex(p) {
		sum += r.smoothed[q]
	}
	return int(min(sum, maxHeadroomShare*float64(schedulable)))
}

// ShareAfter returns the share of the headroom that is withheld from tasks with checkpoints of a job that has waited for a time. From
// the end of its patience on, it falls from 1 to 0. It is 1 again after the slack has passed, because the job can no longer end within
// its target duration.
func ShareAfter(waited, patience, slack time.Duration) float64 {
	if waited <= patience || waited > slack {
		return 1
	}
	return float64(slack-waited) / float64(slack-patience)
}
