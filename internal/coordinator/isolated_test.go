package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a leader that is cut off with some workers and keeps their tasks running beside its successor.
func TestIsolatedLeaderKeepsNoTasksBesideSuccessor(t *testing.T) {
	runInCluster(t, 1, 3, 2, 4, func(c *cluster, is *is.I) {
		c.submit(job("long", 1, 20*time.Second, model.Step{Count: 4, Need: accelerators(8)}))
		testIsolatedLeader(c, is, "long")
	})
}

// Guards against a leader that is cut off with some workers and starts tasks there that its successor starts, too.
func TestIsolatedLeaderStartsNoTasksBesideSuccessor(t *testing.T) {
	runInCluster(t, 1, 3, 2, 4, func(c *cluster, is *is.I) {
		s := job("timed", 1, 6*time.Second, model.Step{Count: 4, Need: accelerators(8)})
		s.ScheduledOccurrences, s.FirstAtMS = 1, time.Now().Add(12*time.Second).UnixMilli()
		c.submit(s)
		testIsolatedLeader(c, is, "timed")
	})
}

// testIsolatedLeader cuts off the leader and the workers that run the job, and checks that the job is finished after the cut.
func testIsolatedLeader(c *cluster, is *is.I, id model.JobID) {
	isolated := c.leader()
	time.Sleep(time.Second)
	c.cutOff(isolated, "w0-0", "w0-1", "w0-2", "w0-3")
	time.Sleep(30 * time.Second)
	is.True(c.leader() != nil)
	c.heal()
	c.awaitEnd(2*time.Minute, id)
	is.Equal(c.state(id), model.JobFinished)
}

// cutOff separates a host and some workers from the log, the other hosts and the other workers.
func (c *cluster) cutOff(h *testHost, ids ...model.HostID) {
	h.setLogFault(log.FaultRequestLost)
	for _, info := range c.workers {
		h.setWorkerFault(info.ID, worker.FaultRequestLost)
	}
	for _, id := range ids {
		for _, other := range c.hosts {
			other.setWorkerFault(id, worker.FaultRequestLost)
		}
		h.setWorkerFault(id, worker.NoFault)
	}
}

// heal ends cutOff.
func (c *cluster) heal() {
	for _, h := range c.hosts {
		h.setLogFault(log.NoFault)
		for _, info := range c.workers {
			h.setWorkerFault(info.ID, worker.NoFault)
		}
	}
}

// Guards against running tasks that end in an outage of the log because the leader can't confirm its term.
func TestRunsSurviveOutageOfLog(t *testing.T) {
	for _, fault := range []log.CallFault{log.FaultUnavailable, log.FaultRequestLost, log.FaultResponseLost} {
		runInCluster(t, 1, 2, 1, 4, func(c *cluster, is *is.I) {
			c.submit(job("long", 1, 15*time.Second, model.Step{Count: 4, Need: accelerators(8)}))
			time.Sleep(time.Second)
			c.setLogFault(fault)
			time.Sleep(testLease)
			c.setLogFault(log.NoFault)
			c.awaitEnd(time.Minute, "long")
			is.Equal(c.state("long"), model.JobFinished)
			for _, starts := range c.fleet.LedgerReport().StartsByTask {
				is.Equal(starts, 1)
			}
		})
	}
}
