package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// WorkerStatuses returns the workers as the leader sees them.
func (d *Dispatcher) WorkerStatuses(ctx context.Context) []model.WorkerStatus {
	reply := make(chan []model.WorkerStatus, 1)
	select {
	case d.events <- &asked{reply: reply}:
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

func (e *asked) apply(d *Dispatcher, now time.Time) {
	out := make([]model.WorkerStatus, 0, len(d.workers))
	for _, w := range d.workers {
		active, stopping := w.used()
		out = append(out, model.WorkerStatus{
			Worker: w.info.ID, Rack: w.info.Rack, Health: w.condition(now), Accelerators: w.info.Capacity.Accelerators,
			InUse: active.Add(stopping).Accelerators,
		})
	}
	slices.SortFunc(out, func(a, b model.WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	e.reply <- out
}

// condition names the state of a worker for operators.
func (w *worker) condition(now time.Time) string {
	switch {
	case !w.listed:
		return "unlisted"
	case !w.answers:
		return "unreachable"
	case w.info.State == model.WorkerDraining:
		return "draining"
	case now.Before(w.closedUntil):
		return "closed"
	case w.doubt > 0:
		return "doubtful"
	}
	return "ready"
}
