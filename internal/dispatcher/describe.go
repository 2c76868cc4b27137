package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// WorkerStatuses returns the status of each worker as seen by the leader, or nil when the context ends first.
func (d *Dispatcher) WorkerStatuses(ctx context.Context) []model.WorkerStatus {
	reply := make(chan []model.WorkerStatus, 1)
	select {
	case d.events <- &statusEvent{reply: reply}:
	case <-ctx.Done():
		return nil
	}
	select {
	case out := <-reply:
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
	e.reply <- out
}

// healthStatus returns the state of the worker as the status output shows it to operators.
func (w *worker) healthStatus(now time.Time) string {
	switch {
	case !w.listed:
		return "unlisted"
	case !w.isResponding:
		return "unreachable"
	case w.info.State == model.WorkerDraining:
		return "draining"
	case now.Before(w.quarantinedUntil):
		return "closed"
	case w.suspicion > 0:
		return "doubtful"
	}
	return "ready"
}
