package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// finishTime is the time after the end of all faults within which work that could run is running.
const finishTime = 14 * time.Second

// Guards against a task that never starts again because it has failed once on the only worker that may run it.
func TestOnlyWorkerOfTaskIsUsedAgainAfterFailure(t *testing.T) {
	runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
		c.setLabels()
		time.Sleep(time.Second)
		c.fleet.SetFailRuns("w0-0", true)
		s := labelledJob("j", "w0-0")
		s.Queue.MaxAttempts = 4
		c.submit(s)
		time.Sleep(6500 * time.Millisecond)
		c.fleet.SetFailRuns("w0-0", false)
		is.True(c.awaitEnd(time.Minute, "j") < finishTime)
		is.Equal(c.state("j"), model.JobFinished)
	})
}

// Guards against a task that never starts again because the only worker that may run it has not answered a start request once.
func TestOnlyWorkerOfTaskIsUsedAgainAfterLostStart(t *testing.T) {
	runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
		c.setLabels()
		time.Sleep(time.Second)
		c.setWorkerFault("w0-0", worker.FaultRequestLost)
		c.submit(labelledJob("j", "w0-0"))
		time.Sleep(5500 * time.Millisecond)
		c.setWorkerFault("w0-0", worker.NoFault)
		is.True(c.awaitEnd(time.Minute, "j") < finishTime)
		is.Equal(c.state("j"), model.JobFinished)
	})
}

// Guards against a gang that needs every worker and never starts again because it has failed on one of them.
func TestGangIsStartedAgainOnAllWorkers(t *testing.T) {
	runInCluster(t, 1, 2, 1, 3, func(c *cluster, is *is.I) {
		time.Sleep(time.Second)
		c.fleet.SetFailRuns("w0-1", true)
		s := job("j", 1, time.Second, model.Step{Count: 3, Need: accelerators(8), Gang: true, OneRack: true})
		s.Queue.MaxAttempts = 4
		c.submit(s)
		time.Sleep(2 * time.Second)
		c.fleet.SetFailRuns("w0-1", false)
		is.True(c.awaitEnd(time.Minute, "j") < finishTime)
		is.Equal(c.state("j"), model.JobFinished)
	})
}
