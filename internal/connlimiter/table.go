package connlimiter

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minWait is how long a connection has waited for its client before it gives way. An ordinary client sends its request within
	// that time, and one that keeps a connection for its next requests uses it more often under load.
	minWait = time.Second
	// maxCompared is the number of connections compared to find one that gives way, so that a flood of connections costs the same
	// for each.
	maxCompared = 128
)

// Limits bounds connections; 0 means no bound.
type Limits struct {
	Total      int
	PerAddress int
}

// Table decides which connections are kept. The zero value keeps all.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	entries map[*Entry]struct{}
	byAddr  map[netip.Addr]map[*Entry]struct{}
}

// Entry is a connection in the table.
type Entry struct {
	addr         netip.Addr
	waitingSince atomic.Int64 // Unix nanoseconds since which the connection waits for its client, or one of the states below
	holdsBody    atomic.Bool  // the connection waits for the rest of a body
}

// Values of Entry.waitingSince of connections that don't wait.
const (
	stateServed  int64 = 0  // a request is served
	stateEvicted int64 = -1 // the connection gives way, which is final
)

// SetWaiting records that the connection waits for its client since now, either for a request or for the rest of a body. It reports
// false if the connection has given way.
func (e *Entry) SetWaiting(now time.Time, holdsBody bool) bool {
	e.holdsBody.Store(holdsBody)
	return e.setState(now.UnixNano())
}

// SetServed records that the connection serves a request. It reports false if the connection has given way.
func (e *Entry) SetServed() bool {
	if !e.setState(stateServed) {
		return false
	}
	e.holdsBody.Store(false)
	return true
}

func (e *Entry) setState(state int64) bool {
	for {
		old := e.waitingSince.Load()
		if old == stateEvicted {
			return false
		}
		if old == state || e.waitingSince.CompareAndSwap(old, state) {
			return true
		}
	}
}

// SetLimits changes the bounds, for connections that are added later.
func (t *Table) SetLimits(l Limits) {
	t.mu.Lock()
	t.limits = l
	t.mu.Unlock()
}

// Limits returns the bounds.
func (t *Table) Limits() Limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits
}

// Len returns the number of connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Add adds a connection, which waits for its client. If that exceeds a bound, either another connection has to be closed, which
// Add removes and returns, or the new one is refused and Add returns no entry.
func (t *Table) Add(addr netip.Addr, now time.Time) (added, evicted *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries, t.byAddr = map[*Entry]struct{}{}, map[netip.Addr]map[*Entry]struct{}{}
	}
	same := t.byAddr[addr]
	candidates, isFull := same, t.limits.PerAddress > 0 && len(same) >= t.limits.PerAddress
	if !isFull {
		candidates, isFull = t.entries, t.limits.Total > 0 && len(t.entries) >= t.limits.Total
	}
	if isFull {
		if evicted = t.evict(candidates, now, false); evicted == nil {
			return nil, nil
		}
	}
	added = &Entry{addr: addr}
	added.SetWaiting(now, false)
	t.entries[added] = struct{}{}
	if t.byAddr[addr] == nil {
		t.byAddr[addr] = map[*Entry]struct{}{}
	}
	t.byAddr[addr][added] = struct{}{}
	return added, evicted
}

// EvictBody removes and returns a connection that has waited long for the rest of a body, or nil if there is none.
func (t *Table) EvictBody(now time.Time) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evict(t.entries, now, true)
}

// evict removes and returns the connection that longestWaiting chooses. If that has begun to serve a request meanwhile, another one
// is chosen. The caller holds t.mu.
func (t *Table) evict(entries map[*Entry]struct{}, now time.Time, onlyBodies bool) *Entry {
	for {
		e, since := longestWaiting(entries, now, onlyBodies)
		if e == nil {
			return nil
		}
		if e.waitingSince.CompareAndSwap(since, stateEvicted) {
			t.remove(e)
			return e
		}
	}
}

// longestWaiting returns the connection that has waited longest for its client, or for the rest of a body, and since when, or nil if
// none has waited for minWait. In a large set it compares some only, chosen by the random order of a map.
func longestWaiting(entries map[*Entry]struct{}, now time.Time, onlyBodies bool) (longest *Entry, since int64) {
	since = now.Add(-minWait).UnixNano() + 1
	compared := 0
	for e := range entries {
		if w := e.waitingSince.Load(); w > stateServed && w < since && (!onlyBodies || e.holdsBody.Load()) {
			longest, since = e, w
		}
		if compared++; compared >= maxCompared {
			break
		}
	}
	return longest, since
}

// Remove removes a connection; it has no effect if the connection was removed before.
func (t *Table) Remove(e *Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(e)
}

func (t *Table) remove(e *Entry) {
	delete(t.entries, e)
	same := t.byAddr[e.addr]
	if delete(same, e); len(same) == 0 {
		delete(t.byAddr, e.addr)
	}
}
