package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a task that runs twice because the lease on an idle worker with a slow clock outlasts what a successor waits.
func TestLeaseOnSlowClockEndsBeforeSuccessorStarts(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, time.Minute, 5 * time.Minute, 30 * time.Minute} {
		runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
			for _, w := range c.workers {
				c.fleet.SetClockRate(w.ID, 1/1.02)
			}
			time.Sleep(idle)
			c.submit(job("long", 1, 30*time.Second, model.Step{Count: 1, Need: accelerators(8)}))
			time.Sleep(50 * time.Millisecond) // the task has started and its lease was renewed
			former := c.leader()
			c.setWorkerFault("w0-0", worker.FaultRequestLost)
			former.restartWith(func() {}) // the same host becomes the leader at once
			time.Sleep(3 * testLease)
			c.setWorkerFault("w0-0", worker.NoFault)
			c.awaitEnd(time.Minute, "long")
			is.Equal(c.state("long"), model.JobFinished)
		})
	}
}
