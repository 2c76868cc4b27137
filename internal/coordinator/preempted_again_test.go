package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a step that never preempts less urgent work because one of its tasks is preempted again and again.
func TestStepThatIsPreemptedAgainAndAgainPreempts(t *testing.T) {
	runInCluster(t, 1, 2, 1, 4, func(c *cluster, is *is.I) {
		c.mu.Lock()
		c.workers[0].Labels = []string{"only"}
		c.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		c.submit(job("first", 0, 900*time.Millisecond, model.Step{Count: 1, Need: accelerators(8), Label: "only"}))
		c.awaitStart("first/0/0/0")
		c.submit(job("batch", 2, 2*time.Minute, model.Step{Count: 3, Need: accelerators(8)}))
		c.awaitStart("batch/0/0/2")
		middle := job("middle", 1, 20*time.Second, model.Step{Count: 2, Need: accelerators(8)})
		middle.Queue.TargetStretch, middle.Queue.TargetOffsetMS = 1.5, 0 // 10 s of slack
		c.submit(middle)
		for i := range 10 { // its task on the first worker is preempted every 1.2 s
			time.Sleep(1200 * time.Millisecond)
			c.submit(job(fmt.Sprint("urgent-", i), 0, 500*time.Millisecond, model.Step{Count: 1, Need: accelerators(8), Label: "only"}))
		}
		starts := c.fleet.LedgerReport().StartsByTask
		is.True(starts["middle/0/0/1"] > 0) // within its slack and the pause after that
	})
}
