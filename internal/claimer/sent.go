package claimer

import (
	"chestnutmux.example/chestnutmux/internal/asserter"
)

// sent remembers the newest requests that this host sent, apart from the results and claims that decide about sending.
// Its bound is that of the results; at about 150 bytes a request it takes 3 MB at most.
type sent struct {
	limit int
	seen  map[key]struct{}
	order []key // oldest first
}

// add notes a request and reports whether it is the first one with its key.
func (s *sent) add(k key) bool {
	if _, ok := s.seen[k]; ok {
		return false
	}
	if s.seen == nil {
		s.seen = map[key]struct{}{}
	}
	if len(s.order) >= s.limit {
		delete(s.seen, s.order[0])
		s.order = s.order[1:]
	}
	s.seen[k] = struct{}{}
	s.order = append(s.order, k)
	return true
}

// maySend asserts that the request has not been sent; a repeated send is refused, because it could not be taken back.
func (c *Claimer) maySend(rec *record) bool {
	c.mu.Lock()
	first := c.sent.add(rec.key)
	c.mu.Unlock()
	if !first && c.opts.OnViolation != nil {
		c.opts.OnViolation(asserter.RepeatedSend, "request", string(rec.key.request), "workspace", string(rec.key.workspace))
	}
	return first
}
