package elector

import "time"

// Elector tracks the leader's activity in the log. The zero value has observed none.
type Elector struct {
	// ElectionTimeout is how long a leader may write nothing before other hosts start an election.
	ElectionTimeout time.Duration
	// ElectionDelay is this host's delay after the timeout, so that the host closest to the log starts an election first.
	ElectionDelay time.Duration

	logReachable  bool
	timeoutStart  time.Time // start of the current timeout
	leaderRecords uint64    // number of records that leaders had written at the last observation
	leaderless    bool      // whether there is no leader
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

// NextElection returns when the host should start an election; ok is false while the log can't be reached.
func (e *Elector) NextElection() (t time.Time, ok bool) {
	if !e.logReachable {
		return time.Time{}, false
	}
	if e.leaderless {
		return e.timeoutStart.Add(e.ElectionDelay), true
	}
	return e.timeoutStart.Add(e.ElectionTimeout + e.ElectionDelay), true
}

// ResetTimeout restarts the timeout at the given time, for example after a lost election.
func (e *Elector) ResetTimeout(start time.Time) {
	e.timeoutStart = start
}
