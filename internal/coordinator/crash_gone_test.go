package coordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a task that takes down idle workers for good, one after another, and is never found because none responds again.
func TestTaskThatTakesIdleWorkersForGoodIsGivenUp(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		runInCluster(t, seed, 2, 2, 12, func(c *cluster, is *is.I) {
			c.submit(crashingJob("deadly", 8))
			c.removeCrashedWorkers(2*time.Minute, "deadly")
			is.Equal(c.state("deadly"), model.JobFailed)
			is.True(c.fleet.LedgerReport().StartsByTask["deadly/0/0/0"] <= 5) // maxCrashes and these two
		})
	}
}

// removeCrashedWorkers lets no worker that crashes come back, and removes its entry after 3 s, until a job has failed.
func (c *cluster) removeCrashedWorkers(timeout time.Duration, job model.JobID) {
	goneAt := map[model.HostID]time.Time{}
	for end := time.Now().Add(timeout); time.Now().Before(end) && c.state(job) != model.JobFailed; {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		left := slices.Clone(c.workers)
		for _, w := range left {
			if _, known := goneAt[w.ID]; !known && c.fleet.IsDown(w.ID, now) {
				goneAt[w.ID] = now
				c.fleet.StopWorker(w.ID, now)
			}
		}
		c.setListed(slices.DeleteFunc(left, func(w model.Worker) bool {
			at, known := goneAt[w.ID]
			return known && now.Sub(at) > 3*time.Second
		})...)
	}
}
