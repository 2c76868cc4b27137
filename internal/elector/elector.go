package elector

import "time"

// Elector watches the signs of life of the leader in the log; its zero value has seen none.
type Elector struct {
	// ElectionTimeout is how long a leader may write nothing before another host stands.
	ElectionTimeout time.Duration
	// ElectionDelay delays this host, so that the best placed host stands first.
	ElectionDelay time.Duration

	contact     bool
	silentSince time.Time
	seen        uint64
	vacant      bool
}

// ReportLogCall reports whether a call to the log succeeded; silence counts only while calls succeed.
//
// During an outage of the log the leader cannot write either, so the count starts anew afterwards.
func (e *Elector) ReportLogCall(ok bool, now time.Time) {
	if ok && !e.contact {
		e.silentSince = now
	}
	e.contact = ok
}

// ObserveLeader reports how many records leaders have written, and whether nobody leads.
func (e *Elector) ObserveLeader(seen uint64, vacant bool, now time.Time) {
	if seen != e.seen || vacant && !e.vacant {
		e.seen = seen
		e.silentSince = now
	}
	e.vacant = vacant
}

// NextElection returns when the host should stand; ok is false while the log can't be reached.
func (e *Elector) NextElection() (t time.Time, ok bool) {
	if !e.contact {
		return time.Time{}, false
	}
	if e.vacant {
		return e.silentSince.Add(e.ElectionDelay), true
	}
	return e.silentSince.Add(e.ElectionTimeout + e.ElectionDelay), true
}

// ResetTimeout starts the count anew after a lost election.
func (e *Elector) ResetTimeout(now time.Time) {
	e.silentSince = now
}
