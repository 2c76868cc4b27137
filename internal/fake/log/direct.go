package log

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Direct is a stream without a network between it and its user; it implements journaler.Log.
type Direct struct {
	Log  *Log
	Name string
	// Fault returns what goes wrong with a call now; it may be nil.
	Fault func() DirectFault
}

// DirectFault is what goes wrong with a call.
type DirectFault string

// The faults of a direct call.
const (
	DirectOK     DirectFault = ""
	DirectDown   DirectFault = "down"   // refused, nothing is done
	DirectSilent DirectFault = "silent" // no answer, nothing is done
	DirectLost   DirectFault = "lost"   // done, but no answer
)

// errDown reports a log that refuses all calls.
var errDown = errors.New("log: down")

func (d *Direct) fault() DirectFault {
	if d.Fault == nil {
		return DirectOK
	}
	return d.Fault()
}

// Append implements journaler.Log.
func (d *Direct) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	switch d.fault() {
	case DirectDown:
		return 0, errors.Mark(errDown, journaler.ErrRejected)
	case DirectSilent:
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	case DirectLost:
		_, _ = d.Log.Append(d.Name, records, c) // the outcome stays unknown to the caller
		<-ctx.Done()
		return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
	}
	return d.Log.Append(d.Name, records, c)
}

// Read implements journaler.Log.
func (d *Direct) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if err := d.reading(ctx); err != nil {
		return journaler.Batch{}, err
	}
	return d.Log.Read(ctx, d.Name, from, wait)
}

// ReadNewest implements journaler.Log.
func (d *Direct) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	if err := d.reading(ctx); err != nil {
		return journaler.Page{}, err
	}
	return d.Log.Newest(d.Name, after), nil
}

func (d *Direct) reading(ctx context.Context) error {
	switch d.fault() {
	case DirectDown:
		return errDown
	case DirectSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
