package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
)

// coldStarts limits the starts on a cold worker. The zero value allows a first start at once.
type coldStarts struct {
	tokens float64 // number of tasks that may be started; negative after starts that were not limited
	at     time.Time
}

// refill adds what has become allowed since the last call at a rate, and returns the number of tasks that may be started.
func (c *coldStarts) refill(perSecond float64, now time.Time) int {
	burst := max(1, perSecond)
	if c.at.IsZero() {
		c.tokens = burst
	} else {
		c.tokens = min(burst, c.tokens+perSecond*now.Sub(c.at).Seconds())
	}
	c.at = now
	return max(0, int(c.tokens))
}

// isCold reports whether the worker is slow for a while, because its process has started or its failure domain is back in use.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.info.ColdUntil) }

// markCold sets the fields of a node for a cold worker.
//
// A failure domain that is taken back has many empty, cold workers at once. They would attract all work that waits, which would run slowly there.
func (p *schedulingPass) markCold(n *placer.Node, w *worker) {
	if !w.isCold(p.now) {
		return
	}
	n.Cold = true
	if rate := p.d.entitlements.ColdStartsPerSecond[w.info.Service]; rate > 0 {
		n.ColdLimited, n.ColdSlots = true, w.coldStarts.refill(rate, p.now)
	}
}

// countColdStart counts a start on a worker against its limit, if it is cold.
func (p *schedulingPass) countColdStart(w *worker) {
	if n := p.nodeOf[w]; n != nil && n.ColdLimited {
		w.coldStarts.tokens--
		n.ColdSlots--
	}
}

// ignoresColdLimit reports whether the tasks of a step are started on cold workers whatever these can bear. A gang may need more starts at once than
// the limit ever allows; it waits for the limit no longer than for a better place beside ample room.
func (p *schedulingPass) ignoresColdLimit(s *step) bool {
	since := s.waitLog.waitingSince
	return s.spec.Gang && !since.IsZero() && p.now.Sub(since) >= ampleRoomWait
}
