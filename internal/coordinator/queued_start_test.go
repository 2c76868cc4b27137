package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a start request that waits behind others, and is sent after its run was dropped and its worker has restarted.
func TestQueuedStartIsNotSentAfterItsLease(t *testing.T) {
	t.Parallel()
	for _, silence := range []time.Duration{10500, 11500, 13000, 14500, 16000, 18000, 20000} {
		t.Run(fmt.Sprint(int(silence)), func(t *testing.T) {
			runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
				time.Sleep(40 * time.Second)
				c.setWorkerFault("w0-0", worker.FaultRequestLost)
				c.submit(job("many", 1, 30*time.Second, model.Step{Count: 100, Need: model.Resources{Cores: 320, MemoryMB: 100}}))
				time.Sleep(silence * time.Millisecond)
				c.fleet.RestartWorker("w0-0", time.Now())
				c.setWorkerFault("w0-0", worker.NoFault)
				c.awaitEnd(3*time.Minute, "many")
				is.Equal(c.state("many"), model.JobFinished)
			})
		})
	}
}
