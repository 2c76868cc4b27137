package elector

import "time"

// Elector tracks the leader's activity in the log and computes the time of the next election. The zero value has observed no
// activity.
type Elector struct {
	// ElectionTimeout is how long a leader may write nothing before other hosts start an election.
	ElectionTimeout time.Duration
	// ElectionDelay is added to the timeout on this host. The host closest to the log has the shortest delay, so that it is the
	// first to start an election.
	ElectionDelay time.Duration

	logReachable  bool      // whether the last call to the log succeeded
	timeoutStart  time.Time // start of the current timeout
	leaderRecords uint64    // number of records that leaders had written at the last observation
	pausedUntil   time.Time // no election starts before this time
	leaderless    bool      // whether there was no leader at the last observation
}

// RecordLogCall records whether a call to the log succeeded. The timeout runs only while calls succeed.
//
// During an outage of the log the leader cannot write either, so the timeout restarts after the outage.
func (e *Elector) RecordLogCall(ok bool, now time.Time) {
	if ok && !e.logReachable {
		e.timeoutStart = now
	}
	e.logReachable = ok
}

// RecordLeader records how many records leaders have written and whether there is no leader. Each new leader record, and the
// loss of the leader, restarts the timeout.
func (e *Elector) RecordLeader(leaderRecords uint64, leaderless bool, now time.Time) {
	if leaderRecords != e.leaderRecords || leaderless && !e.leaderless {
		e.leaderRecords = leaderRecords
		e.timeoutStart = now
	}
	e.leaderless = leaderless
}

// NextElection returns the time at which the host should start an election; ok is false while the log can't be reached.
// If there is no leader, the host waits only for its election delay.
func (e *Elector) NextElection() (t time.Time, ok bool) {
	if !e.logReachable {
		return time.Time{}, false
	}
	t = e.timeoutStart.Add(e.ElectionDelay)
	if !e.leaderless {
		t = t.Add(e.ElectionTimeout)
	}
	if t.Before(e.pausedUntil) {
		t = e.pausedUntil
	}
	return t, true
}

// Pause keeps the host from starting an election before a time.
func (e *Elector) Pause(until time.Time) { e.pausedUntil = until }

// ResetTimeout restarts the timeout at the given time, for example after a lost election.
func (e *Elector) ResetTimeout(start time.Time) {
	e.timeoutStart = start
}
