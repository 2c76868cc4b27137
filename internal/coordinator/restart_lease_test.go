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

// trapClient carries out the first start, resets its connection, and refuses all later calls to that worker.
type trapClient struct {
	dispatcher.WorkerClient
	mu      sync.Mutex
	trapped model.HostID
}

// Start implements dispatcher.WorkerClient.
func (c *trapClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Response{}, err
	}
	resp, err := c.WorkerClient.Start(ctx, w, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trapped == "" {
		c.trapped = w.ID
		return dispatcher.Response{}, syscall.ECONNRESET
	}
	return resp, err
}

// Stop implements dispatcher.WorkerClient.
func (c *trapClient) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Response{}, err
	}
	return c.WorkerClient.Stop(ctx, w, req)
}

// RenewLease implements dispatcher.WorkerClient.
func (c *trapClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	if err := c.refuse(w.ID); err != nil {
		return dispatcher.Report{}, err
	}
	return c.WorkerClient.RenewLease(ctx, w, req)
}

func (c *trapClient) refuse(id model.HostID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trapped == id {
		return errors.Mark(syscall.ECONNREFUSED, dispatcher.ErrNotSent)
	}
	return nil
}

// Guards against a second run of a task on a worker that restarted while it was idle and so grants a longer lease than requested.
func TestIdleRestartStartsNoTaskTwice(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		trap := &trapClient{}
		for _, h := range c.hosts {
			h.restartWith(func() {
				trap.WorkerClient = &worker.DirectClient{Fleet: c.fleet, InjectFault: h.workerFault}
				h.workers = trap
			})
		}
		time.Sleep(12 * time.Second) // the clocks of the workers are far ahead of those of new processes
		for _, w := range c.workers {
			c.fleet.RestartWorker(w.ID, time.Now())
		}
		c.submit(job("long", 1, 9700*time.Millisecond, model.Step{Count: 1, Need: accelerators(8)}))
		time.Sleep(20 * time.Second)
		trap.mu.Lock()
		trap.trapped = "-" // the worker is reached again
		trap.mu.Unlock()
		c.awaitEnd(time.Minute, "long")
		is.Equal(c.state("long"), model.JobFinished)
	})
}
