package claimer

import (
	"chestnutmux.example/chestnutmux/internal/asserter"
)

// sentRequests is the set of the newest requests that this host has sent. It detects repeated sends independently of the
// results and claims that prevent them. It has the same limit as the results, which is 3 MB at about 150 bytes per request.
type sentRequests struct {
	limit int
	seen  map[requestKey]struct{}
	order []requestKey // oldest first
}

// add adds a request and reports whether it was not in the set before.
func (s *sentRequests) add(k requestKey) bool {
	if _, ok := s.seen[k]; ok {
		return false
	}
	if s.seen == nil {
		s.seen = map[requestKey]struct{}{}
	}
	if len(s.order) >= s.limit {
		delete(s.seen, s.order[0])
		s.order = s.order[1:]
	}
	s.seen[k] = struct{}{}
	s.order = append(s.order, k)
	return true
}

// markSent records that a request is about to be sent and reports whether it may be sent. A repeated send is refused and
// reported as a violation, because its effect could not be undone.
func (c *Claimer) markSent(entry *resultEntry) bool {
	c.mu.Lock()
	isFirst := c.sentRequests.add(entry.key)
	c.mu.Unlock()
	if !isFirst && c.opts.OnViolation != nil {
		c.opts.OnViolation(asserter.RepeatedSend, "request", string(entry.key.request), "workspace", string(entry.key.workspace))
	}
	return isFirst
}
