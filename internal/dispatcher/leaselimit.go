package dispatcher

import (
	"sync"
	"time"
)

const (
	// MinElectionTimeout is how long the log has certainly shown no append of a leader before another host takes over from it, unless
	// the leader has resigned or its process has ended.
	MinElectionTimeout = 1200 * time.Millisecond
	// MaxUnconfirmed is how long after its last confirmed append a leader grants worker leases of full length. It bridges a short
	// outage of the log, and a successor waits longer by as much for workers that do not respond to it.
	MaxUnconfirmed = 3 * time.Second
	// minStartLease is the shortest lease with which a task is started. The next renewal needs time to extend it.
	minStartLease = time.Second
)

// formerLeaseDuration returns how long after the start of a term a worker lease that a former leader has granted may last.
func formerLeaseDuration(leaseDuration time.Duration) time.Duration {
	return leaseDuration + MaxUnconfirmed - MinElectionTimeout
}

// leaseLimit is the time at which all worker leases that a leader grants have ended unless the log confirms a later append. A leader
// that is cut off from the log can't know whether it has a successor, which relies on that. Its methods may be called concurrently.
type leaseLimit struct {
	mu sync.Mutex
	at time.Time
}

// confirm moves the limit after an append that was sent at the given time and has succeeded.
func (l *leaseLimit) confirm(sentAt time.Time, leaseDuration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at := sentAt.Add(MaxUnconfirmed + leaseDuration); at.After(l.at) {
		l.at = at
	}
}

// cut returns the duration to request for a lease that is granted now, so that neither the given duration nor the limit is exceeded on
// a clock that is behind its estimate by the given drift. It is 0 once the limit has passed.
func (l *leaseLimit) cut(leaseDuration, drift time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, min(leaseDuration, l.at.Sub(now))-drift)
}
