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

// submitGangs submits gangs of different sizes and run times and returns their ids.
func (c *cluster) submitGangs(h *launcher.Host, count int) []model.JobID {
	c.t.Helper()
	var ids []model.JobID
	for i := range count {
		spec := gangSpec(fmt.Sprintf("load-%d", i), 1+i%4, time.Duration(1+i%5)*time.Second)
		c.submit(h, bridalToken, spec)
		ids = append(ids, spec.ID)
	}
	return ids
}

// awaitFinished waits until all jobs have finished and returns the number of gang members that were started more than once.
func (c *cluster) awaitFinished(h *launcher.Host, ids []model.JobID) (restarted int) {
	c.t.Helper()
	for _, id := range ids {
		c.awaitJobState(defaultTimeout, h, bridalToken, id, model.JobFinished)
		for _, n := range c.startCounts(id) {
			if n > 1 {
				restarted++
			}
		}
	}
	return restarted
}

// Guards against jobs that are lost, run twice or restart when the leader fails, and against a failed leader that no other
// host replaces.
func TestLeaderFails(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		failLeader func(c *cluster, leader *launcher.Host) (recoverLeader func() error, err error)
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
			c := startTakeoverCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA, domainB), UseRelays: true})
			oldLeader, h := c.leader(), c.follower()
			jobIDs := c.submitGangs(h, 12)
			recoverLeader, err := tc.failLeader(c, oldLeader)
			c.is.NoErr(err)
			failedAt := time.Now()
			c.await(defaultTimeout, func(ctx context.Context) error {
				s, err := c.Client(h, operator1Token).Status(ctx)
				if err == nil && (s.Leader == oldLeader.Settings.HostID || s.Leader == "") {
					err = errors.New("no other host is the leader")
				}
				return err
			})
			t.Logf("another host became leader %s after the failure", time.Since(failedAt))
			newJob := c.submit(h, bridalToken, gangSpec("after", 1, time.Second))
			time.Sleep(time.Second)
			c.is.NoErr(recoverLeader())
			restarted := c.awaitFinished(h, append(jobIDs, newJob.Spec.ID))
			t.Logf("%d members were restarted", restarted)
			c.is.Equal(restarted, 0) // workers keep running tasks while the leader changes
		})
	}
}

// Guards against a log outage that stops running tasks, loses the ends of tasks, or leaves the cluster without a leader for
// good.
func TestLogOutageUnderLoad(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		faults fault.Faults
	}{
		{"down", fault.Faults{Down: true}},
		{"silent", fault.Faults{Frozen: true}},
		{"answers lost", fault.Faults{ResponseLost: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startTakeoverCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
			jobIDs := c.submitGangs(c.Hosts[0], 10)
			c.is.NoErr(c.SetFaults(platform.LogName, tc.faults))
			time.Sleep(4 * time.Second)
			c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
			c.is.Equal(c.awaitFinished(c.Hosts[1], jobIDs), 0)
		})
	}
}

// Guards against jobs that are lost when all hosts are killed at once.
func TestAllHostsLost(t *testing.T) {
	c := startTakeoverCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	jobIDs := c.submitGangs(c.Hosts[0], 8)
	for _, h := range c.Hosts {
		c.is.NoErr(c.KillHost(h))
	}
	for _, h := range c.Hosts {
		c.is.NoErr(c.StartHost(h))
	}
	c.awaitFinished(c.Hosts[0], jobIDs)
}
