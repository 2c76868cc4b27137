package journaler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Cursor reads a log: first the newest record of each key, then each new record. It is not safe for concurrent use.
type Cursor struct {
	next   model.Offset
	loaded bool
}

// Update holds the records that a Cursor has read.
type Update struct {
	Records    []Record
	NextOffset model.Offset // of the first record after these
	IsSnapshot bool         // the newest record of each key, which replaces what was read before
}

// Read returns the next records and waits for them at most wait; the update is whole at first, and after records were
// deleted before they were read.
func (c *Cursor) Read(ctx context.Context, log Log, wait time.Duration) (Update, error) {
	if !c.loaded {
		return c.load(ctx, log)
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	b, err := log.Read(readCtx, c.next, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		c.loaded = false
		return c.load(ctx, log)
	}
	if err != nil {
		return Update{}, err
	}
	if n := len(b.Records); n > 0 {
		c.next = b.Records[n-1].Offset + 1
	}
	return Update{Records: b.Records, NextOffset: c.next}, nil
}

// load reads the newest record of each key; the records after the first page's end follow in later updates.
func (c *Cursor) load(ctx context.Context, log Log) (Update, error) {
	records, next, err := newest(ctx, log)
	if err != nil {
		return Update{}, err
	}
	c.next, c.loaded = next, true
	return Update{Records: records, NextOffset: next, IsSnapshot: true}, nil
}

// newest reads all pages of the newest record of each key, and where the log ended at the first of them.
func newest(ctx context.Context, log Log) ([]Record, model.Offset, error) {
	var all []Record
	next, after := model.Offset(-1), ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		p, err := log.ReadNewest(pageCtx, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if next < 0 {
			next = p.EndOffset
		}
		all = append(all, p.Records...)
		if !p.HasMore || len(p.Records) == 0 {
			return all, next, nil
		}
		after = p.Records[len(p.Records)-1].Key
	}
}
