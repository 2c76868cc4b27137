package peerlog

import (
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Names of the RPC methods.
const (
	methodAppend = "append"
	methodRead   = "read"
	methodNewest = "newest"
)

// appendParams are the parameters of methodAppend.
type appendParams struct {
	Log       string                    `json:"log"`
	Records   []journaler.Record        `json:"records"`
	Condition journaler.AppendCondition `json:"condition"`
}

// readParams are the parameters of methodRead.
type readParams struct {
	Log    string       `json:"log"`
	From   model.Offset `json:"from"`
	WaitMS model.Millis `json:"wait-ms"`
}

// newestParams are the parameters of methodNewest.
type newestParams struct {
	Log   string `json:"log"`
	After string `json:"after"`
}

// failure identifies an error of the log in a reply.
type failure string

const (
	failureRejected       failure = "rejected"
	failureUnknown        failure = "unknown"
	failureFenced         failure = "fenced"
	failureOffsetMismatch failure = "moved"
	failureSequence       failure = "sequence"
	failureTrimmed        failure = "trimmed"
	failureLogUnreached   failure = "no-log" // the peer can't reach the log either
)

// reply is the result of each method; Failure is empty when the call succeeded.
type reply struct {
	Failure     failure          `json:"failure,omitempty"`
	Message     string           `json:"message,omitempty"`
	Offset      model.Offset     `json:"offset,omitempty"` // of an append or of a failure
	ExpectedSeq int64            `json:"expected,omitempty"`
	Batch       *journaler.Batch `json:"batch,omitempty"`
	Page        *journaler.Page  `json:"page,omitempty"`
}

// setFailure records the error of a call to the log.
func (r *reply) setFailure(err error) {
	var mismatch *journaler.OffsetMismatchError
	var seq *journaler.SequenceError
	var trimmed *journaler.TrimmedError
	r.Message = err.Error()
	switch {
	case errors.As(err, &mismatch):
		r.Failure, r.Offset = failureOffsetMismatch, mismatch.EndOffset
	case errors.As(err, &seq):
		r.Failure, r.ExpectedSeq = failureSequence, seq.ExpectedSeq
	case errors.As(err, &trimmed):
		r.Failure, r.Offset = failureTrimmed, trimmed.FirstOffset
	case errors.Is(err, journaler.ErrFenced):
		r.Failure = failureFenced
	case errors.Is(err, journaler.ErrNotAppended):
		r.Failure = failureRejected
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		r.Failure = failureUnknown
	default:
		r.Failure = failureLogUnreached
	}
}

// asError returns the error that setFailure recorded, or nil.
func (r *reply) asError() error {
	switch r.Failure {
	case "":
		return nil
	case failureOffsetMismatch:
		return &journaler.OffsetMismatchError{EndOffset: r.Offset}
	case failureSequence:
		return &journaler.SequenceError{ExpectedSeq: r.ExpectedSeq}
	case failureTrimmed:
		return &journaler.TrimmedError{FirstOffset: r.Offset}
	case failureFenced:
		return journaler.ErrFenced
	case failureRejected:
		return errors.Mark(errors.Newf("peerlog: the peer was told: %s", r.Message), journaler.ErrNotAppended)
	case failureUnknown:
		return errors.Mark(errors.Newf("peerlog: the peer got no answer: %s", r.Message), journaler.ErrOutcomeUnknown)
	}
	return errors.Mark(errors.Newf("peerlog: the peer does not reach the log: %s", r.Message), errLogUnreached)
}

// errLogUnreached marks a call that has not reached a log.
var errLogUnreached = errors.New("peerlog: the log was not reached")
