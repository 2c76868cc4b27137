package appender

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// interval is the least time between the starts of two appends. 4 a second is what the log's several hundred
// appends a second allow for 27 hosts with 3 streams each: 27 x 3 x 4 = 324.
const interval = time.Second / 4

// attemptTimeout bounds one append, so that a lost answer is repeated well within a caller's patience.
const attemptTimeout = 5 * time.Second

// maxBackoff bounds the pause between repeats, so that a recovered log is used again within seconds.
const maxBackoff = 4 * time.Second

// maxBatchBytes bounds the entries of one record; one larger entry (a snapshot) gets a record of its own.
const maxBatchBytes = 256 << 10

// defaultQueue holds several seconds of the entries expected at the design size.
const defaultQueue = 4096

// Log appends records; *logclient.Client implements it.
type Log interface {
	Append(ctx context.Context, s logclient.Stream, id string, data json.RawMessage) (model.Offset, error)
}

// Config configures an Appender.
type Config struct {
	Log    Log
	Stream logclient.Stream
	Host   model.HostID
	Queue  int // most entries waiting, 0 means 4096
}

// Result locates an appended entry. An unconfirmed repeat may have left an earlier record with the same id.
type Result struct {
	Offset   model.Offset // of the confirmed record
	RecordID string
	Index    int // of the entry in the record
}

// Appender batches entries into records of one stream, with at most one append in flight.
type Appender struct {
	cfg     Config
	queue   chan *waiter
	drain   chan struct{} // closed when no further entries are accepted
	stopped chan struct{} // closed when Run has returned

	mu       sync.RWMutex // orders Append's send before the close of drain
	draining bool

	prefix  string // makes the record ids of this process unique
	records int
	last    time.Time // start of the latest append
}

// New returns an Appender; it appends while Run runs.
func New(cfg Config) *Appender {
	if cfg.Queue <= 0 {
		cfg.Queue = defaultQueue
	}
	return &Appender{
		cfg: cfg, queue: make(chan *waiter, cfg.Queue),
		drain: make(chan struct{}), stopped: make(chan struct{}),
		prefix: fmt.Sprintf("%s-%s", cfg.Host, rand.Text()[:10]),
	}
}

// Append queues one entry (a JSON value) and waits until its record is confirmed; the error is a *model.Error
// whose outcome is not-run when the entry is certainly not in the log, and unknown otherwise.
func (a *Appender) Append(ctx context.Context, entry json.RawMessage) (Result, error) {
	if !json.Valid(entry) {
		return Result{}, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindInvalid,
			Message: "appender: the entry is not valid JSON", Remedy: "append a JSON value",
		}
	}
	w := &waiter{ctx: ctx, entry: entry, done: make(chan answer, 1)}
	if err := a.enqueue(w); err != nil {
		return Result{}, err
	}
	select {
	case ans := <-w.done:
		return ans.result, ans.err
	case <-ctx.Done():
	}
	select {
	case ans := <-w.done: // confirmed at the same moment
		return ans.result, ans.err
	default:
	}
	if w.leave() {
		return Result{}, unavailable(model.OutcomeNotRun, "the caller's deadline passed before the entry was sent")
	}
	return Result{}, unavailable(model.OutcomeUnknown, "the caller's deadline passed before the append was confirmed")
}

func (a *Appender) enqueue(w *waiter) error {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.draining {
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindDraining,
			Message: "appender: the host is shutting down", Remedy: "retry on another host",
			RetryAfterMS: 100,
		}
	}
	select {
	case a.queue <- w:
		return nil
	default:
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindOverloaded,
			Message: fmt.Sprintf("appender: %d entries of stream %s wait for the log", cap(a.queue), a.cfg.Stream),
			Remedy:  "retry later", RetryAfterMS: model.Millis(time.Second.Milliseconds()),
		}
	}
}

// Drain refuses further entries and returns when those queued are appended and Run has returned, or when ctx ends.
func (a *Appender) Drain(ctx context.Context) error {
	a.refuse()
	select {
	case <-a.stopped:
		return nil
	case <-ctx.Done():
		return unavailable(model.OutcomeUnknown, "entries were left when the time to drain ended")
	}
}

func (a *Appender) refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.draining {
		a.draining = true
		close(a.drain)
	}
}

// Run appends until Drain has emptied the queue or ctx ends; it must be called once.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.stopped)
	var next *waiter // taken from the queue but too large for the previous batch
	for ctx.Err() == nil {
		if next == nil {
			if next = a.first(ctx); next == nil {
				break
			}
		}
		// Entries that arrive during the pause join the batch.
		if !a.pause(ctx, time.Until(a.last.Add(interval))) {
			break
		}
		var b *batch
		b, next = a.collect(next)
		a.commit(ctx, b)
	}
	a.refuse()
	if next != nil {
		next.finish(Result{}, unavailable(model.OutcomeNotRun, "the host stopped before the entry was sent"))
	}
	for {
		select {
		case w := <-a.queue:
			w.finish(Result{}, unavailable(model.OutcomeNotRun, "the host stopped before the entry was sent"))
		default:
			return
		}
	}
}

// first waits for an entry and returns nil when there will be none.
func (a *Appender) first(ctx context.Context) *waiter {
	select {
	case w := <-a.queue:
		return w
	case <-ctx.Done():
		return nil
	case <-a.drain:
	}
	select {
	case w := <-a.queue:
		return w
	default:
		return nil
	}
}

// collect takes what is queued, up to maxBatchBytes, and returns the entry that no longer fits.
func (a *Appender) collect(first *waiter) (*batch, *waiter) {
	a.records++
	b := &batch{id: fmt.Sprintf("%s-%d", a.prefix, a.records), waiters: []*waiter{first}}
	size := len(first.entry)
	for {
		select {
		case w := <-a.queue:
			if size += len(w.entry); size > maxBatchBytes {
				return b, w
			}
			b.waiters = append(b.waiters, w)
		default:
			return b, nil
		}
	}
}

func (a *Appender) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func unavailable(outcome model.Outcome, message string) error {
	return &model.Error{
		Outcome: outcome, Kind: model.KindLogUnavailable, Message: "appender: " + message,
		Remedy: "retry later with the same id", RetryAfterMS: model.Millis(time.Second.Milliseconds()),
	}
}
