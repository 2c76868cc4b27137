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

// Guards against a flood of jobs that keeps others from starting, or whose refused part runs after all.
func TestJobFlood(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	ws := c.set.Workspaces["upholstery"]
	ws.MaxWaitingJobs = 60
	c.publish(model.ObjectKindWorkspace, "upholstery", ws)
	const n = 400
	var mu sync.Mutex
	var wg sync.WaitGroup
	refused := map[model.JobID]*model.Error{}
	accepted := 0
	for g := range 20 {
		wg.Go(func() {
			for i := g; i < n; i += 20 {
				spec := gang(fmt.Sprintf("flood-%d", i), 1, 5*time.Second)
				spec.Class = "counter"
				_, err := c.Client(c.Hosts[i%2], upholstery).Submit(short(patience), spec)
				mu.Lock()
				if e := (*model.Error)(nil); errors.As(err, &e) {
					refused[spec.ID] = e
				} else {
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d jobs accepted", accepted, n)
	c.is.True(accepted < n/2)

	claim := gang("claim", 8, time.Second)
	claim.Class, claim.Shape.Span = "counter", model.SpanRack
	begun := time.Now()
	c.submit(c.Hosts[0], bridal, claim)
	c.awaitState(2800*time.Millisecond, c.Hosts[0], bridal, "claim", model.JobRunning, model.JobFinished)
	t.Logf("a claim of a guarantee started within %s during the flood", time.Since(begun))
	c.submit(c.Hosts[1], workshop, gang("small", 1, 100*time.Millisecond))
	begun = time.Now()
	c.awaitState(patience, c.Hosts[1], workshop, "small", model.JobFinished)
	t.Logf("batch work of another workspace finished within %s during the flood", time.Since(begun))
	for id, e := range refused {
		c.is.Equal(e.Outcome, model.OutcomeNotRun)
		c.is.Equal(e.Kind, model.ErrorKindOverloaded)
		c.is.True(e.RetryAfterMS > 0)
		c.is.Equal(len(c.started(id)), 0) // told not-run
	}
}

// Guards against a flood of requests of one caller that keeps others out, or whose refused part runs after all.
func TestRequestFlood(t *testing.T) {
	c := start(t, launcher.Options{
		HostsPerDomain: hosts(domainA),
		AdjustFakes: func(d *platform.Deployment) {
			for i := range d.Domains {
				for j := range d.Domains[i].Runners {
					d.Domains[i].Runners[j].Count = 1
				}
			}
		},
	})
	flood, small := c.callers(), c.callers()
	flood.run, small.run = 100*time.Millisecond, 30*time.Millisecond
	stop := time.Now().Add(6 * time.Second)
	var wg sync.WaitGroup
	for i := range flooders {
		wg.Go(func() {
			for time.Now().Before(stop) {
				if flood.call(c.Hosts[i%2], upholstery, client.CallRequest{RequestID: newID(), Idempotent: true}) != nil {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Second)
	var longest time.Duration
	for i := 0; time.Now().Before(stop); i++ {
		begun := time.Now()
		c.is.NoErr(small.call(c.Hosts[i%2], workshop, client.CallRequest{RequestID: newID(), Idempotent: i%3 > 0}))
		longest = max(longest, time.Since(begun))
	}
	wg.Wait()
	answered, notRun, unknown := flood.check()
	t.Logf("flood: %d answered, %d not-run, %d unknown; kinds %v", answered, notRun, unknown, flood.errs)
	if e := flood.last[model.ErrorKindUpstream]; e != nil {
		t.Logf("a call of the flood was told: %v", e)
	}
	c.is.True(flood.errs[model.ErrorKindOverloaded] > 0) // the flood is above the bounds
	c.is.Equal(unknown, 0)
	answered, notRun, unknown = small.check()
	t.Logf("small caller: %d answered, longest %s", answered, longest)
	c.is.Equal(notRun+unknown, 0)
}

// flooders is the number of concurrent requests of the flood, above slots and queues of both hosts together.
const flooders = 1500
