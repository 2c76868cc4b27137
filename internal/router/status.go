package router

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Runners returns the status of all runners known to this host, sorted by id.
func (r *Router) Runners() []model.RunnerStatus {
	ch := make(chan []model.RunnerStatus, 1)
	if !r.post(func(l *eventLoop, _ time.Time) { ch <- l.runnerStatuses() }) {
		return nil
	}
	return <-ch
}

func (l *eventLoop) runnerStatuses() []model.RunnerStatus {
	var out []model.RunnerStatus
	for _, s := range l.services {
		for _, r := range s.runners {
			out = append(out, model.RunnerStatus{
				Runner: r.host.ID, Leaving: r.isLeaving, Slots: r.ownSlots, InFlight: r.inFlight,
			})
		}
	}
	slices.SortFunc(out, func(a, b model.RunnerStatus) int { return cmp.Compare(a.Runner, b.Runner) })
	return out
}
