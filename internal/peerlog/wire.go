package peerlog

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chestnutmux.example/chestnutmux/internal/compressor"
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

// tailUse says whether a peer may serve a read from the records that it keeps, which may miss those of the last seconds.
type tailUse string

const (
	tailNever tailUse = ""      // the peer calls the log
	tailFirst tailUse = "first" // the peer calls the log if the records that it keeps can't serve the read
	tailOnly  tailUse = "only"  // the peer does not call the log
)

// newestParams are the parameters of methodNewest.
type newestParams struct {
	Log   string  `json:"log"`
	After string  `json:"after"`
	Tail  tailUse `json:"tail,omitempty"`
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
	failureLogNotReached  failure = "no-log"  // the peer can't reach the log
	failureLoading        failure = "loading" // the peer is loading the records that it will keep
)

// response is the result of each method; Failure is empty when the call succeeded.
type response struct {
	Failure     failure      `json:"failure,omitempty"`
	Message     string       `json:"message,omitempty"`  // text of the error
	Offset      model.Offset `json:"offset,omitempty"`   // offset of the first appended record, or the offset in the failure
	ExpectedSeq int64        `json:"expected,omitempty"` // with failureSequence
	Batch       *batchHeader `json:"batch,omitempty"`    // result of methodRead
	Page        *pageHeader  `json:"page,omitempty"`     // result of methodNewest
	// Attachment is the ID of the attachment that holds the records of Batch or Page; 0 if there are none.
	Attachment attachmentID `json:"attachment,omitempty"`

	records []byte // the attachment, see packRecords
}

// batchHeader describes a batch whose records are in an attachment.
type batchHeader struct {
	EndOffset model.Offset `json:"end"`
	NoDirect  bool         `json:"no-direct,omitempty"` // the peer gets its records through a host that may read through it
	confirmation
}

// pageHeader describes a page of newest records, which are in an attachment.
type pageHeader struct {
	HasMore   bool         `json:"more,omitempty"`
	EndOffset model.Offset `json:"end"`
	confirmation
}

// confirmation tells when the log was known to end at the end offset of a response, without a common clock of the hosts.
type confirmation struct {
	AgeMS  model.Millis `json:"age-ms"`            // time since the end was confirmed; negative if unknown
	HeldMS model.Millis `json:"held-ms,omitempty"` // time between the arrival of the request and the response
}

// newConfirmation returns the confirmation for the response to a request that has arrived at a time.
func newConfirmation(confirmedAt, arrivedAt time.Time) confirmation {
	now := time.Now()
	c := confirmation{AgeMS: -1, HeldMS: model.Millis(now.Sub(arrivedAt).Milliseconds())}
	if !confirmedAt.IsZero() {
		c.AgeMS = model.Millis(now.Sub(confirmedAt).Milliseconds()) + 1 // rounded up
	}
	return c
}

// confirmedAt returns when the end was confirmed, for the response to a request that was sent at a time; zero if unknown.
func (c confirmation) confirmedAt(sentAt time.Time) time.Time {
	if c.AgeMS < 0 {
		return time.Time{}
	}
	return sentAt.Add(time.Duration(c.HeldMS-c.AgeMS) * time.Millisecond)
}

// minCompressBytes is the size of packed records from which they are compressed. Large values of small batches are compressed already,
// and hosts read several small batches a second.
const minCompressBytes = 8 << 10

// Values of the first byte of packed records.
const (
	packedPlain      = 0
	packedCompressed = 1
)

// packRecords encodes records and compresses them if they are large. A configuration takes about a tenth of its size, which counts
// on hosts with slow links.
func packRecords(records []journaler.Record) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	if err := encoder.EncodeInt(int64(len(records))); err != nil {
		return nil, errors.Wrap(err, "peerlog: encoding records")
	}
	for _, r := range records {
		if err := encoder.Encode(&r); err != nil {
			return nil, errors.Wrap(err, "peerlog: encoding records")
		}
	}
	plain := out.Bytes()
	if len(plain) < minCompressBytes {
		return append([]byte{packedPlain}, plain...), nil
	}
	return compressor.Compress([]byte{packedCompressed}, func(w io.Writer) error {
		_, err := w.Write(plain)
		return err
	})
}

