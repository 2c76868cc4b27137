package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// WorkerStatuses returns the status of each worker as seen by the leader, ordered by worker ID. It returns nil if the context ends
// first.
func (d *Dispatcher) WorkerStatuses(ctx context.Context) []model.WorkerStatus {
	result := make(chan []model.WorkerStatus, 1)
	select {
	case d.events <- &statusEvent{result: result}:
	case <-ctx.Done():
		return nil
	}
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		return nil
	}
}

func (e *statusEvent) apply(d *Dispatcher, now time.Time) {
	out := make([]model.WorkerStatus, 0, len(d.workers))
	for _, w := range d.workers {
		active, stopping := w.usedResources()
		out = append(out, model.WorkerStatus{
			Worker: w.info.ID, Rack: w.info.Rack, Health: w.healthStatus(now), Accelerators: w.info.Capacity.Accelerators,
			InUse: active.Add(stopping).Accelerators,
		})
	}
	slices.SortFunc(out, func(a, b model.WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	e.result <- out
}

// healthStatus returns the state of the worker for the status output, which calls a quarantined worker "closed" and a suspected
// one "doubtful".
func (w *worker) healthStatus(now time.Time) string {
	switch {
	case !w.listed:
		return "unlisted"
	case w.evacuated:
		return "evacuated"
	case !w.isResponding:
		return "unreachable"
	case !w.isDescribed():
		return "restarted"
	case w.info.State == model.WorkerDraining:
		return "draining"
	case now.Before(w.quarantinedUntil):
		return "closed"
	case w.suspicion > 0:
		return "doubtful"
	case w.isCold(now):
		return "cold"
	}
	return "ready"
}
