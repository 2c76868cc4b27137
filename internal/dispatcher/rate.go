package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/pacer"
)

// startMargin is the time before the end of the permission to start tasks in which no more starts are planned, so that the members
// of a gang are sent together or not at all.
const startMargin = 100 * time.Millisecond

// startOverhead is the size of a start request without its payload, including the headers of all protocols and the response.
const startOverhead = 700

// startBytes returns the bytes that a start request for a task of the job transfers.
func startBytes(j *job) pacer.Bytes {
	return startOverhead + pacer.Bytes(len(j.submission.Payload))
}

// canStart reports whether the rate limit allows to send a start request now. If not, another pass follows soon. It also reports
// false while the log does not confirm this leader's appends, so that there may be a successor, and while the failure domains that must not
// be used are not known well enough.
func (p *schedulingPass) canStart() bool {
	if soon := p.now.Add(startMargin); !p.d.leaseLimit.AllowsStart(soon) || !p.d.Evacuator.AllowsStart(soon) {
		return false
	}
	if p.d.pacer.CanStart(p.now) {
		return true
	}
	p.d.startsDeferred = true
	return false
}

// trimToRate drops the tasks of the unit that the rate limit of start requests does not allow to start now, and reports whether any
// tasks remain. A gang is never split. Units are scheduled in the order of their rank, so the most urgent work is sent first.
func (p *schedulingPass) trimToRate(u *placementUnit) bool {
	if !p.canStart() {
		return false
	}
	if u.step.spec.Gang {
		return true
	}
	if n := p.d.pacer.Affordable(p.now, startBytes(u.step.job)); n < len(u.tasks) {
		u.tasks = u.tasks[:n]
		p.d.startsDeferred = true
	}
	return true
}

// hasResponded reports whether a call to a worker that ended with an error, or with nil, has got a response.
func hasResponded(err error) bool {
	var refused *RefusedError
	return err == nil || errors.As(err, &refused)
}
