package peerlog

import (
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The methods of a peer.
const (
	methodAppend = "append"
	methodRead   = "read"
	methodNewest = "newest"
)

// appendParams are the parameters of an append.
type appendParams struct {
	Log       string                    `json:"log"`
	Records   []journaler.Record        `json:"records"`
	Condition journaler.AppendCondition `json:"condition"`
}

// readParams are the parameters of a read.
type readParams struct {
	Log    string       `json:"log"`
	From   model.Offset `json:"from"`
	WaitMS model.Millis `json:"wait-ms"`
}

// newestParams are the parameters of a look at the newest records.
type newestParams struct {
	Log   string `json:"log"`
	After string `json:"after"`
}

// failure is the kind of a typed error of the log.
type failure string

const (
	failedRejected failure = "rejected"
	failedUnknown  failure = "unknown"
	failedFenced   failure = "fenced"
	failedMoved    failure = "moved"
	failedSequence failure = "sequence"
	failedTrimmed  failure = "trimmed"
	failedNoLog    failure = "no-log" // the peer does not reach the log either
)

// reply is the answer of a peer; Failure is empty when the call succeeded.
type reply struct {
	Failure  failure          `json:"failure,omitempty"`
	Message  string           `json:"message,omitempty"`
	Offset   model.Offset     `json:"offset,omitempty"` // of an append, or of the failure
	Expected int64            `json:"expected,omitempty"`
	Batch    *journaler.Batch `json:"batch,omitempty"`
	Page     *journaler.Page  `json:"page,omitempty"`
}

// fail fills in the failure of a call to the log.
func (r *reply) fail(err error) {
	var moved *journaler.OffsetMismatchError
	var seq *journaler.SequenceError
	var trimmed *journaler.TrimmedError
	r.Message = err.Error()
	switch {
	case errors.As(err, &moved):
		r.Failure, r.Offset = failedMoved, moved.EndOffset
	case errors.As(err, &seq):
		r.Failure, r.Expected = failedSequence, seq.ExpectedSeq
	case errors.As(err, &trimmed):
		r.Failure, r.Offset = failedTrimmed, trimmed.FirstOffset
	case errors.Is(err, journaler.ErrFenced):
		r.Failure = failedFenced
	case errors.Is(err, journaler.ErrRejected):
		r.Failure = failedRejected
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		r.Failure = failedUnknown
	default:
		r.Failure = failedNoLog
	}
}

// err returns the typed error of a failure.
func (r *reply) err() error {
	switch r.Failure {
	case "":
		return nil
	case failedMoved:
		return &journaler.OffsetMismatchError{EndOffset: r.Offset}
	case failedSequence:
		return &journaler.SequenceError{ExpectedSeq: r.Expected}
	case failedTrimmed:
		return &journaler.TrimmedError{FirstOffset: r.Offset}
	case failedFenced:
		return journaler.ErrFenced
	case failedRejected:
		return errors.Mark(errors.Newf("peerlog: the peer was told: %s", r.Message), journaler.ErrRejected)
	case failedUnknown:
		return errors.Mark(errors.Newf("peerlog: the peer got no answer: %s", r.Message), journaler.ErrOutcomeUnknown)
	}
	return errors.Mark(errors.Newf("peerlog: the peer does not reach the log: %s", r.Message), errNoLog)
}

// errNoLog marks a call that no log has seen.
var errNoLog = errors.New("peerlog: the log was not reached")
