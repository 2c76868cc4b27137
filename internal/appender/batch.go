package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// waiter is one caller of Append. Its mutex decides between the caller that leaves and the batch that sends.
type waiter struct {
	ctx   context.Context
	entry json.RawMessage
	done  chan answer

	mu   sync.Mutex
	left bool
	sent bool // an append that may have taken effect contains the entry
}

type answer struct {
	result Result
	err    error
}

// leave withdraws the caller; it reports whether the entry is certainly not in the log and will not be sent.
func (w *waiter) leave() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	return !w.sent
}

// send marks the entry as sent; it reports false when the caller has left.
func (w *waiter) send() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A context that has ended counts as left even before the caller has noticed.
	w.left = w.left || w.ctx.Err() != nil
	w.sent = !w.left
	return w.sent
}

// refused notes that the append with the entry certainly had no effect.
func (w *waiter) refused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = false
}

func (w *waiter) finish(r Result, err error) { w.done <- answer{r, err} }

// maxRepeat bounds how long a record is repeated that may be in the log already. Readers drop a repeated id for twice
// as long (reducer.IDWindow); a later repeat would count as a new record.
const maxRepeat = 5 * time.Minute

// batch is the content of one record.
type batch struct {
	id      string
	waiters []*waiter
	data    json.RawMessage
	unknown bool      // an append without an answer may have taken effect
	since   time.Time // start of the first append that may have taken effect
}

// encode prepares the record from the callers that still wait; it reports false when none does.
func (b *batch) encode() bool {
	if b.unknown {
		if time.Since(b.since) > maxRepeat {
			return false
		}
		// The record may be in the log: the same id must keep the same content.
		for _, w := range b.waiters {
			if w.ctx.Err() == nil {
				return true
			}
		}
		return false
	}
	kept := b.waiters[:0]
	var buf bytes.Buffer
	for _, w := range b.waiters {
		if !w.send() {
			w.finish(Result{}, unavailable(model.OutcomeNotRun, "the caller's deadline passed before the entry was sent"))
			continue
		}
		buf.WriteByte("[,"[min(len(kept), 1)])
		buf.Write(w.entry)
		kept = append(kept, w)
	}
	buf.WriteByte(']')
	b.waiters, b.data = kept, buf.Bytes()
	return len(kept) > 0
}

func (b *batch) finish(offset model.Offset, err error) {
	for i, w := range b.waiters {
		w.finish(Result{Offset: offset, RecordID: b.id, Index: i}, err)
	}
}

// commit appends the batch, repeating it until it is confirmed, no caller waits any longer, or maxRepeat has passed.
func (a *Appender) commit(ctx context.Context, b *batch) {
	backoff := interval
	for b.encode() {
		a.last = time.Now()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		offset, err := a.cfg.Log.Append(attempt, a.cfg.Stream, b.id, b.data)
		cancel()
		if err == nil {
			b.finish(offset, nil)
			return
		}
		if !b.unknown && !logclient.NotRun(err) {
			b.unknown, b.since = true, a.last
		}
		var e *model.Error
		if !b.unknown {
			for _, w := range b.waiters {
				w.refused()
			}
			if errors.As(err, &e) && e.Kind == model.KindTooLarge {
				b.finish(0, err) // a repeat would be refused again
				return
			}
		}
		// Jitter keeps the hosts from returning at the same moment after an outage.
		wait := max(interval, backoff/2+rand.N(backoff/2+1))
		if errors.As(err, &e) {
			wait = max(wait, min(time.Duration(e.RetryAfterMS)*time.Millisecond, maxBackoff))
		}
		backoff = min(2*backoff, maxBackoff)
		if !a.pause(ctx, time.Until(a.last.Add(wait))) {
			break
		}
	}
	outcome := model.OutcomeNotRun
	if b.unknown {
		outcome = model.OutcomeUnknown
	}
	b.finish(0, unavailable(outcome, "the append was not confirmed"))
}
