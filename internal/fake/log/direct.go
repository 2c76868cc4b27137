package log

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// DirectStream gives access to one stream of a log without a network; it implements journaler.Log.
type DirectStream struct {
	Log        *Log
	StreamName string
	// InjectFault returns the fault to inject into the current call; nil injects none.
	InjectFault func() CallFault
}

// CallFault is a fault that is injected into a call.
type CallFault string

// The faults of calls to a DirectStream.
const (
	NoFault           CallFault = ""
	FaultUnavailable  CallFault = "down"   // the call is refused without effect
	FaultRequestLost  CallFault = "silent" // the call has no effect and gets no response
	FaultResponseLost CallFault = "lost"   // the call takes effect, but gets no response
)

// errUnavailable is returned for calls under FaultUnavailable.
var errUnavailable = errors.New("log: unavailable")

func (d *DirectStream) currentFault() CallFault {
	if d.InjectFault == nil {
		return NoFault
	}
	return d.InjectFault()
}

// Append implements journaler.Log.
func (d *DirectStream) Append(ctx context.Context, records []journaler.Record, cond journaler.AppendCondition) (model.Offset, error) {
	switch d.currentFault() {
	case FaultUnavailable:
		return 0, errors.Mark(errUnavailable, journaler.ErrNotAppended)
	case FaultRequestLost:
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	case FaultResponseLost:
		_, _ = d.Log.Append(d.StreamName, records, cond) // the caller doesn't learn the outcome
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	}
	return d.Log.Append(d.StreamName, records, cond)
}

// Read implements journaler.Log.
func (d *DirectStream) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if err := d.readFault(ctx); err != nil {
		return journaler.Batch{}, err
	}
	return d.Log.Read(ctx, d.StreamName, from, wait)
}

// ReadNewest implements journaler.Log.
func (d *DirectStream) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	if err := d.readFault(ctx); err != nil {
		return journaler.Page{}, err
	}
	return d.Log.ReadNewest(d.StreamName, after), nil
}

// readFault applies the current fault to a read. FaultResponseLost does not apply to reads, which have no effect.
func (d *DirectStream) readFault(ctx context.Context) error {
	switch d.currentFault() {
	case FaultUnavailable:
		return errUnavailable
	case FaultRequestLost:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
