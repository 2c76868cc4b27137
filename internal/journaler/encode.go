package journaler

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/compressor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// minCompressBytes is the size from which a value is compressed. Every host reads every record, also over links between
	// regions, and the progress of a job with hundreds of tasks takes kilobytes.
	minCompressBytes = 512
	// compressedMarker is the first byte of a compressed value; no JSON value starts with it.
	compressedMarker = 0x01
)

// MaxRecordBytes is the size of the largest record that the log takes, with its key.
const MaxRecordBytes = 256 << 10

// Fits reports whether the log takes the record. One that is too large would fail all appends that it is part of.
func (r Record) Fits() bool { return 1+len(r.Key)+len(r.Value) <= MaxRecordBytes }

// encode returns a record whose value is the JSON encoding of v, compressed if it is large.
func encode(key string, v any) (Record, error) {
	b, err := marshal(v)
	if err == nil && len(b) >= minCompressBytes {
		plain := b
		b, err = compressor.Compress([]byte{compressedMarker}, func(w io.Writer) error {
			_, err := w.Write(plain)
			return err
		})
	}
	if err != nil {
		return Record{}, errors.Wrapf(err, "journaler: encoding record %s", key)
	}
	return Record{Key: key, Value: b}, nil
}

// marshal returns the JSON encoding of v. It escapes no characters for HTML, which takes six bytes for one and could make the record of a body
// of legal size larger than MaxRecordBytes.
func marshal(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	err := e.Encode(v)
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), err
}

// decode decompresses the value of a record if necessary and decodes it into v.
func decode(b []byte, v any) error {
	if len(b) > 0 && b[0] == compressedMarker {
		var plain []byte
		err := compressor.Decompress(b[1:], func(r io.Reader) (err error) {
			plain, err = io.ReadAll(r)
			return err
		})
		if err != nil {
			return errors.Wrap(err, "journaler: decompressing record")
		}
		b = plain
	}
	return json.Unmarshal(b, v)
}

// maxTasks is the maximum number of tasks of a job that a leader can keep; entry hosts of the users' platform accept fewer.
const maxTasks = 1_000_000

// decodeSubmission decodes the value of a submission record. Every leader would end with the same error if another writer left a
// record that it can't plan.
func decodeSubmission(b []byte, s *model.Submission) error {
	if err := decode(b, s); err != nil || s.Digest != "" {
		return err // an ended job is not planned
	}
	return CheckSubmission(s)
}

// CheckSubmission returns an error if a leader can't plan the job; replicas pass over the record of such a job.
func CheckSubmission(s *model.Submission) error {
	tasks := 0
	for i, st := range s.Steps {
		if st.Count < 0 || st.Count > maxTasks {
			return errors.Newf("journaler: step %d has %d tasks, expected 0 to %d", i, st.Count, maxTasks)
		}
		for _, n := range st.DependsOn {
			if n < 0 || n >= i {
				return errors.Newf("journaler: step %d depends on step %d, expected an earlier one", i, n)
			}
		}
		tasks += st.Count
	}
	if len(s.Steps) == 0 || s.ScheduledOccurrences > maxTasks || max(tasks, len(s.Steps)) > maxTasks/s.Occurrences() {
		return errors.Newf("journaler: job has %d steps of %d tasks and %d occurrences, expected at least 1 step and at most %d tasks in all",
			len(s.Steps), tasks, s.Occurrences(), maxTasks)
	}
	return nil
}
