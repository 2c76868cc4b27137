package dispatcher

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// Guards against a leader that grants leases, or starts tasks, beyond what its successor waits for.
func TestLeaseLimitMovesWithConfirmedAppends(t *testing.T) {
	is := is.New(t)
	const lease = 8 * time.Second
	var l leaseLimit
	now := time.Now()
	is.True(!l.allowsStart(now)) // nothing is confirmed yet
	is.Equal(l.cut(lease, 0, now), time.Duration(0))
	l.confirm(now, lease)
	is.True(l.allowsStart(now.Add(MinElectionTimeout - 1)))
	is.True(!l.allowsStart(now.Add(MinElectionTimeout)))
	is.Equal(l.cut(lease, 0, now.Add(MaxUnconfirmed)), lease)
	is.Equal(l.cut(lease, time.Second, now.Add(MaxUnconfirmed+time.Second)), lease-2*time.Second)
	is.Equal(l.cut(lease, 0, now.Add(MaxUnconfirmed+lease)), time.Duration(0))
}

// Guards against a leader that goes on after its resignation, beside a successor that has taken over at once.
func TestResignationEndsLeasesBeforeSuccessorStarts(t *testing.T) {
	is := is.New(t)
	const lease = 8 * time.Second
	var l leaseLimit
	now := time.Now()
	l.confirm(now, lease)
	l.resign(now, lease)
	l.confirm(now.Add(time.Second), lease) // an earlier append
	is.True(!l.allowsStart(now))
	is.Equal(l.cut(lease, 0, now.Add(formerLeaseDuration(lease, lease))), time.Duration(0))
}

// forget removes all confirmations while the sessions may use the limit.
func (l *leaseLimit) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt, l.startsUntil, l.leasesUntil = time.Time{}, time.Time{}, time.Time{}
}

// Guards against a limit that counts from the response of an append, which a successor may have read long before.
func TestLeaseLimitCountsFromFirstAttemptOfAppend(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(t)
	now := time.Now()
	d.leaseLimit.forget()
	(&appendEvent{batch: &batch{sentAt: now}}).apply(d, now.Add(900*time.Millisecond))
	is.True(d.leaseLimit.allowsStart(now.Add(1100 * time.Millisecond)))
	is.True(!d.leaseLimit.allowsStart(now.Add(1200 * time.Millisecond)))
}

// Guards against the lease of a start that has reached a restarted worker and is forgotten with the next report.
func TestRestartKeepsLeaseOfEarlierStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	end := f.worker.leaseEndsAt()
	f.worker.confirmIncarnation(true, f.later(10))
	f.worker.confirmIncarnation(false, f.later(20))
	is.True(!f.worker.leaseEndsAt().Before(end))
}

// Guards against a leader whose machine was suspended and that takes its permission, and its leases, for as long as before.
func TestLeaseLimitCountsSuspensionOfMachine(t *testing.T) {
	is := is.New(t)
	const lease = 8 * time.Second
	var l leaseLimit
	now := time.Now()
	l.confirm(now, lease)
	is.True(l.allowsStart(wakeAfter(now, time.Second)))
	is.True(!l.allowsStart(wakeAfter(now, 2*time.Second)))
	is.Equal(l.cut(lease, 0, wakeAfter(now, MaxUnconfirmed+time.Second)), lease-time.Second)
	is.Equal(l.cut(lease, 0, wakeAfter(now, MaxUnconfirmed+lease)), time.Duration(0))
	is.True(!l.allowsStart(now.Add(MinElectionTimeout)))                        // by the monotonic clock alone, too
	is.True(!l.allowsStart(wakeAfter(now.Add(MinElectionTimeout), -time.Hour))) // the wall clock was set back
}

// wakeAfter returns the time t on a machine that was suspended for a number of whole seconds: its monotonic clock has stood still.
func wakeAfter(t time.Time, suspended time.Duration) time.Time {
	const wallSecondsBit = 30 // of the first word of a time with a monotonic reading
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall += uint64(suspended/time.Second) << wallSecondsBit
	return t
}
