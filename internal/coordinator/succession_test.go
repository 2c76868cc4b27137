package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
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

// Guards against an adopted run that is dropped while it goes on, because its former leader did not know that the worker had restarted.
func TestAdoptedRunMayHoldLongestLease(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		time.Sleep(12 * time.Second)
		for _, w := range c.workers {
			c.fleet.RestartWorker(w.ID, time.Now())
		}
		c.submit(job("long", 1, 9900*time.Millisecond, model.Step{Count: 1, Need: accelerators(8)}))
		for len(c.fleet.LedgerReport().StartsByTask) == 0 {
			time.Sleep(time.Millisecond)
		}
		c.leader().cancel()
		time.Sleep(1300 * time.Millisecond)
		busy := c.awaitBusyWorker()
		c.setWorkerFault(busy.ID, worker.FaultRequestLost)
		var others []model.Worker
		for _, w := range c.workers {
			if w.ID != busy.ID {
				others = append(others, w)
			}
		}
		c.setListed(others...)
		time.Sleep(20 * time.Second)
		c.setWorkerFault(busy.ID, worker.NoFault)
		c.awaitEnd(time.Minute, "long")
		is.Equal(c.state("long"), model.JobFinished)
	})
}

// awaitBusyWorker waits until a leader knows a run, and returns its worker.
func (c *cluster) awaitBusyWorker() model.Worker {
	for {
		time.Sleep(5 * time.Millisecond)
		for _, st := range c.awaitLeader().coordinator.WorkerStatuses(context.Background()) {
			for _, w := range c.workers {
				if w.ID == st.Worker && st.InUse > 0 {
					return w
				}
			}
		}
	}
}
