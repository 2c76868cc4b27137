package worker

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// DirectClient calls the workers of a fleet without a network; it implements dispatcher.WorkerClient.
type DirectClient struct {
	Fleet *Fleet
	// InjectFault returns the fault to inject into the current call to the worker; nil injects none.
	InjectFault func(model.HostID) CallFault
}

// CallFault is a fault that is injected into a call.
type CallFault string

// The faults of calls by a DirectClient.
const (
	NoFault                CallFault = ""
	FaultConnectionRefused CallFault = "refused" // the connection is refused, so the request is not sent
	FaultRequestLost       CallFault = "silent"  // the call has no effect and gets no response
	FaultResponseLost      CallFault = "lost"    // the call takes effect, but gets no response
	FaultRequestDelayed    CallFault = "late"    // the call gets no response and takes effect after delayedRequestDelay
)

// delayedRequestDelay is the time until a request under FaultRequestDelayed takes effect.
const delayedRequestDelay = 3 * time.Second

// Start implements dispatcher.WorkerClient.
func (d *DirectClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	return callWithFault(ctx, d, w.ID, func() (dispatcher.Response, error) { return d.Fleet.StartRun(w.ID, req, time.Now()) })
}

// Stop implements dispatcher.WorkerClient.
func (d *DirectClient) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	return callWithFault(ctx, d, w.ID, func() (dispatcher.Response, error) { return d.Fleet.StopRun(w.ID, req, time.Now()) })
}

// RenewLease implements dispatcher.WorkerClient.
func (d *DirectClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return callWithFault(ctx, d, w.ID, func() (dispatcher.Report, error) { return d.Fleet.RenewLeaseAndWait(ctx, w.ID, req) })
}

// callWithFault makes a call to a worker under the current fault.
func callWithFault[Out any](ctx context.Context, d *DirectClient, id model.HostID, send func() (Out, error)) (Out, error) {
	var zero Out
	fault := NoFault
	if d.InjectFault != nil {
		fault = d.InjectFault(id)
	}
	if fault == NoFault && d.Fleet.IsDown(id, time.Now()) {
		return zero, errors.Mark(syscall.ECONNREFUSED, dispatcher.ErrNotSent)
	}
	switch fault {
	case FaultConnectionRefused:
		return zero, dispatcher.ErrNotSent
	case FaultRequestLost:
		<-ctx.Done()
		return zero, ctx.Err()
	case FaultResponseLost:
		_, _ = send() // the caller doesn't learn the outcome
		<-ctx.Done()
		return zero, ctx.Err()
	case FaultRequestDelayed:
		go func() {
			incarnation := d.Fleet.Incarnation(id)
			time.Sleep(delayedRequestDelay)
			if d.Fleet.Incarnation(id) == incarnation { // a request in transit to a process is lost when the process ends
				_, _ = send() // the caller doesn't learn the outcome
			}
		}()
		<-ctx.Done()
		return zero, ctx.Err()
	}
	out, err := send()
	if ctx.Err() != nil && err == nil {
		return zero, errors.Wrap(ctx.Err(), "worker: the context of the call ended")
	}
	return out, err
}
