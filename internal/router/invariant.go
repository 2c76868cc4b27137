package router

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// leavingGrace is how long a send to a leaving runner is tolerated after this host learned that it is leaving. The host
// list is read every second, so three seconds cover a list that is two reads old.
const leavingGrace = 3 * time.Second

// checkSend asserts the invariants of sending and reports whether the attempt may proceed.
//
// A repeated send of a non-idempotent request is refused, because its effect could not be undone. A send to a leaving
// runner is only counted as a violation: the runner refuses or answers the request, and both are correct for the caller.
func (l *eventLoop) checkSend(c *call, r *runner, now time.Time) bool {
	if r.leaving && now.Sub(r.leavingSince) > leavingGrace {
		l.reportViolation(asserter.SentToLeavingHost, "request", string(c.req.ID), "runner", string(r.host.ID),
			"leaving-for", now.Sub(r.leavingSince).String())
	}
	if c.req.Idempotent || !c.bytesSent {
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
