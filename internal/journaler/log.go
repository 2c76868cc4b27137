package journaler

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Log is one append-only sequence of keyed records in the platform's log.
type Log interface {
	// Append atomically appends the records if the condition is met, and returns the offset of the first one.
	Append(ctx context.Context, records []Record, c AppendCondition) (model.Offset, error)
	// Read returns records from the offset on. If there are none yet, it waits up to wait for the first one.
	Read(ctx context.Context, offset model.Offset, wait time.Duration) (Batch, error)
	// ReadNewest returns a page of the newest record of each key, in the order of the keys, starting after afterKey.
	ReadNewest(ctx context.Context, afterKey string) (Page, error)
}

// AppendCondition makes an append conditional; the zero value appends unconditionally.
type AppendCondition struct {
	ExpectedEnd *model.Offset `json:"at,omitempty"`     // the append fails with an OffsetMismatchError unless the log ends at this offset
	Writer      *Writer       `json:"writer,omitempty"` // identifies the append of a leader; nil for all other appends
}

// Writer identifies an append by a leader, so that the log applies a retried append only once and refuses the appends of
// former leaders.
type Writer struct {
	Name  string             `json:"name"`  // name that all leaders share
	Epoch model.FencingToken `json:"epoch"` // fencing token of the leader
	Seq   int64              `json:"seq"`   // sequence number of the append within the term
}

// Batch is a sequence of records read from the log.
type Batch struct {
	Records   []Record     `json:"records"`
	EndOffset model.Offset `json:"end"` // end of the log
	// ConfirmedAt is a time at which the log ended at EndOffset; zero means that it is unknown.
	ConfirmedAt time.Time `json:"-"`
}

// Page is one page of the newest records of all keys.
type Page struct {
	Records   []Record     `json:"records"`
	HasMore   bool         `json:"more"` // whether further pages follow
	EndOffset model.Offset `json:"end"`  // end of the log when the page was read
	// ConfirmedAt is a time at which the log ended at EndOffset; zero means that it is unknown.
	ConfirmedAt time.Time `json:"-"`
}

// ErrNotAppended reports that an append certainly had no effect, because the log refused it or was not reached. It may be
// retried.
var ErrNotAppended = errors.New("journaler: the log refused the append; retry later")

// ErrOutcomeUnknown reports that an append got no response. It may have taken effect or may still do so.
var ErrOutcomeUnknown = errors.New("journaler: the append got no response; retry it, it is idempotent")

// ErrFenced reports that the log refused an append because a leader with a higher fencing token has written.
var ErrFenced = errors.New("journaler: another leader has taken over; step down")

// OffsetMismatchError reports that the log does not end at the offset that a conditional append expected.
type OffsetMismatchError struct{ EndOffset model.Offset }

// Error states the actual end of the log.
func (e *OffsetMismatchError) Error() string {
	return fmt.Sprintf("journaler: the log ends at %d; read on and retry", e.EndOffset)
}

// SequenceError reports that an append by a leader does not have the leader's next sequence number.
type SequenceError struct{ ExpectedSeq int64 }

// Error states the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("journaler: the log expects append %d of this leader", e.ExpectedSeq)
}

// TrimmedError reports that the log has deleted the records at the offset at which a read starts.
type TrimmedError struct{ FirstOffset model.Offset }

// Error states the offset of the first remaining record.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("journaler: records before %d are deleted; load the newest of each key", e.FirstOffset)
}