// unpackRecords returns the records that packRecords has packed.
func unpackRecords(data []byte) (records []journaler.Record, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	switch data[0] {
	case packedPlain:
		records, err = decodeRecords(bytes.NewReader(data[1:]))
	case packedCompressed:
		err = compressor.Decompress(data[1:], func(r io.Reader) (err error) {
			records, err = decodeRecords(r)
			return err
		})
	default:
		err = errors.Newf("peerlog: records have the unknown format %d; the peer may run another version", data[0])
	}
	return records, errors.Wrap(err, "peerlog: decoding records")
}

// decodeRecords decodes the number of records and the records one by one. It allocates nothing for records that do not follow.
func decodeRecords(r io.Reader) ([]journaler.Record, error) {
	decoder := msgpack.NewDecoder(r)
	n, err := decoder.DecodeInt()
	var records []journaler.Record
	for err == nil && len(records) < n {
		var rec journaler.Record
		err = decoder.Decode(&rec)
		records = append(records, rec)
	}
	return records, err
}

// setBatch stores the result of a call of methodRead that has arrived at a time.
func (r *response) setBatch(b journaler.Batch, arrivedAt time.Time) (err error) {
	r.records, err = packRecords(b.Records)
	r.Batch = &batchHeader{EndOffset: b.EndOffset, confirmation: newConfirmation(b.ConfirmedAt, arrivedAt)}
	return err
}

// setPage stores the result of a call of methodNewest that has arrived at a time.
func (r *response) setPage(p journaler.Page, arrivedAt time.Time) (err error) {
	r.records, err = packRecords(p.Records)
	r.Page = &pageHeader{HasMore: p.HasMore, EndOffset: p.EndOffset, confirmation: newConfirmation(p.ConfirmedAt, arrivedAt)}
	return err
}

// batch returns the result of a call of methodRead that was sent at a time.
func (r *response) batch(sentAt time.Time) (journaler.Batch, error) {
	if r.Batch == nil {
		return journaler.Batch{}, errors.New("peerlog: the peer responded to a read without a batch; it may run another version")
	}
	records, err := unpackRecords(r.records)
	return journaler.Batch{Records: records, EndOffset: r.Batch.EndOffset, ConfirmedAt: r.Batch.confirmedAt(sentAt)}, err
}

// page returns the result of a call of methodNewest that was sent at a time.
func (r *response) page(sentAt time.Time) (journaler.Page, error) {
	if r.Page == nil {
		return journaler.Page{}, errors.New("peerlog: the peer responded to a read of the newest records without a page; it may run another version")
	}
	records, err := unpackRecords(r.records)
	p := journaler.Page{Records: records, HasMore: r.Page.HasMore, EndOffset: r.Page.EndOffset, ConfirmedAt: r.Page.confirmedAt(sentAt)}
	return p, err
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
	case errors.Is(err, errLoading):
		r.Failure = failureLoading
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
	case failureLoading:
		return errLoading
	case failureNotAppended:
		return errors.Mark(errors.Newf("peerlog: the log refused the append of the peer: %s", r.Message), journaler.ErrNotAppended)
	case failureOutcomeUnknown:
		return errors.Mark(errors.Newf("peerlog: the peer got no response from the log: %s", r.Message), journaler.ErrOutcomeUnknown)
	}
	return errors.Mark(errors.Newf("peerlog: the peer can't reach the log: %s", r.Message), errLogNotReached)
}

// errLogNotReached marks a call that has not reached the log.
var errLogNotReached = errors.New("peerlog: the log was not reached")
