package peerlog

import (
	"context"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxTailBytes bounds the records that a host keeps for its peers, by log.
	maxTailBytes = 1 << 20
	// maxResponseBytes bounds the records of one response to a peer, unless the first record alone is larger. A link of
	// 10 Mbit/s carries it in a third of probeReadTimeout.
	maxResponseBytes = 64 << 10
	// tailFreshness is how long the end of the tail counts as the end of the log after it was confirmed. A long poll and the pause
	// between two polls take less; a longer time would delay the peers of a host that has lost the log.
	tailFreshness = 1300 * time.Millisecond
	// receivingFreshness is how long the end of the tail counts as the end of the log after the response to a read was seen to
	// arrive. A large record takes longer than tailFreshness over a slow link; peers that read it as well would slow it down.
	receivingFreshness = 500 * time.Millisecond
	// maxReceivingTime limits by how much receivingFreshness extends tailFreshness.
	maxReceivingTime = 3 * time.Second
)

// tail holds the newest records that this host has read, from the log or through another host, to serve the reads of its peers.
// The zero value is empty.
type tail struct {
	mu          sync.Mutex
	filled      bool               // add was called
	records     []journaler.Record // consecutive records, the last of which has the offset end-1
	bytes       int                // size of records
	end         model.Offset
	confirmedAt time.Time     // time at which end was the end of the log; zero means unknown
	receivedAt  time.Time     // time at which a part of a response has arrived last
	changed     chan struct{} // closed when records are added; nil if no read waits
}

// add adds the result of a read that started at an offset. Records that do not follow the known ones replace them.
func (t *tail) add(from model.Offset, b journaler.Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.filled || from > t.end || from < t.first() {
		t.filled = true
		t.records, t.bytes, t.end, t.confirmedAt = nil, 0, from, time.Time{}
	}
	known := min(int(t.end-from), len(b.Records))
	t.append(b.Records[known:])
	if t.end >= b.EndOffset && b.ConfirmedAt.After(t.confirmedAt) {
		t.confirmedAt = b.ConfirmedAt
	}
}

// markReceiving records that a part of the response to a read has arrived.
func (t *tail) markReceiving(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receivedAt = now
}

// freshUntil returns until when the end of the tail counts as the end of the log. The caller holds t.mu.
func (t *tail) freshUntil() time.Time {
	at, latest := t.confirmedAt.Add(tailFreshness), t.confirmedAt.Add(tailFreshness+maxReceivingTime)
	if receiving := t.receivedAt.Add(receivingFreshness); receiving.After(at) {
		at = receiving
	}
	if at.After(latest) {
		return latest
	}
	return at
}

// append adds records at the end and wakes the reads that wait for them. The caller holds t.mu.
func (t *tail) append(records []journaler.Record) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		t.records = append(t.records, r)
		t.bytes += recordBytes(r)
		t.end++
	}
	t.evict()
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

func (t *tail) first() model.Offset { return t.end - model.Offset(len(t.records)) }

// evict drops the oldest records until the rest fits. The caller holds t.mu.
func (t *tail) evict() {
	n := 0
	for t.bytes > maxTailBytes {
		t.bytes -= recordBytes(t.records[n])
		t.records[n] = journaler.Record{}
		n++
	}
	t.records = t.records[n:]
}

// read returns the records from an offset on. If there are none yet, it waits up to wait for the first one. It reports false
// if the tail does not have the records, or can't tell whether the log has more.
func (t *tail) read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, bool) {
	deadline := time.Now().Add(wait)
	for {
		b, next, ok := t.tryRead(from)
		if !ok || next == nil || !time.Now().Before(deadline) {
			return b, ok
		}
		timer := time.NewTimer(time.Until(next.checkAt(deadline)))
		select {
		case <-next.changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return journaler.Batch{}, false
		}
		timer.Stop()
	}
}

// tailWait says when to try a read again that has found no records.
type tailWait struct {
	changed    <-chan struct{}
	freshUntil time.Time
}

func (w *tailWait) checkAt(deadline time.Time) time.Time {
	if w.freshUntil.Before(deadline) {
		return w.freshUntil
	}
	return deadline
}

// tryRead returns the records from an offset on, or an empty batch and when to try again if there are none yet.
func (t *tail) tryRead(from model.Offset) (b journaler.Batch, next *tailWait, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b.EndOffset, b.ConfirmedAt = t.end, t.confirmedAt
	freshUntil := t.freshUntil()
	switch {
	case !t.filled || from < t.first():
		return b, nil, false
	case from < t.end:
		b.Records = limitBytes(t.records[from-t.first():])
		return b, nil, true
	case !time.Now().Before(freshUntil):
		return b, nil, false
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return b, &tailWait{changed: t.changed, freshUntil: freshUntil}, true
}

// limitBytes returns a copy of the first records that fit into one response.
func limitBytes(records []journaler.Record) []journaler.Record {
	n, bytes := 0, 0
	for n < len(records) && (n == 0 || bytes+recordBytes(records[n]) <= maxResponseBytes) {
		bytes += recordBytes(records[n])
		n++
	}
	return append([]journaler.Record(nil), records[:n]...)
}
