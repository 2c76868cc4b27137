package process

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against jobs that run although their callers were told that they don't, and accepted jobs that are lost, while the log is in trouble.
func TestSubmissionsInLogOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		faults   fault.Faults
		oneIsCut bool
	}{
		{name: "down", faults: fault.Faults{Down: true}},
		{name: "silent", faults: fault.Faults{Frozen: true}},
		{name: "answers lost", faults: fault.Faults{ResponseLost: true}},
		{name: "slow", faults: fault.Faults{SlowMS: 500}},
		{name: "one host cut off", oneIsCut: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
			c.leader()
			faults := tc.faults
			if tc.oneIsCut {
				faults.Cut = []model.HostID{c.Hosts[1].Settings.HostID}
			}
			c.is.NoErr(c.SetFaults(platform.LogName, faults))
			results := make([]error, 24)
			var calls sync.WaitGroup
			for i := range results {
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), defaultTimeout)
					defer cancel()
					_, results[i] = c.Client(c.Hosts[i%2], bridalToken).Submit(ctx, gangSpec(fmt.Sprint("j", i), 1, 100*time.Millisecond))
				})
				time.Sleep(100 * time.Millisecond)
			}
			c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
			calls.Wait()
			for i, err := range results {
				c.checkSubmission(bridalToken, model.JobID(fmt.Sprint("j", i)), err)
			}
		})
	}
}

// Guards against submissions that are reported as not-run but run, or that are accepted but lost, when the log fails until their callers are answered.
func TestSubmitWhileLogFails(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	var results []error
	for _, faults := range []fault.Faults{{Down: true}, {ResponseLost: true}, {SlowMS: 400}, {Refuse: true}, {}} {
		c.is.NoErr(c.SetFaults(platform.LogName, faults))
		for range 3 {
			spec := gangSpec(fmt.Sprint("s", len(results)), 1, 100*time.Millisecond)
			_, err := c.Client(c.Hosts[(len(results)+1)%2], workshopToken).Submit(withTimeout(defaultTimeout), spec)
			results = append(results, err)
		}
		c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
		time.Sleep(time.Second)
	}
	for i, err := range results {
		c.checkSubmission(workshopToken, model.JobID(fmt.Sprint("s", i)), err)
	}
}

// checkSubmission checks that an accepted job finishes, and that a job reported as not-run is unknown and has not run.
func (c *cluster) checkSubmission(token string, id model.JobID, err error) {
	c.t.Helper()
	var e *model.Error
	c.t.Logf("%s: %s", id, outcomeOf(err))
	switch {
	case err == nil:
		c.awaitJobState(defaultTimeout, c.Hosts[0], token, id, model.JobFinished)
	case !errors.As(err, &e):
		c.t.Errorf("%s: %v", id, err)
	case e.Outcome == model.OutcomeNotRun:
		c.is.True(e.RetryAfterMS > 0)
		_, err := c.Client(c.Hosts[0], token).Job(withTimeout(defaultTimeout), id, 0)
		c.is.Equal(kindOf(err), model.ErrorKindNotFound) // it is not in the log
		c.is.Equal(len(c.startCounts(id)), 0)
	}
}
