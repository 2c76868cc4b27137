package recoverer

import (
	"expvar"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// ErrPanic marks the errors that Call returns for a panic.
var ErrPanic = errors.New("recoverer: panic")

// maxLoggedStackBytes is the length to which the stack of a panic is cut in its log line.
const maxLoggedStackBytes = 4 << 10

// Recoverer recovers from panics, and counts and logs them. A nil Recoverer only recovers.
type Recoverer struct {
	Logger hclog.Logger // nil logs nothing
	counts expvar.Map
}

// Call calls f, which belongs to a part of the host, and returns a panic as an error marked with ErrPanic.
func (r *Recoverer) Call(part string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			r.record(part, v)
			err = errors.Mark(errors.Newf("recoverer: panic in the %s: %v", part, v), ErrPanic)
		}
	}()
	return f()
}

// record counts and logs a panic. The log line is rare, so its size does not matter.
func (r *Recoverer) record(part string, v any) {
	if r == nil {
		return
	}
	r.counts.Add(part, 1)
	if r.Logger != nil {
		stack := debug.Stack()
		r.Logger.Error("recovered from a panic", "part", part, "panic", v, "stack", string(stack[:min(len(stack), maxLoggedStackBytes)]))
	}
}

// Counts returns the number of panics by part of the host.
func (r *Recoverer) Counts() *expvar.Map { return &r.counts }
