package journaler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Cursor reads a log. It starts with a snapshot, the newest record of each key, and continues with each new record. It is
// not safe for concurrent use.
type Cursor struct {
	nextOffset model.Offset // offset of the next record to read
	loaded     bool         // whether a snapshot has been read and its records are still followed
	snapshot   SnapshotLoader
	loadStart  time.Time // start of the load in progress; zero if there is none
}

// Update is the result of one Cursor.Read.
type Update struct {
	Records    []Record
	NextOffset model.Offset // offset of the first record after Records
	IsSnapshot bool         // Records is a snapshot that replaces all earlier updates
	// ConfirmedAt is a time at which the log ended at NextOffset; zero means that it is unknown.
	ConfirmedAt time.Time
}

// Read returns the next records. If there are none yet, it waits up to wait for the first one. The update is a snapshot on
// the first call, and again when the log has deleted records that the cursor had not read.
func (c *Cursor) Read(ctx context.Context, log Log, wait time.Duration) (Update, error) {
	if !c.loaded {
		return c.loadSnapshot(ctx, log)
	}
	readCtx, cancel := watchdog.WithLimits(ctx, watchdog.Limits{Start: wait + readTimeout, Stall: readTimeout, Total: maxTransferTime})
	defer cancel()
	start := time.Now()
	b, err := log.Read(readCtx, c.nextOffset, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		c.loaded = false
		return c.loadSnapshot(ctx, log)
	}
	if err != nil {
		return Update{}, err
	}
	if n := len(b.Records); n > 0 {
		c.nextOffset = b.Records[n-1].Offset + 1
	}
	return Update{Records: b.Records, NextOffset: c.nextOffset, ConfirmedAt: confirmedAt(b, c.nextOffset, start, wait)}, nil
}

// loadSnapshot reads the newest record of each key. The next update starts with the first record that was appended after the
// first page of the snapshot was read.
func (c *Cursor) loadSnapshot(ctx context.Context, log Log) (Update, error) {
	if c.loadStart.IsZero() {
		c.loadStart = time.Now()
	}
	s, err := c.snapshot.Load(ctx, log)
	if err != nil {
		return Update{}, err
	}
	if s.ConfirmedAt.IsZero() {
		s.ConfirmedAt = c.loadStart
	}
	c.loadStart = time.Time{}
	c.nextOffset, c.loaded = s.NextOffset, true
	return Update{Records: s.Records, NextOffset: s.NextOffset, IsSnapshot: true, ConfirmedAt: s.ConfirmedAt}, nil
}

// confirmedAt returns a time at which the log ended at the offset next, after a read that started at a time and was to wait for records. It
// is zero if the log has more records.
func confirmedAt(b Batch, next model.Offset, start time.Time, wait time.Duration) time.Time {
	switch {
	case !b.ConfirmedAt.IsZero():
		start = b.ConfirmedAt
	case len(b.Records) == 0 && time.Since(start) >= wait:
		start = start.Add(wait) // nothing had arrived by then
	}
	if next < b.EndOffset {
		return time.Time{}
	}
	return start
}
