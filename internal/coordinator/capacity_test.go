package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// setCapacity changes the capacity of a worker, which the platform lists.
func (c *cluster) setCapacity(i int, capacity model.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[i].Capacity = capacity
	c.fleet.SetCapacity(c.workers[i].ID, capacity, time.Now())
}

// Guards against starts beyond the capacity of workers that shrink and grow, and against jobs that wait forever for room that has gone.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 2, 4)
				defer c.close()
				c.awaitLeader()
				r := &randomRun{cluster: c}
				r.cancelled = map[model.JobID]bool{}
				whole := c.workers[0].Capacity
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(50+r.rng.IntN(400)) * time.Millisecond)
					switch r.rng.IntN(8) {
					case 0, 1, 2:
						share := r.rng.IntN(5) // quarters
						c.setCapacity(r.rng.IntN(len(c.workers)), model.Resources{
							Cores: whole.Cores * model.MilliCores(share) / 4, MemoryMB: whole.MemoryMB * model.Megabytes(share) / 4,
							Accelerators: whole.Accelerators * model.Accelerators(share) / 4,
						})
					case 3:
						r.injectFault()
					default:
						r.submitRandomJob()
					}
				}
				for i := range c.workers {
					c.setCapacity(i, whole)
				}
				r.clearFaults()
				r.awaitJobs()
				c.checkWorkerViolations()
			})
		})
	}
}
