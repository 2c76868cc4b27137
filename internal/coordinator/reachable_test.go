package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxIdle is the maximum time for which a task waits while a worker that may run it is sound and free.
const maxIdle = 3 * time.Second

// labelledJob returns a job with one task of a second, which only workers with the label may run.
func labelledJob(id, label string) *model.Submission {
	return job(id, 1, time.Second, model.Step{Count: 1, Need: accelerators(2), Label: label})
}

// setLabels gives each worker of the platform's list its ID as a label.
func (c *cluster) setLabels() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append([]model.Worker(nil), c.workers...)
	for i := range c.workers {
		c.workers[i].Labels = []string{string(c.workers[i].ID)}
	}
}

// Guards against a worker that gets no tasks for the rest of the term because a start request could not be sent to it once.
func TestWorkerIsUsedAgainOnceItIsReachable(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 5500 * time.Millisecond, time.Minute} {
		runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
			c.setLabels()
			time.Sleep(time.Second)
			c.setWorkerFault("w0-0", worker.FaultConnectionRefused)
			c.submit(labelledJob("during", "w0-0"))
			time.Sleep(outage)
			c.setWorkerFault("w0-0", worker.NoFault)
			is.True(c.awaitEnd(time.Minute, "during") < time.Second+maxIdle)
			c.submit(labelledJob("after", "w0-0"))
			is.True(c.awaitEnd(time.Minute, "after") < time.Second+maxIdle)
		})
	}
}
