package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// kindJobs is the number of jobs of newKindCluster.
const kindJobs = 30

// kindClient notes which starts reach a worker whose process lacks the label that all tasks demand.
type kindClient struct {
	worker.DirectClient
	label string

	mu       sync.Mutex
	labels   map[model.HostID]string // of the processes
	starts   map[model.HostID][]time.Time
	mistaken []string
}

// Start implements dispatcher.WorkerClient.
func (c *kindClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	resp, err := c.DirectClient.Start(ctx, w, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.starts[w.ID] = append(c.starts[w.ID], time.Now())
		if c.labels[w.ID] != c.label {
			c.mistaken = append(c.mistaken, fmt.Sprint(req.Run.Task, " on ", w.ID, " with label ", c.labels[w.ID]))
		}
	}
	return resp, err
}

// setLabel changes the label of a worker's process.
func (c *kindClient) setLabel(id model.HostID, label string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.labels[id] = label
}

// startsSince returns how many starts have reached a worker since the given time.
func (c *kindClient) startsSince(id model.HostID, at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.starts[id] {
		if t.After(at) {
			n++
		}
	}
	return n
}

// restartAs restarts a worker under its id with another label and capacity. The list shows that listDelay later.
func (c *cluster) restartAs(client *kindClient, id model.HostID, label string, capacity model.Resources) {
	const listDelay = 700 * time.Millisecond // long enough for a report of the new process
	i := slices.IndexFunc(c.all, func(w model.Worker) bool { return w.ID == id })
	c.all[i].Labels, c.all[i].Capacity = []string{label}, capacity
	c.fleet.RestartWorkerAs(id, capacity, time.Now())
	client.setLabel(id, label)
	time.Sleep(listDelay)
	c.listIncarnations()
}

// newKindCluster prepares a cluster whose workers all have the label, and submits jobs that demand it, of one task that fills a worker.
func newKindCluster(c *cluster, runTime time.Duration) *kindClient {
	h := c.hosts[0]
	client := &kindClient{
		DirectClient: worker.DirectClient{Fleet: c.fleet, InjectFault: h.workerFault}, label: "fast",
		labels: map[model.HostID]string{}, starts: map[model.HostID][]time.Time{},
	}
	c.all = slices.Clone(c.all)
	for i := range c.all {
		c.all[i].Labels = []string{client.label}
		client.setLabel(c.all[i].ID, client.label)
	}
	c.listIncarnations()
	h.restartWith(func() { h.workers = client })
	for i := range kindJobs {
		c.submit(job(fmt.Sprint("j", i), 1, runTime, model.Step{Count: 1, Need: accelerators(8), Label: client.label}))
	}
	return client
}

// Guards against tasks that start on a restarted worker without their label, or beyond its capacity, because its former process had both.
func TestRestartedWorkerIsUsedOnceItIsListed(t *testing.T) {
	t.Parallel()
	whole, half := accelerators(8), accelerators(4)
	for name, to := range map[string]struct {
		label    string
		capacity model.Resources
	}{
		"another label": {"slow", whole},
		"less capacity": {"fast", half},
	} {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 1, 1, 1, 2, func(c *cluster, is *is.I) {
				client := newKindCluster(c, 800*time.Millisecond)
				time.Sleep(3 * time.Second)
				c.restartAs(client, "w0-0", to.label, to.capacity)
				time.Sleep(2 * time.Second)
				c.restartAs(client, "w0-0", client.label, whole)
				at := time.Now()
				time.Sleep(2 * time.Second)
				is.True(client.startsSince("w0-0", at) > 0) // it is used again
				for i := range kindJobs {
					c.awaitEnd(2*time.Minute, model.JobID(fmt.Sprint("j", i)))
				}
				is.Equal(client.mistaken, nil)
			})
		})
	}
}

// Guards against work that waits for the next read of the list at intervals, although its worker has restarted and responds.
func TestRestartedWorkerIsListedSoon(t *testing.T) {
	const (
		downTime = 100 * time.Millisecond // a call in this time shows that the process has ended
		latest   = 300 * time.Millisecond // the delay until the worker is asked again, and the calls
	)
	for _, phase := range []time.Duration{0, 70, 140, 210, 280, 350} {
		t.Run(fmt.Sprint(int(phase)), func(t *testing.T) {
			runInCluster(t, 1, 1, 1, 2, func(c *cluster, is *is.I) {
				client := newKindCluster(c, 20*time.Second) // busy all the while
				time.Sleep(3*time.Second + phase*time.Millisecond)
				c.fleet.StopWorker("w0-0", time.Now())
				time.Sleep(downTime)
				c.restartWorker("w0-0")
				at := time.Now()
				time.Sleep(latest)
				is.True(client.startsSince("w0-0", at) > 0)
			})
		})
	}
}
