package process

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a flood of jobs from one workspace that keeps jobs of other workspaces from starting, and against refused
// jobs that run anyway.
func TestJobFlood(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	ws := c.configSet.Workspaces["upholstery"]
	ws.MaxQueuedJobs = 60
	c.publishObject(model.ObjectKindWorkspace, "upholstery", ws)
	const jobCount = 400
	var mu sync.Mutex
	var wg sync.WaitGroup
	refusals := map[model.JobID]*model.Error{}
	accepted := 0
	for sender := range 20 {
		wg.Go(func() {
			for i := sender; i < jobCount; i += 20 {
				spec := gangSpec(fmt.Sprintf("flood-%d", i), 1, 5*time.Second)
				spec.Class = "counter"
				_, err := c.Client(c.Hosts[i%2], upholsteryToken).Submit(withTimeout(defaultTimeout), spec)
				mu.Lock()
				if e := (*model.Error)(nil); errors.As(err, &e) {
					refusals[spec.ID] = e
				} else {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d jobs accepted", accepted, jobCount)
	c.is.True(accepted < jobCount/2)

	guaranteedJob := gangSpec("claim", 8, time.Second)
	guaranteedJob.Class, guaranteedJob.Shape.Span = "counter", model.SpanRack
	submittedAt := time.Now()
	c.submit(c.Hosts[0], bridalToken, guaranteedJob)
	c.awaitJobState(2800*time.Millisecond, c.Hosts[0], bridalToken, "claim", model.JobRunning, model.JobFinished)
	t.Logf("a guaranteed job started within %s during the flood", time.Since(submittedAt))
	c.submit(c.Hosts[1], workshopToken, gangSpec("small", 1, 100*time.Millisecond))
	submittedAt = time.Now()
	c.awaitJobState(defaultTimeout, c.Hosts[1], workshopToken, "small", model.JobFinished)
	t.Logf("a batch job of another workspace finished within %s during the flood", time.Since(submittedAt))
	for id, e := range refusals {
		c.is.Equal(e.Outcome, model.OutcomeNotRun)
		c.is.Equal(e.Kind, model.ErrorKindOverloaded)
		c.is.True(e.RetryAfterMS > 0)
		c.is.Equal(len(c.startCounts(id)), 0) // reported as not-run
	}
}

// Guards against a flood of requests from one caller that causes requests of other callers to fail, and against refused
// requests that run anyway.
func TestRequestFlood(t *testing.T) {
	c := startCluster(t, launcher.Options{
		HostsPerDomain: twoHostsPerDomain(domainA),
		AdjustFakes: func(d *platform.Deployment) {
			for i := range d.Domains {
				for j := range d.Domains[i].Runners {
					d.Domains[i].Runners[j].Count = 1
				}
			}
		},
	})
	floodClient, smallClient := c.newServiceClient(), c.newServiceClient()
	floodClient.runTime, smallClient.runTime = 100*time.Millisecond, 30*time.Millisecond
	end := time.Now().Add(6 * time.Second)
	var wg sync.WaitGroup
	for i := range floodSenders {
		wg.Go(func() {
			for time.Now().Before(end) {
				if floodClient.call(c.Hosts[i%2], upholsteryToken, client.CallRequest{RequestID: newRequestID(), Idempotent: true}) != nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Second)
	var maxLatency time.Duration
	for i := 0; time.Now().Before(end); i++ {
		sentAt := time.Now()
		c.is.NoErr(smallClient.call(c.Hosts[i%2], workshopToken, client.CallRequest{RequestID: newRequestID(), Idempotent: i%3 > 0}))
		maxLatency = max(maxLatency, time.Since(sentAt))
	}
	wg.Wait()
	answered, notRun, unknown := floodClient.check()
	t.Logf("flood: %d answered, %d not-run, %d unknown; kinds %v", answered, notRun, unknown, floodClient.errorCounts)
	if e := floodClient.lastErrors[model.ErrorKindUpstream]; e != nil {
		t.Logf("last upstream error of the flood: %v", e)
	}
	c.is.True(floodClient.errorCounts[model.ErrorKindOverloaded] > 0) // the flood exceeds the limits
	c.is.Equal(unknown, 0)
	answered, notRun, unknown = smallClient.check()
	t.Logf("small caller: %d answered, maximum latency %s", answered, maxLatency)
	c.is.Equal(notRun+unknown, 0)
}

// floodSenders is the number of concurrent requests of the flood. It exceeds the slots and queues of both hosts together.
const floodSenders = 1500
