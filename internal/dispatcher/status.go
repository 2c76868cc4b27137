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

// RunTimeStatuses returns what was learned of the run times of tasks. It returns nil if the leader does not learn them or the context ends
// first.
func (d *Dispatcher) RunTimeStatuses(ctx context.Context) []model.RunTimeStatus {
	return query(ctx, d, func(d *Dispatcher, _ time.Time) []model.RunTimeStatus { return d.runTimes.statuses() })
}

// JobForecast returns what is expected of a job, and nil if it is not known or the context ends first.
func (d *Dispatcher) JobForecast(ctx context.Context, id model.JobID) *model.JobForecast {
	return query(ctx, d, func(d *Dispatcher, now time.Time) *model.JobForecast {
		if j := d.jobs[id]; j != nil {
			return j.jobForecast(now)
		}
		return nil
	})
}

// queryEvent asks for something that only the goroutine of the dispatcher may read.
type queryEvent struct {
	ask func(d *Dispatcher, now time.Time)
}

func (e *queryEvent) apply(d *Dispatcher, now time.Time) { e.ask(d, now) }

// query returns what ask returns on the goroutine of the dispatcher, and the zero value if the context ends first.
func query[T any](ctx context.Context, d *Dispatcher, ask func(*Dispatcher, time.Time) T) (out T) {
	result := make(chan T, 1)
	select {
	case d.events <- &queryEvent{ask: func(d *Dispatcher, now time.Time) { result <- ask(d, now) }}:
	case <-ctx.Done():
		return out
	}
	select {
	case out = <-result:
	case <-ctx.Done():
	}
	return out
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
