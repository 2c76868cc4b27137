package coordinator

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// slowStartClient delays each start request on its way.
type slowStartClient struct {
	dispatcher.WorkerClient
	fleet *worker.Fleet
	delay time.Duration
}

// Start implements dispatcher.WorkerClient.
func (c *slowStartClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	incarnation := c.fleet.Incarnation(w.ID)
	time.Sleep(c.delay)
	if c.fleet.Incarnation(w.ID) != incarnation { // a request in transit to a process is lost when the process ends
		return dispatcher.Response{}, syscall.ECONNRESET
	}
	return c.WorkerClient.Start(ctx, w, req)
}

// Guards against starts of an isolated leader on workers that have just restarted and know no fence.
func TestIsolatedLeaderStartsNothingOnRestartedWorkers(t *testing.T) {
	for _, phase := range []time.Duration{0, 20, 60, 100, 150, 200, 300} {
		t.Run(fmt.Sprint(int(phase)), func(t *testing.T) {
			runInCluster(t, 1, 3, 2, 4, func(c *cluster, is *is.I) {
				for _, h := range c.hosts {
					h.restartWith(func() {
						direct := &worker.DirectClient{Fleet: c.fleet, InjectFault: h.workerFault}
						h.workers = &slowStartClient{WorkerClient: direct, fleet: c.fleet, delay: 22 * time.Millisecond}
					})
				}
				time.Sleep(12 * time.Second)
				c.submit(job("busy", 1, 60*time.Second, model.Step{Count: 4, Need: accelerators(1), MaxPerWorker: 1, Gang: true, OneRack: true}))
				s := job("timed", 1, 20*time.Second, model.Step{Count: 100, Need: model.Resources{Cores: 320, MemoryMB: 100}})
				due := time.Now().Add(6 * time.Second)
				s.ScheduledOccurrences, s.FirstAtMS = 1, due.UnixMilli()
				c.submit(s)
				time.Sleep(3 * time.Second)
				var rack []model.HostID
				for _, w := range c.workers {
					if w.Rack == c.awaitBusyWorker().Rack {
						rack = append(rack, w.ID)
					}
				}
				c.cutOff(c.leader(), rack...)
				time.Sleep(time.Until(due) + phase*time.Millisecond)
				for _, id := range rack {
					c.fleet.RestartWorker(id, time.Now())
				}
				time.Sleep(40 * time.Second)
				c.heal()
				c.awaitEnd(3*time.Minute, "timed")
				is.Equal(c.state("timed"), model.JobFinished)
			})
		})
	}
}
