package journaler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// appendTimeout bounds one append; a retry opens a new connection.
	appendTimeout = 1500 * time.Millisecond
	// maxBatchBytes bounds the total size of the records in one append, unless a single record exceeds it.
	maxBatchBytes = 256 << 10
)

// BatchAppender appends the records of an entry host's callers in batches, with at most one append in flight.
type BatchAppender struct {
	Log Log

	mu       sync.Mutex
	queue    []*pendingAppend
	flushing bool // whether a goroutine runs flush
}

// pendingAppend is a record that waits for the outcome of its append.
type pendingAppend struct {
	record        Record
	ctx           context.Context
	done          chan error
	maybeAppended bool // whether the outcome of an earlier append of the record is unknown
}

// Append appends a record and returns once the outcome is known or the context ends.
//
// It returns ErrNotAppended when the record was not appended, and ErrOutcomeUnknown when the record may have been appended.
func (a *BatchAppender) Append(ctx context.Context, r Record) error {
	p := &pendingAppend{record: r, ctx: ctx, done: make(chan error, 1)}
	a.mu.Lock()
	a.queue = append(a.queue, p)
	if !a.flushing {
		a.flushing = true
		go a.flush()
	}
	a.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// flush appends batches until the queue is empty.
func (a *BatchAppender) flush() {
	for {
		batch := a.takeBatch()
		if len(batch) == 0 {
			return
		}
		a.complete(batch, a.append(batch))
	}
}

// takeBatch removes the next batch from the queue and returns it. An empty batch means that flush must return.
func (a *BatchAppender) takeBatch() []*pendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, 0
	for n < len(a.queue) {
		size += len(a.queue[n].record.Key) + len(a.queue[n].record.Value)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	a.flushing = n > 0
	return batch
}

func (a *BatchAppender) append(batch []*pendingAppend) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	records := make([]Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	_, err := a.Log.Append(ctx, records, AppendCondition{})
	return err
}

// complete reports the outcome of an append to the callers of Append. Records whose outcome is unknown are queued again,
// because appending a record twice has the same effect as appending it once.
func (a *BatchAppender) complete(batch []*pendingAppend, err error) {
	var retries []*pendingAppend
	for _, p := range batch {
		switch {
		case err == nil:
			p.done <- nil
		case errors.Is(err, ErrNotAppended) && !p.maybeAppended:
			p.done <- ErrNotAppended
		case p.ctx.Err() != nil:
			p.done <- ErrOutcomeUnknown
		default:
			p.maybeAppended = p.maybeAppended || !errors.Is(err, ErrNotAppended)
			retries = append(retries, p)
		}
	}
	if len(retries) == 0 {
		return
	}
	time.Sleep(retryDelay)
	a.mu.Lock()
	a.queue = append(retries, a.queue...)
	a.mu.Unlock()
}
