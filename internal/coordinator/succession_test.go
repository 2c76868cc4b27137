package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a leader without the log that starts tasks beside its successor, on workers that have restarted and know no fence.
func TestLeaderWithoutLogStartsNothingOnRestartedWorkers(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			runInCluster(t, uint64(phase), 3, 2, 4, func(c *cluster, is *is.I) {
				s := job("timed", 1, 6*time.Second, model.Step{Count: 4, Need: accelerators(8)})
				s.ScheduledOccurrences, s.FirstAtMS = 1, time.Now().Add(20*time.Second).UnixMilli()
				c.submit(s)
				time.Sleep(14*time.Second + time.Duration(phase)*17*time.Millisecond)
				former := c.leader()
				former.setLogFault(log.FaultRequestLost)
				time.Sleep(3 * time.Second) // all workers have reported to the successor
				for _, w := range c.workers {
					c.fleet.RestartWorker(w.ID, time.Now())
				}
				time.Sleep(30 * time.Second)
				former.setLogFault(log.NoFault)
				c.awaitEnd(2*time.Minute, "timed")
				is.Equal(c.state("timed"), model.JobFinished)
			})
		})
	}
}
