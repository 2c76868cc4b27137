package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// DirectClient calls the workers of a fleet without a network; it implements dispatcher.Workers.
type DirectClient struct {
	Fleet *Fleet
	// InjectFault returns what goes wrong with a call to the worker now; it may be nil.
	InjectFault func(model.HostID) CallFault
}

// CallFault is what goes wrong with a call.
type CallFault string

// The faults of a direct call.
const (
	NoFault                CallFault = ""
	FaultConnectionRefused CallFault = "refused" // no connection
	FaultRequestLost       CallFault = "silent"  // no answer, nothing is done
	FaultResponseLost      CallFault = "lost"    // done, but no answer
	FaultRequestDelayed    CallFault = "late"    // no answer, and done seconds later
)

// lateBy is the delay of an order that is carried out late.
const lateBy = 3 * time.Second

// Start implements dispatcher.Workers.
func (d *DirectClient) Start(ctx context.Context, w model.Worker, o dispatcher.StartRequest) (dispatcher.Response, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Response, error) { return d.Fleet.StartRun(w.ID, o, time.Now()) })
}

// Stop implements dispatcher.Workers.
func (d *DirectClient) Stop(ctx context.Context, w model.Worker, o dispatcher.StopRequest) (dispatcher.Response, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Response, error) { return d.Fleet.StopRun(w.ID, o, time.Now()) })
}

// RenewLease implements dispatcher.Workers.
func (d *DirectClient) RenewLease(ctx context.Context, w model.Worker, o dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Report, error) { return d.Fleet.RenewLeaseAndWait(ctx, w.ID, o) })
}

// call carries out an order with the fault of the moment.
func call[Out any](ctx context.Context, d *DirectClient, id model.HostID, do func() (Out, error)) (Out, error) {
	var none Out
	fault := NoFault
	if d.InjectFault != nil {
		fault = d.InjectFault(id)
	}
	switch fault {
	case FaultConnectionRefused:
		return none, dispatcher.ErrNotSent
	case FaultRequestLost:
		<-ctx.Done()
		return none, ctx.Err()
	case FaultResponseLost:
		_, _ = do() // the outcome stays unknown to the caller
		<-ctx.Done()
		return none, ctx.Err()
	case FaultRequestDelayed:
		go func() {
			life := d.Fleet.incarnation(id)
			time.Sleep(lateBy)
			if d.Fleet.incarnation(id) == life { // what was on its way to a process ends with it
				_, _ = do() // as above
			}
		}()
		<-ctx.Done()
		return none, ctx.Err()
	}
	out, err := do()
	if ctx.Err() != nil && err == nil {
		return none, errors.Wrap(ctx.Err(), "worker: the caller has gone")
	}
	return out, err
}
