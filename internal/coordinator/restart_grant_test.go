package coordinator

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// renewalRestartClient restarts a worker just before a lease renewal reaches it, and can refuse all calls to it.
type renewalRestartClient struct {
	worker.DirectClient
	id model.HostID

	mu      sync.Mutex
	armed   bool // the next renewal that requests a lease restarts the worker
	refused bool
}

// set changes the faults of the worker.
func (c *renewalRestartClient) set(armed, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed, c.refused = armed, refused
}

// hasRestarted reports whether the worker has restarted since the client was armed.
func (c *renewalRestartClient) hasRestarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.armed
}

// refuse returns an error if calls to the worker are refused.
func (c *renewalRestartClient) refuse(id model.HostID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused && id == c.id {
		return errors.Mark(syscall.ECONNREFUSED, dispatcher.ErrNotSent)
	}
	return nil
}

// Start implements dispatcher.WorkerClient.
func (c *renewalRestartClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Response{}, err
	}
	return c.DirectClient.Start(ctx, w, req)
}

// Stop implements dispatcher.WorkerClient.
func (c *renewalRestartClient) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Response{}, err
	}
	return c.DirectClient.Stop(ctx, w, req)
}

// RenewLease implements dispatcher.WorkerClient.
func (c *renewalRestartClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Report{}, err
	}
	c.mu.Lock()
	if c.armed && w.ID == c.id && req.LeaseUntil != 0 {
		c.armed = false
		c.Fleet.RestartWorker(w.ID, time.Now())
	}
	c.mu.Unlock()
	time.Sleep(time.Millisecond)
	return c.DirectClient.RenewLease(ctx, w, req)
}

// Guards against a renewal whose lease a restarted worker makes longer, which the leader forgets once the report shows the restart.
func TestRenewalAcrossRestartMakesNoLeaseLonger(t *testing.T) {
	runInCluster(t, 1, 1, 1, 2, func(c *cluster, is *is.I) {
		all := c.workers
		client := &renewalRestartClient{DirectClient: worker.DirectClient{Fleet: c.fleet}, id: all[0].ID}
		c.hosts[0].restartWith(func() { c.hosts[0].workers = client })
		c.setListed(all[0])
		time.Sleep(15 * time.Second) // its clock is far ahead of that of a new process
		client.set(true, false)
		for !client.hasRestarted() { // until its clock is read again
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // the report has shown the restart
		c.submit(job("long", 1, 9700*time.Millisecond, model.Step{Count: 1, Need: accelerators(4)}))
		c.submit(job("short", 1, 100*time.Millisecond, model.Step{Count: 1, Need: accelerators(4)}))
		c.awaitStart("long/0/0/0")
		time.Sleep(300 * time.Millisecond) // the report of the end of the other task confirms the start
		client.set(false, true)
		c.setListed(all...)
		time.Sleep(20 * time.Second)
		client.set(false, false)
		c.awaitEnd(time.Minute, "long")
		is.Equal(c.state("long"), model.JobFinished)
	})
}
