package journaler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// appendTimeout bounds one append; the next attempt opens a new connection.
	appendTimeout = 1500 * time.Millisecond
	// maxBatchBytes bounds the records of one append.
	maxBatchBytes = 256 << 10
)

// BatchAppender appends records of entry hosts: many callers share one append, and one append is in flight at a time.
type BatchAppender struct {
	Log Log

	mu      sync.Mutex
	queue   []*pending
	running bool
}

type pending struct {
	record Record
	ctx    context.Context
	done   chan error
	unsure bool // an earlier append of the record got no answer
}

// Append adds a record and returns once its outcome is known or the context ends.
//
// It returns ErrRejected when the record was certainly not added and ErrUnknown when it may have been.
func (s *BatchAppender) Append(ctx context.Context, r Record) error {
	p := &pending{record: r, ctx: ctx, done: make(chan error, 1)}
	s.mu.Lock()
	s.queue = append(s.queue, p)
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

func (s *BatchAppender) run() {
	for {
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.settle(batch, s.append(batch))
	}
}

// take removes the next batch, or stops the writer when none waits.
func (s *BatchAppender) take() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.queue) {
		size += len(s.queue[n].record.Key) + len(s.queue[n].record.Value)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.running = n > 0
	return batch
}

func (s *BatchAppender) append(batch []*pending) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	records := make([]Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	_, err := s.Log.Append(ctx, records, AppendCondition{})
	return err
}

// settle reports the outcome; a record that may have been added is appended again, which is harmless.
func (s *BatchAppender) settle(batch []*pending, err error) {
	var again []*pending
	for _, p := range batch {
		switch {
		case err == nil:
			p.done <- nil
		case errors.Is(err, ErrRejected) && !p.unsure:
			p.done <- ErrRejected
		case p.ctx.Err() != nil:
			p.done <- ErrOutcomeUnknown
		default:
			p.unsure = p.unsure || !errors.Is(err, ErrRejected)
			again = append(again, p)
		}
	}
	if len(again) == 0 {
		return
	}
	time.Sleep(retryPause)
	s.mu.Lock()
	s.queue = append(again, s.queue...)
	s.mu.Unlock()
}
