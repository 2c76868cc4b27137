package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// load submits gangs of different lengths and returns their ids.
func (c *cluster) load(h *launcher.Host, n int) []model.JobID {
	c.t.Helper()
	var ids []model.JobID
	for i := range n {
		spec := gang(fmt.Sprintf("load-%d", i), 1+i%4, time.Duration(1+i%5)*time.Second)
		c.submit(h, bridal, spec)
		ids = append(ids, spec.ID)
	}
	return ids
}

// awaitAll waits until all jobs have finished and returns how many members were started more than once.
func (c *cluster) awaitAll(h *launcher.Host, ids []model.JobID) (again int) {
	c.t.Helper()
	for _, id := range ids {
		c.awaitState(patience, h, bridal, id, model.JobFinished)
		for _, n := range c.started(id) {
			if n > 1 {
				again++
			}
		}
	}
	return again
}

// Guards against jobs that are lost, run twice or start over when the leader fails, and a lead that nobody takes.
func TestLeaderFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(c *cluster, leader *launcher.Host) (mend func() error, err error)
	}{
		{"killed", func(c *cluster, l *launcher.Host) (func() error, error) {
			return func() error { return c.StartHost(l) }, c.KillHost(l)
		}},
		{"paused", func(c *cluster, l *launcher.Host) (func() error, error) {
			return func() error { return c.ResumeHost(l) }, c.PauseHost(l)
		}},
		{"cut off from the log", func(c *cluster, l *launcher.Host) (func() error, error) {
			return c.HealPartitions, c.Partition([]model.HostID{l.Settings.HostID}, true)
		}},
		{"terminated", func(c *cluster, l *launcher.Host) (func() error, error) {
			return func() error { return c.StartHost(l) }, c.TerminateHost(l)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := start(t, launcher.Options{HostsPerDomain: hosts(domainA, domainB), UseRelays: true})
			old, h := c.leader(), c.notLeading()
			jobs := c.load(h, 12)
			mend, err := tc.fail(c, old)
			c.is.NoErr(err)
			begun := time.Now()
			c.await(patience, func(ctx context.Context) error {
				s, err := c.Client(h, operator1).Status(ctx)
				if err == nil && (s.Leader == old.Settings.HostID || s.Leader == "") {
					err = errors.New("no other host leads")
				}
				return err
			})
			t.Logf("another host led %s after the failure", time.Since(begun))
			more := c.submit(h, bridal, gang("after", 1, time.Second))
			time.Sleep(time.Second)
			c.is.NoErr(mend())
			again := c.awaitAll(h, append(jobs, more.Spec.ID))
			t.Logf("%d members were started again", again)
			c.is.Equal(again, 0) // workers run on while the lead changes
		})
	}
}

// Guards against an outage of the log that ends running work, loses ends, or unseats the leader for good.
func TestLogOutageUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults fault.Faults
	}{
		{"down", fault.Faults{Down: true}},
		{"silent", fault.Faults{Frozen: true}},
		{"answers lost", fault.Faults{AnswerLost: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
			jobs := c.load(c.Hosts[0], 10)
			c.is.NoErr(c.SetFaults(platform.LogName, tc.faults))
			time.Sleep(4 * time.Second)
			c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
			c.is.Equal(c.awaitAll(c.Hosts[1], jobs), 0)
		})
	}
}

// Guards against jobs that are forgotten when all hosts are lost at once.
func TestAllHostsLost(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	jobs := c.load(c.Hosts[0], 8)
	for _, h := range c.Hosts {
		c.is.NoErr(c.KillHost(h))
	}
	for _, h := range c.Hosts {
		c.is.NoErr(c.StartHost(h))
	}
	c.awaitAll(c.Hosts[0], jobs)
}
