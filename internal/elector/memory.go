package elector

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// leaderBaseMB and leaderMBPerWorker are the memory that a leader needs, see docs/design/leadership.md.
	leaderBaseMB      = 140
	leaderMBPerWorker = 0.11
	// ampleFactor is the multiple of this need from which memory does not matter. The soft limit of the Go runtime is below the
	// limit of the process, and the collector takes ever more processor time close to it.
	ampleFactor = 1.4
	// shortMemoryDelay is the election delay of a host with just the memory that a leader needs, and maxMemoryDelay that of one with
	// none. Both are longer than the delay of a host in another region.
	shortMemoryDelay, maxMemoryDelay = 450 * time.Millisecond, 600 * time.Millisecond
)

// LeaderMemory returns the memory that a leader needs for a number of workers and the hosts and jobs that usually come with them.
func LeaderMemory(workers int) model.Megabytes {
	return model.Megabytes(leaderBaseMB + leaderMBPerWorker*float64(workers))
}

// MemoryDelay returns the election delay of a host for the memory of its process; 0 means unknown. A leader that runs out of memory is
// killed, and one that is close to it collects garbage instead of starting tasks.
func MemoryDelay(limit model.Megabytes, workers int) time.Duration {
	need, have := float64(LeaderMemory(workers)), float64(limit)
	ample := ampleFactor * need
	switch {
	case limit <= 0 || have >= ample:
		return 0
	case have >= need:
		return time.Duration((ample - have) / (ample - need) * float64(shortMemoryDelay))
	}
	return shortMemoryDelay + time.Duration((1-have/need)*float64(maxMemoryDelay-shortMemoryDelay))
}

// MemoryUse is what a process uses of its memory.
type MemoryUse struct {
	Resident model.Bytes // memory that the process has; 0 means unknown
	Needed   model.Bytes // memory without garbage and free parts of the heap
	Soft     model.Bytes // soft limit of the Go runtime
}

// Pressure returns how near a process is to its limit: at 1, it is about to be killed, or the collector can't keep to the soft limit.
// Garbage does not count below the limit, since a leader collects rarely.
func (u MemoryUse) Pressure(limit model.Megabytes) float64 {
	p := 0.0
	if limit > 0 {
		p = float64(u.Resident) / float64(limit<<20)
	}
	if u.Soft > 0 {
		p = max(p, float64(u.Needed)/float64(u.Soft))
	}
	return p
}

const (
	// highPressure is the pressure from which a leader resigns, and lowPressure the one below which it counts as relieved.
	highPressure, lowPressure = 0.9, 0.75
	// pressureTime is how long the pressure lasts before a leader resigns, so that a peak before a collection doesn't count.
	pressureTime = time.Second
	// resignInterval is the minimum time between two resignations for memory in the deployment. A change of the leader costs callers a
	// second, and a host with too little memory that leads so soon after one does so because no better one can.
	resignInterval = 10 * time.Minute
	// LastResortDelay is the election delay of a host that has resigned for its memory within the last resignInterval. It is longer than all
	// other delays and an election together, so the host leads again only if no other one can.
	LastResortDelay = 2500 * time.Millisecond
	// betterFactor is how much more memory another host must have. A change to one with little more would soon be followed by the next.
	betterFactor = 1.25
)

// IsBetterHost reports whether another host has so much more memory that it is worth resigning for; 0 means unknown.
func IsBetterHost(own, other model.Megabytes) bool {
	return float64(other) >= betterFactor*float64(own)
}

// MemoryVerdict says what a leader does about its memory.
type MemoryVerdict string

// The verdicts of a MemoryGuard.
const (
	MemoryOK       MemoryVerdict = "ok"
	MemoryResign   MemoryVerdict = "resign"
	MemoryNoBetter MemoryVerdict = "no-better-host"  // no host with more memory is known
	MemoryTooSoon  MemoryVerdict = "resigned-lately" // a leader has resigned for its memory within resignInterval
)

// MemoryGuard decides when a leader resigns for its memory. The zero value is ready to use.
type MemoryGuard struct {
	highSince  time.Time // zero while the pressure is low
	resignedAt time.Time // zero if the host has not resigned
	lastReadAt time.Time // when the last resignation of any leader for its memory was read; zero if none was
}

// RecordResignation records that a resignation of a leader for its memory was read in the log.
func (g *MemoryGuard) RecordResignation(now time.Time) { g.lastReadAt = now }

// Check records the pressure of a leader and returns what to do.
func (g *MemoryGuard) Check(pressure float64, betterHost bool, now time.Time) MemoryVerdict {
	if pressure < lowPressure {
		g.highSince = time.Time{}
	} else if pressure >= highPressure && g.highSince.IsZero() {
		g.highSince = now
	}
	switch {
	case g.highSince.IsZero() || now.Sub(g.highSince) < pressureTime:
		return MemoryOK
	case g.IsLastResort(now) || !g.lastReadAt.IsZero() && now.Sub(g.lastReadAt) < resignInterval:
		return MemoryTooSoon
	case !betterHost:
		return MemoryNoBetter
	}
	g.highSince, g.resignedAt = time.Time{}, now
	return MemoryResign
}

// EndTerm forgets the pressure of a term that has ended. The pressure is not observed until the next one.
func (g *MemoryGuard) EndTerm() { g.highSince = time.Time{} }

// IsLastResort reports whether the host has resigned so lately that it leads again only if no other host can.
func (g *MemoryGuard) IsLastResort(now time.Time) bool {
	return !g.resignedAt.IsZero() && now.Sub(g.resignedAt) < resignInterval
}
