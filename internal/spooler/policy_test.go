package spooler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against submissions that are held to no purpose, or refused although the log may be back in time.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	isolated := PeerView{Responding: 1, Silent: 4}
	mostRespond := PeerView{Responding: 4, Silent: 1}
	for name, c := range map[string]struct {
		view       LogView
		deadline   time.Duration // 0 means 2,850 ms
		held       bool
		action     Action
		reason     Reason
		retryAfter time.Duration
	}{
		"reachable":                   {action: ActionAppend},
		"young outage":                {view: LogView{DownSince: in(-time.Second), Peers: mostRespond}, action: ActionHold},
		"log and peers lost just now": {view: LogView{DownSince: in(-500 * time.Millisecond), Peers: isolated}, action: ActionHold},
		"isolated":                    {view: LogView{DownSince: in(-time.Second), Peers: isolated}, action: ActionRefuse, reason: ReasonIsolated, retryAfter: time.Second},
		"isolated while held":         {view: LogView{DownSince: in(-time.Second), Peers: isolated}, held: true, action: ActionRefuse, reason: ReasonIsolated, retryAfter: time.Second},
		"outage of some seconds":      {view: LogView{DownSince: in(-20 * time.Second), Peers: mostRespond}, action: ActionHold},
		"long outage":                 {view: LogView{DownSince: in(-time.Minute), Peers: mostRespond}, action: ActionRefuse, reason: ReasonLongOutage, retryAfter: maxRetryAfter},
		"held in an outage":           {view: LogView{DownSince: in(-time.Minute), Peers: mostRespond}, held: true, action: ActionHold},
		"too late":                    {view: LogView{DownSince: in(-time.Second), Peers: mostRespond}, deadline: -1, action: ActionRefuse, reason: ReasonDeadline, retryAfter: time.Second},
		"little time left":            {view: LogView{DownSince: in(-8 * time.Second), Peers: mostRespond}, deadline: 500 * time.Millisecond, action: ActionRefuse, reason: ReasonLongOutage, retryAfter: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			deadline := 2850 * time.Millisecond
			if c.deadline != 0 {
				deadline = c.deadline
			}
			d := Decide(c.view, NewLimits(now, in(deadline)), c.held, now)
			is.Equal(d, Decision{Action: c.action, Reason: c.reason, RetryAfter: c.retryAfter})
		})
	}
}

// Guards against a balancer that is left without hosts while the log is down for all, and against an isolated host that gets calls.
func TestReady(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.True(Ready(LogView{}, now))
	is.True(Ready(LogView{DownSince: now.Add(-time.Hour), Peers: PeerView{Responding: 3}}, now))
	is.True(Ready(LogView{DownSince: now.Add(-time.Hour)}, now)) // a host without peers
	is.True(Ready(LogView{DownSince: now.Add(-time.Second), Peers: PeerView{Silent: 3}}, now))
	is.True(!Ready(LogView{DownSince: now.Add(-2 * time.Second), Peers: PeerView{Silent: 3}}, now))
}
