package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// slowDialClient takes a time to connect for each start request, which then reaches the process that runs by then.
type slowDialClient struct {
	dispatcher.WorkerClient
	dial   time.Duration
	isSlow func() bool
}

// Start implements dispatcher.WorkerClient.
func (c *slowDialClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	if c.isSlow() {
		time.Sleep(c.dial)
	}
	return c.WorkerClient.Start(ctx, w, req)
}

// Guards against a start of an isolated leader that connects to a restarted worker later than its successor counts with.
func TestSlowDialStartsNothingOnRestartedWorkers(t *testing.T) {
	t.Parallel()
	for _, dial := range []time.Duration{22, 400, 590} {
		for _, phase := range []time.Duration{25, 75, 125} {
			t.Run(fmt.Sprint(int(dial), "-", int(phase)), func(t *testing.T) {
				t.Parallel()
				playIsolatedStart(t, phase*time.Millisecond, false, func(c dispatcher.WorkerClient, isSlow func() bool) dispatcher.WorkerClient {
					return &slowDialClient{WorkerClient: c, dial: dial * time.Millisecond, isSlow: isSlow}
				})
			})
		}
	}
}

// playIsolatedStart lets a leader that has just lost its log start a job, due at a phase of its renewals, on workers that restart.
func playIsolatedStart(t *testing.T, phase time.Duration, warm bool, newClient func(c dispatcher.WorkerClient, isSlow func() bool) dispatcher.WorkerClient) {
	runInCluster(t, 1, 3, 2, 4, func(c *cluster, is *is.I) {
		for _, w := range c.workers {
			c.fleet.SetClockRate(w.ID, 0.98)
		}
		var isolated *testHost
		for _, h := range c.hosts {
			h.restartWith(func() {
				direct := &worker.DirectClient{Fleet: c.fleet, InjectFault: h.workerFault}
				h.workers = newClient(direct, func() bool { return h == isolated })
			})
		}
		time.Sleep(12 * time.Second)
		if warm {
			c.submit(job("warm", 1, 2*time.Second, model.Step{Count: 8, Need: accelerators(8)}))
			c.awaitEnd(time.Minute, "warm")
		}
		s := job("timed", 1, 20*time.Second, model.Step{Count: 8, Need: accelerators(8)})
		due := time.Now().Add(5700*time.Millisecond + phase)
		s.ScheduledOccurrences, s.FirstAtMS = 1, due.UnixMilli()
		c.submit(s)
		time.Sleep(4900 * time.Millisecond)
		isolated = c.leader()
		c.cutOff(isolated, c.workers[0].ID, c.workers[1].ID, c.workers[2].ID, c.workers[3].ID)
		time.Sleep(time.Until(due) + 10*time.Millisecond)
		for _, w := range c.workers[:4] {
			c.fleet.RestartWorker(w.ID, time.Now())
		}
		time.Sleep(40 * time.Second)
		c.heal()
		c.awaitEnd(3*time.Minute, "timed")
		is.Equal(c.state("timed"), model.JobFinished)
	})
}

// Guards against a second run of a task while a restarted worker holds the lease of a start request that took long to connect.
func TestSlowDialOfIdleRestartStartsNoTaskTwice(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		for _, w := range c.workers {
			c.fleet.SetClockRate(w.ID, 0.98)
		}
		trap := &trapClient{}
		for _, h := range c.hosts {
			h.restartWith(func() {
				direct := &worker.DirectClient{Fleet: c.fleet, InjectFault: h.workerFault}
				trap.WorkerClient = &slowDialClient{WorkerClient: direct, dial: 590 * time.Millisecond, isSlow: func() bool {
					return len(c.fleet.LedgerReport().StartsByTask) == 0
				}}
				h.workers = trap
			})
		}
		time.Sleep(12 * time.Second) // the clocks of the workers are far ahead of those of new processes
		for _, w := range c.workers {
			c.fleet.RestartWorker(w.ID, time.Now())
		}
		c.submit(job("long", 1, 10100*time.Millisecond, model.Step{Count: 1, Need: accelerators(8)}))
		time.Sleep(20 * time.Second)
		trap.mu.Lock()
		trap.trapped = "-" // the worker is reached again
		trap.mu.Unlock()
		c.awaitEnd(time.Minute, "long")
		is.Equal(c.state("long"), model.JobFinished)
	})
}
