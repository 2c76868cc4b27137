package journaler

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Log is the platform's log as the journaler uses it: one partition of keyed records.
type Log interface {
	// Append adds records, all or none, and returns the offset of the first.
	Append(ctx context.Context, records []Record, c AppendCondition) (model.Offset, error)
	// Read returns the records from an offset and waits for the first one at most that long.
	Read(ctx context.Context, from model.Offset, wait time.Duration) (Batch, error)
	// ReadNewest returns a page of the newest record of each key after the given one.
	ReadNewest(ctx context.Context, after string) (Page, error)
}

// AppendCondition restricts an append; its zero value appends always.
type AppendCondition struct {
	ExpectedEnd *model.Offset `json:"at,omitempty"` // the append fails with a MovedError unless the log ends there
	Writer      *Writer       `json:"writer,omitempty"`
}

// Writer identifies an append of a leader, so that repeats take effect once and deposed leaders are fenced off.
type Writer struct {
	Name  string             `json:"name"`
	Epoch model.FencingToken `json:"epoch"`
	Seq   int64              `json:"seq"`
}

// Batch is a run of records read from the log.
type Batch struct {
	Records   []Record     `json:"records"`
	EndOffset model.Offset `json:"end"` // of the log
}

// Page is a part of the newest records of all keys.
type Page struct {
	Records   []Record     `json:"records"`
	HasMore   bool         `json:"more"`
	EndOffset model.Offset `json:"end"` // of the log when the page was made
}

// ErrRejected reports that the log refused an append and nothing was done.
var ErrRejected = errors.New("journaler: the log refused the append; retry later")

// ErrOutcomeUnknown reports that an append got no answer; it may have taken effect or may still do so.
var ErrOutcomeUnknown = errors.New("journaler: the append got no answer; repeat it, it is idempotent")

// ErrFenced reports that a leader with a higher fence has written.
var ErrFenced = errors.New("journaler: another leader has taken over; step down")

// OffsetMismatchError reports that the log does not end where a conditional append expected.
type OffsetMismatchError struct{ EndOffset model.Offset }

// Error describes the actual end.
func (e *OffsetMismatchError) Error() string {
	return fmt.Sprintf("journaler: the log ends at %d; read on and retry", e.EndOffset)
}

// SequenceError reports that an append of a leader is not the next one.
type SequenceError struct{ ExpectedSeq int64 }

// Error describes the expected number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("journaler: the log expects append %d of this leader", e.ExpectedSeq)
}

// TrimmedError reports that records were deleted before they were read.
type TrimmedError struct{ FirstOffset model.Offset }

// Error describes the first record that is left.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("journaler: records before %d are deleted; load the newest of each key", e.FirstOffset)
}
