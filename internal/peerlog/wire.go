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
	Tail   tailUse      `json:"tail,omitempty"`
}

// tailUse says whether a peer may serve a read from its tail, which may miss the records of the last second.
type tailUse string

const (
	tailNever tailUse = ""      // the peer calls the log
	tailFirst tailUse = "first" // the peer calls the log if its tail can't serve the read
	tailOnly  tailUse = "only"  // the peer does not call the log
)

// newestParams are the parameters of methodNewest.
type newestParams struct {
	Log   string `json:"log"`
	After string `json:"after"`
}

// failure identifies an error of the log in a response.
type failure string

const (
	failureNotAppended    failure = "rejected"
	failureOutcomeUnknown failure = "unknown"
	failureFenced         failure = "fenced"
	failureOffsetMismatch failure = "moved"
	failureSequence       failure = "sequence"
	failureTrimmed        failure = "trimmed"
	failureLogNotReached  failure = "no-log" // the peer can't reach the log
)

// response is the result of each method; Failure is empty when the call succeeded.
type response struct {
	Failure     failure          `json:"failure,omitempty"`
	Message     string           `json:"message,omitempty"`  // text of the error
	Offset      model.Offset     `json:"offset,omitempty"`   // offset of the first appended record, or the offset in the failure
	ExpectedSeq int64            `json:"expected,omitempty"` // with failureSequence
	Batch       *journaler.Batch `json:"batch,omitempty"`    // result of methodRead
	Page        *journaler.Page  `json:"page,omitempty"`     // result of methodNewest
}

// batch returns the result of methodRead.
func (r *response) batch() (journaler.Batch, error) {
	if r.Batch == nil {
		return journaler.Batch{}, errors.New("peerlog: the peer responded to a read without a batch")
	}
	return *r.Batch, nil
}

// setFailure records the error of a call to the log.
func (r *response) setFailure(err error) {
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
		r.Failure = failureNotAppended
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		r.Failure = failureOutcomeUnknown
	default:
		r.Failure = failureLogNotReached
	}
}

// asError returns the error that setFailure recorded, or nil.
func (r *response) asError() error {
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
	case failureNotAppended:
		return errors.Mark(errors.Newf("peerlog: the log refused the append of the peer: %s", r.Message), journaler.ErrNotAppended)
	case failureOutcomeUnknown:
		return errors.Mark(errors.Newf("peerlog: the peer got no response from the log: %s", r.Message), journaler.ErrOutcomeUnknown)
	}
	return errors.Mark(errors.Newf("peerlog: the peer can't reach the log: %s", r.Message), errLogNotReached)
}

// errLogNotReached marks a call that has not reached the log.
var errLogNotReached = errors.New("peerlog: the log was not reached")
