package router

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Runners returns the runners of all services as this host sees them, sorted by id.
func (r *Router) Runners() []model.RunnerStatus {
	ch := make(chan []model.RunnerStatus, 1)
	if !r.post(func(t *task, _ time.Time) { ch <- t.runners() }) {
		return nil
	}
	return <-ch
}

func (t *task) runners() []model.RunnerStatus {
	var out []model.RunnerStatus
	for _, s := range t.services {
		for _, r := range s.runners {
			out = append(out, model.RunnerStatus{
				Runner: r.host.ID, Leaving: r.leaving, Slots: r.share, InFlight: r.inFlight,
			})
		}
	}
	slices.SortFunc(out, func(a, b model.RunnerStatus) int { return cmp.Compare(a.Runner, b.Runner) })
	return out
}
