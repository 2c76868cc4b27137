package leaselimiter

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
	// MaxConnectTime is the longest time to connect to a worker. A start request may reach a process that has started meanwhile.
	MaxConnectTime = 600 * time.Millisecond
	// succession is what MaxUnconfirmed adds to the time for which a successor waits.
	succession = MaxUnconfirmed - MinElectionTimeout
)

// FormerLeaseDuration returns how long after the start of a term a worker lease that a former leader has granted may last. A start
// request to a worker that has restarted may grant the longest lease once it has connected.
func FormerLeaseDuration(leaseDuration, maxLease time.Duration) time.Duration {
	return max(leaseDuration+succession, maxLease+MaxConnectTime)
}

// Limit bounds what a leader does without a confirmation of the log. A leader that is cut off from the log can't know whether it
// has a successor, which relies on these bounds. Its methods may be called concurrently. The zero value allows nothing.
type Limit struct {
	mu          sync.Mutex
	confirmedAt time.Time // time at which the last append that has succeeded was sent
	startsUntil time.Time // no start request is sent from then on
	leasesUntil time.Time // all worker leases have ended by then
	resigned    bool      // the limits no longer move
}

// Confirm moves the limits after an append that was sent at the given time and has succeeded.
func (l *Limit) Confirm(sentAt time.Time, leaseDuration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resigned || !sentAt.After(l.confirmedAt) {
		return
	}
	l.confirmedAt, l.startsUntil, l.leasesUntil = sentAt, sentAt.Add(MinElectionTimeout), sentAt.Add(MaxUnconfirmed+leaseDuration)
}

// Resign sets the limits for a leader that announces its resignation now. Its successor may take over at once.
func (l *Limit) Resign(now time.Time, leaseDuration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resigned, l.startsUntil = true, now
	if end := now.Add(succession + leaseDuration); end.Before(l.leasesUntil) {
		l.leasesUntil = end
	}
}

// AllowsStart reports whether a start request may be sent at the given time.
func (l *Limit) AllowsStart(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return timeLeft(l.startsUntil, now) > 0
}

// SinceConfirmed returns how long ago the last append that has succeeded was sent.
func (l *Limit) SinceConfirmed(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.confirmedAt)
}

// Cut returns the duration to request for a lease that is granted now, so that neither the given duration nor the limit is exceeded on
// a clock that is behind its estimate by the given drift. It is 0 once the limit has passed.
func (l *Limit) Cut(leaseDuration, drift time.Duration, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, min(leaseDuration, timeLeft(l.leasesUntil, now))-drift)
}

// timeLeft returns the time until the deadline, by the clock that leaves less: the monotonic clock stands still while the machine is
// suspended, the wall clock may be set back.
func timeLeft(deadline, now time.Time) time.Duration {
	return min(deadline.Sub(now), deadline.Round(0).Sub(now.Round(0)))
}
