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
			counts := map[model.Outcome]int{}
			for i, err := range results {
				id := model.JobID(fmt.Sprint("j", i))
				var e *model.Error
				switch {
				case err == nil:
					counts["accepted"]++
					c.awaitFinished(c.Hosts[0], []model.JobID{id})
				case !errors.As(err, &e):
					t.Errorf("%s: %v", id, err)
				default:
					counts[e.Outcome]++
				}
			}
			t.Logf("outcomes %v", counts)
			for i, err := range results {
				var e *model.Error
				if errors.As(err, &e) && e.Outcome == model.OutcomeNotRun {
					c.is.True(e.RetryAfterMS > 0)
					_, err := c.Client(c.Hosts[0], bridalToken).Job(withTimeout(defaultTimeout), model.JobID(fmt.Sprint("j", i)), 0)
					c.is.True(errors.As(err, &e) && e.Kind == model.ErrorKindNotFound) // it is not in the log
				}
			}
		})
	}
}
