package elector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a host that stands because of an outage of the log, in which the leader can't write either.
func TestSilenceCountsOnlyWhileTheLogAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	e := Elector{ElectionTimeout: 1500 * time.Millisecond, ElectionDelay: 100 * time.Millisecond}
	_, ok := e.NextElection()
	is.True(!ok) // the log was never reached
	e.ReportLogCall(true, at)
	e.ObserveLeader(1, false, at)
	stand, ok := e.NextElection()
	is.True(ok)
	is.Equal(stand, at.Add(1600*time.Millisecond))
	e.ReportLogCall(false, at.Add(time.Second))
	_, ok = e.NextElection()
	is.True(!ok)
	e.ReportLogCall(true, at.Add(9*time.Second))
	stand, _ = e.NextElection()
	is.Equal(stand, at.Add(9*time.Second+1600*time.Millisecond))
	e.ObserveLeader(2, false, at.Add(10*time.Second))
	stand, _ = e.NextElection()
	is.Equal(stand, at.Add(11600*time.Millisecond))
}

// Guards against a vacant lead that waits for the silence of a leader, and a loser that stands again at once.
func TestVacantLead(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	e := Elector{ElectionTimeout: 1500 * time.Millisecond, ElectionDelay: 100 * time.Millisecond}
	e.ReportLogCall(true, at)
	e.ObserveLeader(0, true, at)
	stand, _ := e.NextElection()
	is.Equal(stand, at.Add(100*time.Millisecond))
	e.ResetTimeout(at.Add(time.Second))
	stand, _ = e.NextElection()
	is.Equal(stand, at.Add(1100*time.Millisecond))
}
