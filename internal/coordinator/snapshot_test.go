package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// unwritableLog is a log that a host can read, but to which its appends get no response.
type unwritableLog struct {
	journaler.Log
	on atomic.Bool
}

// Append implements journaler.Log.
func (l *unwritableLog) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	if l.on.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, records, c)
}

// Guards against a leader that loads a snapshot with the term of its successor and starts the jobs of that term, too.
func TestSnapshotWithLaterTermEndsTerm(t *testing.T) {
	runInCluster(t, 1, 2, 2, 2, func(c *cluster, is *is.I) {
		former := c.leader()
		unwritable := &unwritableLog{}
		former.restartWith(func() {
			former.wrapLog = func(l journaler.Log) journaler.Log {
				unwritable.Log = l
				return unwritable
			}
		})
		for c.awaitLeader() != former {
			c.leader().restartWith(func() {})
			time.Sleep(3 * time.Second)
		}
		for _, id := range []model.HostID{"w0-0", "w0-1"} { // the successor reaches only the other rack
			for _, h := range c.hosts {
				if h != former {
					h.setWorkerFault(id, worker.FaultRequestLost)
				}
			}
		}
		for _, id := range []model.HostID{"w1-0", "w1-1"} {
			former.setWorkerFault(id, worker.FaultRequestLost)
		}
		time.Sleep(2500 * time.Millisecond) // calls in flight end
		unwritable.on.Store(true)
		former.setLogFault(log.FaultUnavailable)
		time.Sleep(2500 * time.Millisecond)
		c.submit(job("new", 1, 5*time.Second, model.Step{Count: 2, Need: accelerators(8)}))
		time.Sleep(300 * time.Millisecond) // the successor reads the job
		c.log.Expire("jobs")
		former.setLogFault(log.NoFault)
		time.Sleep(3 * time.Second)
		is.True(!former.coordinator.IsLeader())
		c.awaitEnd(time.Minute, "new")
	})
}
