package worker

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// shrinkGrace is the time after which starts have to respect a capacity that has shrunk.
const shrinkGrace = 5500 * time.Millisecond

// SetCapacity changes the capacity of a worker. Its runs continue.
func (f *Fleet) SetCapacity(id model.HostID, capacity model.Resources, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.workers[id]
	if now.After(s.shrinkCountsAt) {
		s.formerCapacity = s.capacity
	}
	s.formerCapacity = s.formerCapacity.Max(s.capacity)
	s.capacity, s.shrinkCountsAt = capacity, now.Add(shrinkGrace)
}

// capacityForStarts returns the capacity that starts have to respect.
func (s *workerState) capacityForStarts(now time.Time) model.Resources {
	if now.Before(s.shrinkCountsAt) {
		return s.capacity.Max(s.formerCapacity)
	}
	return s.capacity
}

// SetSlowness sets the run times of the runs that start on a worker from now on, as a multiple of those in their payloads. A gang is as
// slow as its slowest worker.
func (f *Fleet) SetSlowness(id model.HostID, slowness float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].slowness = slowness
}
