package gatekeeper

import (
	"context"
	"sync/atomic"
)

// Ticket stands for a request that may be withdrawn until it is sent.
type Ticket struct {
	ctx     context.Context
	cancel  context.CancelFunc
	settled atomic.Bool // the request was sent or withdrawn
}

// NewTicket returns the ticket of a request that is not sent once the context has ended.
func NewTicket(ctx context.Context) *Ticket {
	t := &Ticket{}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// Context ends when the request is withdrawn.
func (t *Ticket) Context() context.Context { return t.ctx }

// Withdraw withdraws the request, and reports whether it was not sent and never will be. A nil ticket is of a request that was sent.
func (t *Ticket) Withdraw() bool {
	if t == nil || !t.settled.CompareAndSwap(false, true) {
		return false
	}
	t.cancel()
	return true
}

// Send reports whether the request may be sent, which can't be withdrawn from then on.
func (t *Ticket) Send() bool {
	return t.ctx.Err() == nil && t.settled.CompareAndSwap(false, true)
}

// Close releases the resources of the ticket.
func (t *Ticket) Close() { t.cancel() }
