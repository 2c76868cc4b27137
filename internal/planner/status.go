package planner

import (
	"context"
	"maps"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// State is a copy of the planner's state for status and metrics.
type State struct {
	Role    reserver.Role
	Term    model.Term
	Held    bool // earlier jobs wait until all workers are accounted for
	Stats   scheduler.Stats
	Workers []hostclient.Host
	Usages  []allocator.Usage `json:"-"` // of the workers that the scheduler knows, sorted by id
}

// State returns a copy of the state.
func (p *Planner) State(ctx context.Context) (State, error) {
	var s State
	err := p.ask(ctx, func(p *Planner) {
		s = State{Role: p.role, Term: p.term, Held: p.held}
		if p.sched == nil {
			return
		}
		s.Stats, s.Usages = p.sched.Stats(time.Now()), p.sched.Usages()
		s.Workers = slices.SortedFunc(maps.Values(p.workers), func(a, b hostclient.Host) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	})
	return s, err
}

// Explain tells why a job waits; ok is false when this host does not plan the failure domain.
func (p *Planner) Explain(ctx context.Context, id model.JobID) (e scheduler.Explanation, ok bool, err error) {
	err = p.ask(ctx, func(p *Planner) {
		if p.sched == nil {
			return
		}
		e, ok = p.sched.Explain(id, time.Now()), true
	})
	return e, ok, err
}
