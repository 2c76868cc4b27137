package journaler

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// pagedLog is a log whose pages hold one record each.
type pagedLog struct {
	Log
	records     []Record
	firstOffset model.Offset // reads before this offset fail with a TrimmedError
}

func (l *pagedLog) Read(_ context.Context, from model.Offset, _ time.Duration) (Batch, error) {
	if from < l.firstOffset {
		return Batch{}, &TrimmedError{FirstOffset: l.firstOffset}
	}
	for i, r := range l.records {
		if r.Offset >= from {
			return Batch{Records: l.records[i:], EndOffset: l.endOffset()}, nil
		}
	}
	return Batch{EndOffset: l.endOffset()}, nil
}

func (l *pagedLog) ReadNewest(_ context.Context, after string) (Page, error) {
	for i, r := range l.records {
		if r.Key > after {
			return Page{Records: l.records[i : i+1], HasMore: i+1 < len(l.records), EndOffset: l.endOffset()}, nil
		}
	}
	return Page{EndOffset: l.endOffset()}, nil
}

func (l *pagedLog) endOffset() model.Offset { return l.records[len(l.records)-1].Offset + 1 }

// Guards against a cursor that misses records on later pages of a snapshot, after a gap in the offsets, or after the log has
// deleted records that the cursor had not read.
func TestCursorReadsEveryRecord(t *testing.T) {
	is := is.New(t)
	l := &pagedLog{records: []Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 4}}}
	var c Cursor
	read := func() Update {
		u, err := c.Read(t.Context(), l, 0)
		is.NoErr(err)
		return u
	}
	u := read()
	is.True(u.IsSnapshot)
	is.Equal(len(u.Records), 2)
	is.Equal(u.NextOffset, model.Offset(5))

	l.records = append(l.records, Record{Key: "c", Offset: 7}, Record{Key: "d", Offset: 9})
	u = read()
	is.True(!u.IsSnapshot)
	is.Equal(len(u.Records), 2)
	is.Equal(u.NextOffset, model.Offset(10))
	is.Equal(len(read().Records), 0)

	l.records, l.firstOffset = append(l.records[2:], Record{Key: "e", Offset: 20}), 15
	u = read()
	is.True(u.IsSnapshot)
	is.Equal(len(u.Records), 3)
	is.Equal(u.NextOffset, model.Offset(21))
}
