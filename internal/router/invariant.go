package router

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// leavingGrace is how long after the notice a send to a leaving runner is tolerated. The host list is read every
// second, so three seconds cover a list that is stale by two reads.
const leavingGrace = 3 * time.Second

// inspect asserts the rules of sending and reports whether the attempt may go on.
//
// A repeated send is refused, because its effect could not be taken back. A send to a leaving runner is only counted:
// the runner refuses it or answers it, and both are correct for the caller.
func (t *task) inspect(c *call, r *runner, now time.Time) bool {
	if r.leaving && now.Sub(r.leavingAt) > leavingGrace {
		t.violated(asserter.SentToLeavingHost, "request", string(c.req.ID), "runner", string(r.host.ID),
			"leaving-for", now.Sub(r.leavingAt).String())
	}
	if c.req.Idempotent || !c.written {
		return true
	}
	t.violated(asserter.RepeatedSend, "request", string(c.req.ID), "workspace", string(c.req.Workspace),
		"runner", string(r.host.ID), "attempts", c.attempts)
	t.end(c, Answer{}, notRun(model.ErrorKindUpstream, "the request was sent before and is not repeated", "retry later"))
	return false
}

func (t *task) violated(inv asserter.Invariant, args ...any) {
	if f := t.opts.Hooks.OnViolation; f != nil {
		f(inv, args...)
	}
}
