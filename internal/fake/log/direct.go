package log

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// DirectStream is a stream without a network between it and its user; it implements journaler.Log.
type DirectStream struct {
	Log        *Log
	StreamName string
	// InjectFault returns what goes wrong with a call now; it may be nil.
	InjectFault func() CallFault
}

// CallFault is what goes wrong with a call.
type CallFault string

// The faults of a direct call.
const (
	NoFault           CallFault = ""
	FaultUnavailable  CallFault = "down"   // refused, nothing is done
	FaultRequestLost  CallFault = "silent" // no answer, nothing is done
	FaultResponseLost CallFault = "lost"   // done, but no answer
)

// errDown reports a log that refuses all calls.
var errDown = errors.New("log: down")

func (d *DirectStream) fault() CallFault {
	if d.InjectFault == nil {
		return NoFault
	}
	return d.InjectFault()
}

// Append implements journaler.Log.
func (d *DirectStream) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	switch d.fault() {
	case FaultUnavailable:
		return 0, errors.Mark(errDown, journaler.ErrNotAppended)
	case FaultRequestLost:
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	case FaultResponseLost:
		_, _ = d.Log.Append(d.StreamName, records, c) // the outcome stays unknown to the caller
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	}
	return d.Log.Append(d.StreamName, records, c)
}

// Read implements journaler.Log.
func (d *DirectStream) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if err := d.reading(ctx); err != nil {
		return journaler.Batch{}, err
	}
	return d.Log.Read(ctx, d.StreamName, from, wait)
}

// ReadNewest implements journaler.Log.
func (d *DirectStream) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	if err := d.reading(ctx); err != nil {
		return journaler.Page{}, err
	}
	return d.Log.ReadNewest(d.StreamName, after), nil
}

func (d *DirectStream) reading(ctx context.Context) error {
	switch d.fault() {
	case FaultUnavailable:
		return errDown
	case FaultRequestLost:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
