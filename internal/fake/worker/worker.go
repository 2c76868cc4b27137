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

// pollInterval is the time between checks for a run end while a call waits for one.
const pollInterval = 10 * time.Millisecond

// Worker is the HTTP interface of one worker of a fleet.
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

// Restart aborts the requests in progress and restarts the worker without any of its state.
func (w *Worker) Restart() {
	w.DropRequests()
	w.fleet.RestartWorker(w.id, time.Now())
}

// Handler returns the HTTP handler for the worker's API and for its fault injection under /admin/.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/start", func(rw http.ResponseWriter, r *http.Request) {
		serveCall(rw, r, func(_ context.Context, req dispatcher.StartRequest) (dispatcher.Response, error) {
			f := w.Faults()
			if f.Refuse {
				return dispatcher.Response{}, &dispatcher.RefusedError{Reason: dispatcher.RefusedUnhealthy}
			}
			w.fleet.SetFailRuns(w.id, f.FailTasks)
			return w.fleet.StartRun(w.id, req, time.Now())
		})
	})
	mux.HandleFunc("POST /v1/stop", func(rw http.ResponseWriter, r *http.Request) {
		serveCall(rw, r, func(_ context.Context, req dispatcher.StopRequest) (dispatcher.Response, error) {
			return w.fleet.StopRun(w.id, req, time.Now())
		})
	})
	mux.HandleFunc("POST /v1/hold", func(rw http.ResponseWriter, r *http.Request) { serveCall(rw, r, w.renewLease) })
	return w.Wrap(mux, nil)
}

// renewLease renews the lease at once and returns when a run has ended or the requested wait is over.
func (w *Worker) renewLease(ctx context.Context, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return w.fleet.RenewLeaseAndWait(ctx, w.id, req)
}

// serveCall decodes a request, passes it to call and encodes the response or the error.
func serveCall[In, Out any](w http.ResponseWriter, r *http.Request, call func(context.Context, In) (Out, error)) {
	var req In
	if !fault.ReadJSON(w, r, &req) {
		return
	}
	resp, err := call(r.Context(), req)
	var refused *dispatcher.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == dispatcher.RefusedUnhealthy:
		fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "the worker takes nothing at present")
	case errors.As(err, &refused):
		fault.WriteJSON(w, http.StatusConflict, workerclient.RefusalResponse{Refusal: refused.Reason})
	case err != nil:
		fault.WriteError(w, http.StatusInternalServerError, model.ErrorKindInvalid, err.Error())
	default:
		fault.WriteJSON(w, http.StatusOK, resp)
	}
}
