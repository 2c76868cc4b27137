package excluder

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

// Exclusions holds the workers on which a step has failed in this term. The zero value is empty.
type Exclusions map[model.HostID]exclusion

// Exclude gives a worker no tasks of the step for a time, and makes it the last choice after that.
func (e *Exclusions) Exclude(id model.HostID, now time.Time) {
	if *e == nil {
		*e = Exclusions{}
	}
	x := (*e)[id]
	(*e)[id] = exclusion{until: now.Add(min(minExclusion<<min(x.failures, 8), maxExclusion)), failures: x.failures + 1}
}

// Excluded returns the workers that get no tasks of the step now.
func (e Exclusions) Excluded(now time.Time) map[model.HostID]bool {
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

// Avoided returns all workers on which the step has failed.
func (e Exclusions) Avoided() map[model.HostID]bool {
	if len(e) == 0 {
		return nil
	}
	out := make(map[model.HostID]bool, len(e))
	for id := range e {
		out[id] = true
	}
	return out
}
