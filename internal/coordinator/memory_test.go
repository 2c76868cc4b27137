package coordinator

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// setMemories restarts the hosts with memories, announces these, and lets each host use a percentage of its memory while it leads.
func (c *cluster) setMemories(is *is.I, usePercent *atomic.Int64, memories ...model.Megabytes) {
	for i, h := range c.hosts {
		r, err := journaler.NewHostRecord(journaler.HostAddress{Host: h.id, Address: "-", MemoryMB: memories[i]})
		is.NoErr(err)
		_, err = c.log.Append("jobs", []journaler.Record{r}, journaler.AppendCondition{})
		is.NoErr(err)
		h.restartWith(func() {
			h.memory = memories[i]
			h.readMemory = func() elector.MemoryUse {
				return elector.MemoryUse{Resident: model.Bytes(memories[0]) << 20 * model.Bytes(usePercent.Load()) / 100}
			}
		})
	}
}

// lead makes the first host the leader, by stopping the others for a while.
func (c *cluster) lead() *testHost {
	for _, h := range c.hosts[1:] {
		h.cancel()
	}
	time.Sleep(15 * time.Second)
	first := c.awaitLeader()
	for _, h := range c.hosts[1:] {
		h.start()
	}
	time.Sleep(2 * time.Second)
	return first
}

// Guards against a leader that is killed for its memory beside hosts with more, and against a lead that goes back and forth.
func TestLeaderNearItsMemoryResigns(t *testing.T) {
	runInCluster(t, 1, 3, 1, 2, func(c *cluster, is *is.I) {
		var use atomic.Int64
		c.setMemories(is, &use, 184, 184, 536)
		first := c.lead()
		is.True(first == c.hosts[0])
		use.Store(80)
		time.Sleep(time.Minute)
		is.True(c.leader() == first) // garbage does not count
		s := job("running", 1, 30*time.Second, model.Step{Count: 2, Need: accelerators(8)})
		c.submit(s)
		c.awaitStart("running/0/0/1")
		use.Store(95)
		time.Sleep(3 * time.Second)
		second := c.awaitLeader()
		is.True(second == c.hosts[2]) // the one with the most memory
		c.awaitEnd(time.Minute, "running")
		is.Equal(c.fleet.LedgerReport().StartsByTask["running/0/0/0"], 1)
		time.Sleep(5 * time.Minute)
		is.True(c.leader() == second)
	})
}

// Guards against a host that leads again soon after it has resigned, and against small leaders that resign one after the other.
func TestHostThatResignedLeadsLast(t *testing.T) {
	for seed := range uint64(6) {
		runInCluster(t, seed, 3, 1, 2, func(c *cluster, is *is.I) {
			var use atomic.Int64
			c.setMemories(is, &use, 184, 184, 536)
			c.lead()
			use.Store(95)
			time.Sleep(5 * time.Second)
			is.True(c.leader() == c.hosts[2])
			c.hosts[2].cancel()
			time.Sleep(15 * time.Second)
			is.True(c.leader() == c.hosts[1])
			fence := c.hosts[1].coordinator.ownTerm.fence
			time.Sleep(time.Minute)
			is.True(c.leader() == c.hosts[1])
			is.Equal(c.hosts[1].coordinator.ownTerm.fence, fence)
		})
	}
}

// Guards against a cluster without a leader because the only live host has resigned, and against a lead that ends again and again.
func TestHostThatResignedLeadsIfNoOtherCan(t *testing.T) {
	runInCluster(t, 1, 2, 1, 2, func(c *cluster, is *is.I) {
		var use atomic.Int64
		c.setMemories(is, &use, 184, 536)
		first := c.lead()
		c.hosts[1].cancel() // it is still announced
		use.Store(95)
		time.Sleep(6 * time.Second)
		is.True(c.awaitLeader() == first)
		fence := first.coordinator.ownTerm.fence
		time.Sleep(8 * time.Minute)
		is.True(c.leader() == first)
		is.Equal(first.coordinator.ownTerm.fence, fence)
		is.Equal(first.coordinator.LeaderMemory().Resignations, 1)
	})
}

// Guards against a leader that resigns although no host has more memory.
func TestLeaderStaysIfNoHostIsBetter(t *testing.T) {
	runInCluster(t, 1, 3, 1, 2, func(c *cluster, is *is.I) {
		var use atomic.Int64
		c.setMemories(is, &use, 184, 184, 200)
		first := c.lead()
		fence := first.coordinator.ownTerm.fence
		use.Store(99)
		time.Sleep(time.Minute)
		is.True(c.leader() == first)
		is.Equal(first.coordinator.ownTerm.fence, fence)
	})
}
