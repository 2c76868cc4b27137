package reserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
)

// Sender sends one batch to a worker; workerclient.Client is one.
type Sender interface {
	Send(ctx context.Context, addr string, b workerclient.Batch) (workerclient.Reply, error)
}

// maxSends bounds the batches in flight over all workers.
const maxSends = 256

// Driver owns a Reserver: it sends its batches and passes events and reports over channels.
type Driver struct {
	r       *Reserver
	sender  Sender
	events  chan Event
	reports chan []Report
	status  atomic.Pointer[Status]
}

// NewDriver returns a driver that owns the reserver from now on.
func NewDriver(r *Reserver, s Sender) *Driver {
	d := &Driver{r: r, sender: s, events: make(chan Event, 64), reports: make(chan []Report)}
	st := r.Status()
	d.status.Store(&st)
	return d
}

// Post hands an event to the state machine; it fails only when the context ends.
func (d *Driver) Post(ctx context.Context, ev Event) error {
	select {
	case d.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reports delivers the reports in order; the driver keeps them until they are taken.
func (d *Driver) Reports() <-chan []Report { return d.reports }

// Status returns the authority as of the last event.
func (d *Driver) Status() Status { return *d.status.Load() }

// Run drives the state machine until the context ends and waits for the sends in flight.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	replies := make(chan Event)
	slots := make(chan struct{}, maxSends)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var pending []Report
	for {
		var out chan<- []Report
		if len(pending) > 0 {
			out = d.reports
		}
		var ev Event
		select {
		case <-ctx.Done():
			return
		case out <- pending:
			pending = nil
			continue
		case ev = <-replies:
		case ev = <-d.events:
		case <-timer.C:
			ev = Tick{}
		}
		now := time.Now()
		d.r.Handle(now, ev)
		sends, reports := d.r.Drain()
		pending = append(pending, reports...)
		st := d.r.Status()
		d.status.Store(&st)
		for _, s := range sends {
			wg.Go(func() { d.send(ctx, s, slots, replies) })
		}
		timer.Reset(max(time.Millisecond, time.Until(d.r.Next())))
	}
}

// send sends one batch and posts what became of it.
func (d *Driver) send(ctx context.Context, s Send, slots chan struct{}, replies chan<- Event) {
	sctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	var ev Event
	select {
	case slots <- struct{}{}:
		reply, err := d.sender.Send(sctx, s.Addr, s.Batch)
		<-slots
		if err != nil {
			ev = SendFailed{Worker: s.Worker, Seq: s.Seq, NotRun: workerclient.IsNotRun(err)}
		} else {
			ev = Replied{Worker: s.Worker, Seq: s.Seq, Reply: reply}
		}
	case <-sctx.Done():
		ev = SendFailed{Worker: s.Worker, Seq: s.Seq, NotRun: true}
	}
	select {
	case replies <- ev:
	case <-ctx.Done():
	}
}
