package coordinator

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// memoryCheckInterval is the interval at which a leader looks at its memory.
const memoryCheckInterval = 250 * time.Millisecond

// memoryState is what the coordinator knows of the memory of its host as a leader.
type memoryState struct {
	guard        elector.MemoryGuard
	verdict      elector.MemoryVerdict // of the last check; a change is logged
	resignations int
}

// LeaderMemory is the metric of what a leader uses of the memory of its host.
type LeaderMemory struct {
	Leading         bool         `json:"leading"`
	Resident        model.Bytes  `json:"resident-bytes"`
	Needed          model.Bytes  `json:"needed-bytes"`   // without garbage
	Limit           model.Bytes  `json:"limit-bytes"`    // 0 means unknown
	Expected        model.Bytes  `json:"expected-bytes"` // need of a leader of the fleet, by which elections are delayed
	PressurePercent int          `json:"pressure-percent"`
	DelayMS         model.Millis `json:"election-delay-ms"`
	Workers         int          `json:"workers"`
	Hosts           int          `json:"hosts"`
	Jobs            int          `json:"jobs"`
	Resignations    int          `json:"resignations"`   // of this host for its memory
	StartsRefused   int64        `json:"starts-refused"` // large start requests that found no memory in time
}

// LeaderMemory returns what this host uses of its memory, and what it would need or needs as the leader.
func (c *Coordinator) LeaderMemory() LeaderMemory {
	var use elector.MemoryUse
	if c.cfg.ReadMemory != nil {
		use = c.cfg.ReadMemory()
	}
	workers := len(c.replica.Fleet())
	m := LeaderMemory{
		Resident: use.Resident, Needed: use.Needed, Limit: model.Bytes(c.cfg.MemoryLimit) << 20, Expected: model.Bytes(elector.LeaderMemory(workers)) << 20,
		PressurePercent: int(100 * use.Pressure(c.cfg.MemoryLimit)), Workers: workers, Hosts: len(c.replica.HostAddresses()), Jobs: c.replica.JobCount(),
		StartsRefused: c.throttler.Refused.Value(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.Leading, m.Resignations = c.ownTerm != nil, c.memory.resignations
	m.DelayMS = model.Millis(c.electionDelayLocked(time.Now()).Milliseconds())
	return m
}

// watchMemory checks the memory of the host while it is the leader, until the context ends.
func (c *Coordinator) watchMemory(ctx context.Context) {
	if c.cfg.ReadMemory == nil || c.cfg.MemoryLimit <= 0 {
		return
	}
	t := time.NewTicker(memoryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.checkMemory(time.Now())
		}
	}
}

// checkMemory resigns in the log if this host is the leader, comes near the limit of its memory and knows of a better one.
func (c *Coordinator) checkMemory(now time.Time) {
	c.mu.Lock()
	own := c.ownTerm
	if own == nil {
		c.memory.guard.EndTerm()
		c.memory.verdict = elector.MemoryOK
	}
	c.mu.Unlock()
	if own == nil {
		return
	}
	use := c.cfg.ReadMemory()
	pressure, better := use.Pressure(c.cfg.MemoryLimit), c.hasBetterHost()
	c.mu.Lock()
	verdict := c.memory.guard.Check(pressure, better, now)
	changed := verdict != c.memory.verdict
	c.memory.verdict = verdict
	if verdict == elector.MemoryResign {
		c.memory.resignations++
		c.elector.ElectionDelay = c.electionDelayLocked(now)
	}
	c.mu.Unlock()
	if changed && verdict != elector.MemoryOK {
		c.cfg.Logger.Warn("leader is near the memory limit of its host", "verdict", verdict, "resident-mb", use.Resident>>20, "needed-mb", use.Needed>>20,
			"limit-mb", c.cfg.MemoryLimit, "workers", len(c.replica.Fleet()), "jobs", c.replica.JobCount(), "fence", own.fence)
	}
	if verdict == elector.MemoryResign {
		own.dispatcher.Resign(journaler.ResignedForMemory)
		go func() {
			<-own.done
			debug.FreeOSMemory()
		}()
	}
}

// hasBetterHost reports whether a host is announced that has enough more memory than this one.
func (c *Coordinator) hasBetterHost() bool {
	return slices.ContainsFunc(c.replica.HostAddresses(), func(h journaler.HostAddress) bool {
		return h.Host != c.cfg.Host && elector.IsBetterHost(c.cfg.MemoryLimit, h.MemoryMB)
	})
}
