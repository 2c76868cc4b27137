package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Direct calls the workers of a fleet without a network; it implements dispatcher.Workers.
type Direct struct {
	Fleet *Fleet
	// Fault returns what goes wrong with a call to the worker now; it may be nil.
	Fault func(model.HostID) DirectFault
}

// DirectFault is what goes wrong with a call.
type DirectFault string

// The faults of a direct call.
const (
	DirectOK      DirectFault = ""
	DirectRefused DirectFault = "refused" // no connection
	DirectSilent  DirectFault = "silent"  // no answer, nothing is done
	DirectLost    DirectFault = "lost"    // done, but no answer
	DirectLate    DirectFault = "late"    // no answer, and done seconds later
)

// lateBy is the delay of an order that is carried out late.
const lateBy = 3 * time.Second

// Start implements dispatcher.Workers.
func (d *Direct) Start(ctx context.Context, w model.Worker, o dispatcher.StartRequest) (dispatcher.Reply, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Reply, error) { return d.Fleet.Start(w.ID, o, time.Now()) })
}

// Stop implements dispatcher.Workers.
func (d *Direct) Stop(ctx context.Context, w model.Worker, o dispatcher.StopRequest) (dispatcher.Reply, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Reply, error) { return d.Fleet.Stop(w.ID, o, time.Now()) })
}

// RenewLease implements dispatcher.Workers.
func (d *Direct) RenewLease(ctx context.Context, w model.Worker, o dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return call(ctx, d, w.ID, func() (dispatcher.Report, error) { return d.Fleet.HoldAndWait(ctx, w.ID, o) })
}

// call carries out an order with the fault of the moment.
func call[Out any](ctx context.Context, d *Direct, id model.HostID, do func() (Out, error)) (Out, error) {
	var none Out
	fault := DirectOK
	if d.Fault != nil {
		fault = d.Fault(id)
	}
	switch fault {
	case DirectRefused:
		return none, dispatcher.ErrNotSent
	case DirectSilent:
		<-ctx.Done()
		return none, ctx.Err()
	case DirectLost:
		_, _ = do() // the outcome stays unknown to the caller
		<-ctx.Done()
		return none, ctx.Err()
	case DirectLate:
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
