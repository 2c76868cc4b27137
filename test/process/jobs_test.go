package process

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// startCounts returns the number of starts of each task of the job.
func (c *cluster) startCounts(id model.JobID) map[string]int {
	c.t.Helper()
	report, err := c.LedgerReport()
	c.is.NoErr(err)
	counts := map[string]int{}
	for task, n := range report.StartsByTask {
		_, taskID, _ := strings.Cut(task, ":") // strips the workspace
		if strings.HasPrefix(taskID, string(id)+"/") {
			counts[task] = n
		}
	}
	return counts
}

// busyWorker returns a worker that has accelerators in use.
func (c *cluster) busyWorker() string {
	c.t.Helper()
	s, err := c.Client(c.leader(), operator1Token).Status(withTimeout(defaultTimeout))
	c.is.NoErr(err)
	for _, w := range s.Workers {
		if w.InUse > 0 {
			return string(w.Worker)
		}
	}
	c.t.Fatal("no worker runs a task")
	return ""
}

// Guards against gangs that are not restarted after the loss of a worker, or that are restarted too early.
func TestWorkerLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		loseWorker func(*cluster, string) error
	}{
		{"killed", func(c *cluster, w string) error { return c.KillFake(w) }},
		{"frozen", func(c *cluster, w string) error { return c.SetFaults(w, fault.Faults{Frozen: true}) }},
		{"restarted", func(c *cluster, w string) error { return c.RestartFake(w) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
			h := c.Hosts[0]
			c.submit(h, bridalToken, gangSpec("g", 4, 6*time.Second))
			c.awaitJobState(defaultTimeout, h, bridalToken, "g", model.JobRunning)
			lostWorker := c.busyWorker()
			c.is.NoErr(tc.loseWorker(c, lostWorker))
			c.await(defaultTimeout, func(context.Context) error {
				for _, n := range c.startCounts("g") {
					if n < 2 {
						return errors.New("a gang member was not restarted")
					}
				}
				return nil
			})
			c.awaitJobState(defaultTimeout, h, bridalToken, "g", model.JobFinished)
			c.is.NoErr(c.SetFaults(lostWorker, fault.Faults{}))
		})
	}
}

// Guards against a worker that fails every task and thereby fails job after job, and against jobs that fail on every worker
// and are retried forever.
func TestFaultyWorkerAndFaultyJob(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	h := c.Hosts[0]
	workers := c.Fakes.Workers
	c.is.NoErr(c.SetFaults(workers[0].Name, fault.Faults{FailTasks: true}))
	for i := range 12 {
		c.submit(h, bridalToken, gangSpec(fmt.Sprintf("j-%d", i), 3, 300*time.Millisecond))
	}
	for i := range 12 {
		c.awaitJobState(defaultTimeout, h, bridalToken, model.JobID(fmt.Sprintf("j-%d", i)), model.JobFinished)
	}
	for _, w := range workers {
		c.is.NoErr(c.SetFaults(w.Name, fault.Faults{FailTasks: true}))
	}
	c.submit(h, bridalToken, gangSpec("hopeless", 1, time.Second))
	j := c.awaitJobState(defaultTimeout, h, bridalToken, "hopeless", model.JobFailed)
	t.Logf("reason of the failed job: %s", j.FailureReason)
	for _, n := range c.startCounts("hopeless") {
		c.is.Equal(n, 3) // maximum attempts per task
	}
}

// Guards against cancelled jobs that keep running, start later or are accepted again as new jobs.
func TestCancel(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	h := c.Hosts[0]
	c.submit(h, bridalToken, gangSpec("runs", 4, time.Minute))
	c.awaitJobState(defaultTimeout, h, bridalToken, "runs", model.JobRunning)
	c.is.NoErr(c.Client(c.Hosts[1], bridalToken).Cancel(withTimeout(defaultTimeout), "runs"))
	c.awaitJobState(defaultTimeout, h, bridalToken, "runs", model.JobCancelled)
	c.await(defaultTimeout, func(ctx context.Context) error {
		s, err := c.Client(c.leader(), operator1Token).Status(ctx)
		for _, w := range s.Workers {
			if w.InUse > 0 {
				return errors.Newf("worker %s still runs tasks", w.Worker)
			}
		}
		return err
	})
	c.submit(h, bridalToken, gangSpec("runs", 4, time.Minute)) // submitting the same id again returns the cancelled job
	c.awaitJobState(defaultTimeout, h, bridalToken, "runs", model.JobCancelled)
	for _, n := range c.startCounts("runs") {
		c.is.Equal(n, 1)
	}
}

// Guards against steps that start before the steps they depend on have ended.
func TestStepsInOrder(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	spec := model.JobSpec{
		ID: "steps", Class: "overnight", Payload: []byte(`{"run-ms":400}`),
		Steps: []model.Step{
			{Count: 3, Need: model.Resources{Accelerators: 1}},
			{Count: 2, Need: model.Resources{Accelerators: 8}, Gang: true, DependsOn: []int{0}},
		},
	}
	c.submit(c.Hosts[0], workshopToken, spec)
	submittedAt := time.Now()
	c.awaitJobState(defaultTimeout, c.Hosts[1], workshopToken, "steps", model.JobFinished)
	c.is.True(time.Since(submittedAt) >= 700*time.Millisecond)
	c.is.Equal(len(c.startCounts("steps")), 5)
}
