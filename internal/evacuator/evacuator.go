package evacuator

import (
	"slices"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// StartTransit is the time that a start request in flight may take to reach its worker.
	StartTransit = 1200 * time.Millisecond
	// MaxViewAge is the longest age of a view at which tasks are started, however long the bound is. A read of the records takes at most
	// 1.2 s before it fails, and a request in effect after 2 s leaves 0.5 s for a start request that was sent before.
	MaxViewAge = 1500 * time.Millisecond
	// MinBound is the shortest bound that can be kept. A view is confirmed at least every 0.5 s and a round trip to the log.
	MinBound = StartTransit + 800*time.Millisecond
	// FirstReadTime is the time for which a leader without a bound waits for the first complete read of the records. One read fits, and
	// no step waits for long beside free workers.
	FirstReadTime = 1500 * time.Millisecond
)

// Evacuator holds the requests to evacuate failure domains. Its methods may be called concurrently. The zero value and nil know of no
// request; nil allows all starts.
type Evacuator struct {
	// Bound is the time after a request was acknowledged from which on no task may be started in the domain; 0 turns the rule on the
	// age of the view off, except that starts wait up to FirstReadTime for the first view. It must be set before the first call of a method.
	Bound time.Duration

	mu          sync.Mutex
	domains     map[model.DomainID]record
	next        model.Offset // all records before this offset are taken into account
	confirmedAt time.Time    // time at which all requests in the log were known; zero before the first confirmation
	awaitedAt   time.Time    // time since which starts wait for the first view; zero if none has
}

// record is the newest known record of a failure domain. Removals are kept until a newer snapshot, because an older record may be read
// after a page of a snapshot that was newer than the others.
type record struct {
	offset    model.Offset
	evacuated bool
}

// Request is a record that requests the evacuation of a failure domain, or that removes the request.
type Request struct {
	Domain  model.DomainID
	Offset  model.Offset
	Removed bool
}

// Apply applies a record that was read in the order of the log. Reading may start again at an earlier offset. It reports whether the
// evacuated domains have changed.
func (e *Evacuator) Apply(r Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Offset < e.next {
		return false
	}
	e.next = r.Offset + 1
	return e.applyLocked(r)
}

// applyLocked applies a record unless a later one of the domain is known. The caller holds e.mu.
func (e *Evacuator) applyLocked(r Request) bool {
	old, known := e.domains[r.Domain]
	if known && r.Offset <= old.offset {
		return false
	}
	if e.domains == nil {
		e.domains = map[model.DomainID]record{}
	}
	e.domains[r.Domain] = record{offset: r.Offset, evacuated: !r.Removed}
	return old.evacuated == r.Removed
}

// ApplySnapshot applies the newest record of each domain, as of the offset at which reading continues. Records from there on may be
// among them. What is already known of later offsets stays as it is, so a stale snapshot changes nothing. It reports whether the evacuated
// domains have changed.
func (e *Evacuator) ApplySnapshot(requests []Request, next model.Offset) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	inSnapshot := map[model.DomainID]bool{}
	for _, r := range requests {
		inSnapshot[r.Domain] = true
		if r.Offset >= e.next {
			changed = e.applyLocked(r) || changed
		}
	}
	if next <= e.next {
		return changed
	}
	for domain, known := range e.domains {
		if known.offset < next && (!inSnapshot[domain] || !known.evacuated) {
			delete(e.domains, domain)
			changed = changed || known.evacuated
		}
	}
	e.next = next
	return changed
}

// Confirm records that the log ended at an offset at a time, and that all requests before were applied. It ignores the zero time, times before
// the last one, and an end before a known record, which comes from a host that has read less of the log.
func (e *Evacuator) Confirm(end model.Offset, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if end >= e.next && at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
}

// IsEvacuated reports whether nothing may be started in the domain.
func (e *Evacuator) IsEvacuated(domain model.DomainID) bool {
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.domains[domain].evacuated
}

// Domains returns the evacuated failure domains in order.
func (e *Evacuator) Domains() []model.DomainID {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []model.DomainID
	for domain, r := range e.domains {
		if r.evacuated {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// AllowsStart reports whether the view is recent enough at the given time to start tasks. A request that is not in the view was then
// acknowledged so recently that a start request sent now reaches its worker within the bound. Without a bound, any view is, and none after
// FirstReadTime since the first call.
func (e *Evacuator) AllowsStart(now time.Time) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.Bound > 0:
		return !e.confirmedAt.IsZero() && age(e.confirmedAt, now) < min(MaxViewAge, e.Bound-StartTransit)
	case !e.confirmedAt.IsZero():
		return true
	case e.awaitedAt.IsZero():
		e.awaitedAt = now
	}
	return age(e.awaitedAt, now) >= FirstReadTime
}

// ViewAge returns the age of the view; ok is false before the first confirmation.
func (e *Evacuator) ViewAge(now time.Time) (d time.Duration, ok bool) {
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.IsZero() {
		return 0, false
	}
	return age(e.confirmedAt, now), true
}

// age returns the time since at, by the clock that shows more: the monotonic clock stands still while the machine is suspended, the
// wall clock may be set back.
func age(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
