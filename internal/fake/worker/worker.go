package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// holdStep is the pause between looks at a worker whose report is awaited.
const holdStep = 10 * time.Millisecond

// Worker serves one worker of a fleet over HTTP.
type Worker struct {
	fault.Injector
	id    model.HostID
	fleet *Fleet
}

// NewWorker adds a worker to the fleet.
func NewWorker(f *Fleet, id model.HostID, capacity model.Resources) *Worker {
	f.AddWorker(id, capacity, time.Now())
	return &Worker{id: id, fleet: f}
}

// Restart loses all that the worker knows.
func (w *Worker) Restart() {
	w.DropRequests()
	w.fleet.RestartWorker(w.id, time.Now())
}

// Handler serves the worker's interface and its fault switches.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", func(rw http.ResponseWriter, r *http.Request) {
		answer(rw, r, func(_ context.Context, o dispatcher.StartRequest) (dispatcher.Response, error) {
			f := w.Faults()
			if f.Refuse {
				return dispatcher.Response{}, &dispatcher.RefusedError{Reason: dispatcher.RefusedUnhealthy}
			}
			w.fleet.SetFailRuns(w.id, f.FailTasks)
			return w.fleet.StartRun(w.id, o, time.Now())
		})
	})
	mux.HandleFunc("POST /v1/stop", func(rw http.ResponseWriter, r *http.Request) {
		answer(rw, r, func(_ context.Context, o dispatcher.StopRequest) (dispatcher.Response, error) {
			return w.fleet.StopRun(w.id, o, time.Now())
		})
	})
	mux.HandleFunc("POST /v1/hold", func(rw http.ResponseWriter, r *http.Request) { answer(rw, r, w.hold) })
	return w.Wrap(mux, nil)
}

// hold renews the lease at once and reports when a run has ended or the wait is over.
func (w *Worker) hold(ctx context.Context, o dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return w.fleet.RenewLeaseAndWait(ctx, w.id, o)
}

// answer decodes an order, carries it out and encodes the answer.
func answer[In, Out any](w http.ResponseWriter, r *http.Request, do func(context.Context, In) (Out, error)) {
	var in In
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	out, err := do(r.Context(), in)
	var refused *dispatcher.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == dispatcher.RefusedUnhealthy:
		fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "the worker takes nothing at present")
	case errors.As(err, &refused):
		fault.WriteJSON(w, http.StatusConflict, workerclient.RefusalResponse{Refusal: refused.Reason})
	case err != nil:
		fault.WriteError(w, http.StatusInternalServerError, model.ErrorKindInvalid, err.Error())
	default:
		fault.WriteJSON(w, http.StatusOK, out)
	}
}
