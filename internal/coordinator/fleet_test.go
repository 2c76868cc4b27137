package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// setListed replaces the platform's list of workers.
func (c *cluster) setListed(workers ...model.Worker) {
	c.mu.Lock()
	c.workers = workers
	c.mu.Unlock()
}

// awaitStart waits until a worker has started a run of a task, and returns at once.
func (c *cluster) awaitStart(task string) {
	c.t.Helper()
	for range 20_000 {
		if c.fleet.LedgerReport().StartsByTask[task] > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.t.Fatalf("task %s has not started", task)
}

// crash ends the process of the host, which is not started again.
func (h *testHost) crash() { h.cancel() }

// replaceLeader crashes the leader and waits for the next one.
func (c *cluster) replaceLeader() {
	c.t.Helper()
	c.leader().crash()
	time.Sleep(50 * time.Millisecond) // the term of the process ends
	c.awaitLeader()
}

// endSilence lets the lease of a silent worker end, connects the worker again, and waits until a job has ended.
func (c *cluster) endSilence(w model.HostID, job model.JobID) {
	c.t.Helper()
	time.Sleep(testLease)
	c.setWorkerFault(w, worker.NoFault)
	c.awaitEnd(time.Minute, job)
}

// Guards against a task that runs twice because a leader died before it recorded that a worker which is listed again gets tasks.
func TestWorkerListedAgainIsRecordedBeforeItsTasks(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		all := c.workers
		c.setListed(all[0])
		time.Sleep(500 * time.Millisecond)
		c.submit(job("long", 1, 20*time.Second, model.Step{Count: 1, Need: accelerators(1)}))
		time.Sleep(2 * time.Second)
		c.setListed()
		time.Sleep(2 * time.Second) // the worker stays in the fleet because of its run
		c.submit(job("j", 1, 4*time.Second, model.Step{Count: 1, Need: accelerators(7)}))
		c.setListed(all[0])
		c.awaitStart("j/0/0/0")
		c.setWorkerFault(all[0].ID, worker.FaultRequestLost)
		c.leader().crash()
		c.setListed(all...)
		c.endSilence(all[0].ID, "j")
		is.Equal(c.state("j"), model.JobFinished)
	})
}

// Guards against a task that runs twice because a leader died before it recorded a new worker, which its successor does not see.
func TestNewWorkerIsRecordedBeforeItsTasks(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		all := c.workers
		c.setListed()
		time.Sleep(time.Second) // the workers are removed from the fleet
		c.submit(job("j", 1, 4*time.Second, model.Step{Count: 1, Need: accelerators(8)}))
		c.setListed(all[0])
		c.awaitStart("j/0/0/0")
		c.setWorkerFault(all[0].ID, worker.FaultRequestLost)
		c.leader().crash()
		c.setListed(all[1:]...)
		c.endSilence(all[0].ID, "j")
		is.Equal(c.state("j"), model.JobFinished)
	})
}

// Guards against a task that runs twice because a new leader writes the record of its job without a run that it has not heard of.
func TestRecordKeepsRunsOfSilentWorkers(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		all := c.workers
		c.setListed(all[1])
		time.Sleep(500 * time.Millisecond)
		c.submit(job("j", 1, 8*time.Second, model.Step{Count: 2, Need: accelerators(8)}))
		time.Sleep(6 * time.Second)
		c.setListed(all[:2]...)
		time.Sleep(800 * time.Millisecond)
		c.setListed(all[1:]...) // the first worker keeps its run
		time.Sleep(800 * time.Millisecond)
		c.setWorkerFault(all[0].ID, worker.FaultRequestLost)
		c.replaceLeader()
		time.Sleep(time.Second) // the other run ends, which changes the record
		c.replaceLeader()
		c.endSilence(all[0].ID, "j")
	})
}

// Guards against a task that runs twice because a run that its leader did not record is not recorded by the next leader either.
func TestAdoptedRunIsRecorded(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		all := c.workers
		c.setListed(all[1])
		time.Sleep(500 * time.Millisecond)
		c.submit(job("j", 1, 9*time.Second, model.Step{Count: 2, Need: accelerators(8)}))
		time.Sleep(2 * time.Second)
		c.setListed(all[:2]...)
		c.awaitStart("j/0/0/1")
		c.replaceLeader()
		time.Sleep(800 * time.Millisecond)
		c.setListed(all[1:]...) // the first worker keeps its run
		time.Sleep(800 * time.Millisecond)
		c.setWorkerFault(all[0].ID, worker.FaultRequestLost)
		c.replaceLeader()
		c.endSilence(all[0].ID, "j")
	})
}

// Guards against a task that runs twice because a leader records the runs of a worker as known that it has never heard of.
func TestUnheardWorkerIsNotRecordedAsKnown(t *testing.T) {
	runInCluster(t, 1, 3, 1, 3, func(c *cluster, is *is.I) {
		all := c.workers
		c.setListed(all[0])
		time.Sleep(500 * time.Millisecond)
		c.submit(job("j", 1, 9*time.Second, model.Step{Count: 1, Need: accelerators(8)}))
		c.awaitStart("j/0/0/0")
		c.setListed(all[1:]...)
		c.setWorkerFault(all[0].ID, worker.FaultRequestLost)
		c.replaceLeader()
		time.Sleep(time.Second)
		c.replaceLeader()
		c.endSilence(all[0].ID, "j")
	})
}
