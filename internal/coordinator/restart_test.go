package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// restartIdleWorker restarts the only listed worker, which has been up for longer than its longest lease, and shows that in the list.
func (c *cluster) restartIdleWorker() model.Worker {
	w := c.workers[0]
	w.Incarnation = c.fleet.Incarnation(w.ID)
	c.setListed(w)
	time.Sleep(15 * time.Second)
	c.fleet.RestartWorker(w.ID, time.Now())
	w.Incarnation = c.fleet.Incarnation(w.ID)
	c.setListed(w)
	time.Sleep(time.Second)
	return w
}

// Guards against a task that runs twice because its worker, which restarted while it was idle, holds a longer lease than a successor waits.
func TestRestartOfIdleWorkerMakesNoLeaseLonger(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		other := c.workers[1]
		w := c.restartIdleWorker()
		c.submit(job("j", 1, 9500*time.Millisecond, model.Step{Count: 1, Need: accelerators(8)}))
		c.awaitStart("j/0/0/0")
		c.setWorkerFault(w.ID, worker.FaultRequestLost)
		c.setListed(other)
		c.leader().restartWith(func() {})
		time.Sleep(20 * time.Second)
		c.setWorkerFault(w.ID, worker.NoFault)
		c.awaitEnd(time.Minute, "j")
		is.Equal(c.state("j"), model.JobFinished)
	})
}

// Guards against a start request of a former leader that an idle worker accepts after a restart, beside the same task elsewhere.
func TestRestartedWorkerRefusesFormerLeader(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		c.replaceLeader()
		former := c.leader().coordinator.ownTerm.fence - 1
		w := c.restartIdleWorker()
		ref := model.RunRef{Task: model.TaskRef{StepRef: model.StepRef{Job: "j"}}, Number: 1}
		_, err := c.fleet.StartRun(w.ID, dispatcher.StartRequest{Run: ref, Fence: former, LeaseUntil: 15_000}, time.Now())
		is.True(err != nil)
	})
}

// lateStartClient carries out the start requests to one worker late, and loses the renewals until then if loseReports is set.
type lateStartClient struct {
	worker.DirectClient
	id          model.HostID
	delay       time.Duration
	loseReports func() bool
}

// Start implements dispatcher.WorkerClient.
func (c *lateStartClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	if w.ID != c.id {
		return c.DirectClient.Start(ctx, w, req)
	}
	go func() {
		time.Sleep(c.delay)
		_, _ = c.Fleet.StartRun(w.ID, req, time.Now())
	}()
	<-ctx.Done()
	return dispatcher.Response{}, ctx.Err()
}

// RenewLease implements dispatcher.WorkerClient.
func (c *lateStartClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	if w.ID == c.id && c.loseReports() {
		<-ctx.Done()
		return dispatcher.Report{}, ctx.Err()
	}
	return c.DirectClient.RenewLease(ctx, w, req)
}

// Guards against a late start request that a restarted worker carries out because it has forgotten the stop request.
func TestStopIsRepeatedAfterRestart(t *testing.T) {
	runInCluster(t, 1, 1, 1, 2, func(c *cluster, is *is.I) {
		all := c.workers
		restartAt := time.Now().Add(20 * time.Second)
		startAt := restartAt.Add(-3 * time.Second)
		client := &lateStartClient{
			DirectClient: worker.DirectClient{Fleet: c.fleet}, id: all[0].ID, delay: 6 * time.Second,
			loseReports: func() bool {
				return time.Now().After(startAt) && time.Now().Before(restartAt.Add(300*time.Millisecond))
			},
		}
		c.hosts[0].restartWith(func() { c.hosts[0].workers = client })
		c.setListed(all[0])
		time.Sleep(time.Until(startAt) - 50*time.Millisecond)
		c.submit(job("j", 1, 9*time.Second, model.Step{Count: 1, Need: accelerators(8)}))
		time.Sleep(time.Second)
		c.setListed(all...)
		time.Sleep(time.Until(restartAt))
		c.fleet.RestartWorker(all[0].ID, time.Now())
		c.awaitEnd(time.Minute, "j")
		is.Equal(c.state("j"), model.JobFinished)
	})
}
