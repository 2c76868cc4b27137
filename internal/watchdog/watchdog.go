package watchdog

import (
	"context"
	"io"
	"sync"
	"time"
)

// Limits bounds a transfer.
type Limits struct {
	Start time.Duration // time until the first progress
	Stall time.Duration // longest time between two signs of progress
	Total time.Duration // longest time of the whole transfer
}

// observerKey is the key under which a context holds its innermost observer.
type observerKey struct{}

// observer is told about the progress of a transfer.
type observer struct {
	notify func(now time.Time)
	parent context.Context // holds the next observer
}

// transfer is a context that ends when a transfer stalls. It implements context.Context.
type transfer struct {
	context.Context // the parent
	done            chan struct{}
	observer        observer

	mu     sync.Mutex
	err    error // why done is closed
	endsAt time.Time
	stall  time.Duration
	lastAt time.Time // latest possible value of endsAt
	timer  *time.Timer
}

// WithLimits returns a context that ends with context.DeadlineExceeded when the transfer that uses it exceeds the limits. The
// code that receives data has to call Progress.
func WithLimits(parent context.Context, l Limits) (context.Context, context.CancelFunc) {
	now := time.Now()
	t := &transfer{Context: parent, done: make(chan struct{}), endsAt: now.Add(l.Start), stall: l.Stall, lastAt: now.Add(max(l.Start, l.Total))}
	t.observer = observer{notify: t.progress, parent: parent}
	t.mu.Lock()
	t.timer = time.AfterFunc(l.Start, t.check)
	t.mu.Unlock()
	stop := context.AfterFunc(parent, func() { t.end(parent.Err()) })
	return t, func() {
		stop()
		t.end(context.Canceled)
	}
}

// Progress reports that data has arrived for the transfers that use ctx.
func Progress(ctx context.Context) {
	now := time.Now()
	for o, ok := ctx.Value(observerKey{}).(*observer); ok; o, ok = o.parent.Value(observerKey{}).(*observer) {
		o.notify(now)
	}
}

// Observe returns a context whose transfers also report their progress to notify.
func Observe(parent context.Context, notify func(now time.Time)) context.Context {
	return context.WithValue(parent, observerKey{}, &observer{notify: notify, parent: parent})
}

func (t *transfer) progress(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	endsAt := now.Add(t.stall)
	if endsAt.After(t.lastAt) {
		endsAt = t.lastAt
	}
	if endsAt.After(t.endsAt) {
		t.endsAt = endsAt
	}
}

// check ends the transfer if its time has passed, and otherwise checks again later.
func (t *transfer) check() {
	t.mu.Lock()
	left := time.Until(t.endsAt)
	if left > 0 && t.err == nil {
		t.timer.Reset(left)
	}
	t.mu.Unlock()
	if left <= 0 {
		t.end(context.DeadlineExceeded)
	}
}

// end ends the context with an error, unless it has ended before.
func (t *transfer) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return
	}
	t.err = err
	t.timer.Stop()
	close(t.done)
}

// Deadline implements context.Context. It returns when the transfer ends without further progress.
func (t *transfer) Deadline() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.Context.Deadline(); ok && d.Before(t.endsAt) {
		return d, true
	}
	return t.endsAt, true
}

// Done implements context.Context.
func (t *transfer) Done() <-chan struct{} { return t.done }

// Err implements context.Context.
func (t *transfer) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Value implements context.Context.
func (t *transfer) Value(key any) any {
	if _, ok := key.(observerKey); ok {
		return &t.observer
	}
	return t.Context.Value(key)
}

// Reader reads from R and reports the progress of the transfer that uses Ctx.
type Reader struct {
	Ctx context.Context
	R   io.Reader
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.R.Read(b)
	if n > 0 {
		Progress(r.Ctx)
	}
	return n, err
}
