package router

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// leavingGrace is the time after this host has learned that a runner is leaving during which a send to it is no violation.
// The host list is read every second, so three seconds cover a list that is two reads old.
const leavingGrace = 3 * time.Second

// checkSend checks the invariants of sending. It returns false, after ending the call, for a repeated send of a
// non-idempotent request, because a second run could not be undone.
//
// A send to a leaving runner is only counted as a violation and may proceed, because the runner either refuses the request
// or runs it, and the caller gets a correct result in both cases.
func (l *eventLoop) checkSend(c *call, r *runner, now time.Time) bool {
	if r.isLeaving && now.Sub(r.leavingSince) > leavingGrace {
		l.reportViolation(asserter.SentToLeavingHost, "request", string(c.req.ID), "runner", string(r.host.ID),
			"leaving-for", now.Sub(r.leavingSince).String())
	}
	if c.req.Idempotent || !c.mayHaveSent {
		return true
	}
	l.reportViolation(asserter.RepeatedSend, "request", string(c.req.ID), "workspace", string(c.req.Workspace),
		"runner", string(r.host.ID), "attempts", c.attempts)
	l.endCall(c, Response{}, notRunError(model.ErrorKindUpstream, "the request was sent before and is not repeated", "retry later"))
	return false
}

func (l *eventLoop) reportViolation(inv asserter.Invariant, args ...any) {
	if f := l.opts.Hooks.OnViolation; f != nil {
		f(inv, args...)
	}
}
