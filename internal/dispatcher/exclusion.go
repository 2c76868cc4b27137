package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// minExclusion and maxExclusion limit the time for which a worker gets no tasks of a step after the step has failed there. The
	// time doubles with each failure. It ends, because the worker may be the only one that may run the step.
	minExclusion = 3 * time.Second
	maxExclusion = 12 * time.Second
)

// exclusion says until when a worker gets no tasks of a step.
type exclusion struct {
	until    time.Time
	failures int // number of failures of the step on the worker
}

// exclusions holds the workers on which a step has failed in this term. The zero value is empty.
type exclusions map[model.HostID]exclusion

// excludeWorker prevents runs of the step on a worker for a time, and makes the worker its last choice after that.
func (s *step) excludeWorker(w *worker, now time.Time) {
	if s.exclusions == nil {
		s.exclusions = exclusions{}
	}
	e := s.exclusions[w.info.ID]
	s.exclusions[w.info.ID] = exclusion{until: now.Add(min(minExclusion<<min(e.failures, 8), maxExclusion)), failures: e.failures + 1}
}

// excluded returns the workers that get no tasks of the step now.
func (e exclusions) excluded(now time.Time) map[model.HostID]bool {
	var out map[model.HostID]bool
	for id, x := range e {
		if !now.Before(x.until) {
			continue
		}
		if out == nil {
			out = map[model.HostID]bool{}
		}
		out[id] = true
	}
	return out
}

// avoided returns all workers on which the step has failed.
func (e exclusions) avoided() map[model.HostID]bool {
	if len(e) == 0 {
		return nil
	}
	out := make(map[model.HostID]bool, len(e))
	for id := range e {
		out[id] = true
	}
	return out
}
