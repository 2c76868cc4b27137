package journaler

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minCompressBytes is the size from which a value is compressed. Every host reads every record, also over links between
	// regions, and the progress of a job with hundreds of tasks takes kilobytes.
	minCompressBytes = 512
	// compressedMarker is the first byte of a compressed value; no JSON value starts with it.
	compressedMarker = 0x01
	// maxValueBytes bounds the size of a decompressed value.
	maxValueBytes = 16 << 20
)

var (
	flateWriters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// encode returns a record whose value is the JSON encoding of v, compressed if it is large.
func encode(key string, v any) (Record, error) {
	b, err := json.Marshal(v)
	if err == nil && len(b) >= minCompressBytes {
		b, err = deflate(b)
	}
	if err != nil {
		return Record{}, errors.Wrapf(err, "journaler: encoding record %s", key)
	}
	return Record{Key: key, Value: b}, nil
}

// deflate compresses b and prepends compressedMarker.
func deflate(b []byte) ([]byte, error) {
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	var out bytes.Buffer
	out.WriteByte(compressedMarker)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode decompresses the value of a record if necessary and decodes it into v.
func decode(b []byte, v any) error {
	if len(b) > 0 && b[0] == compressedMarker {
		r := flateReaders.Get().(io.ReadCloser)
		defer flateReaders.Put(r)
		if err := r.(flate.Resetter).Reset(bytes.NewReader(b[1:]), nil); err != nil {
			return err
		}
		plain, err := io.ReadAll(io.LimitReader(r, maxValueBytes))
		if err != nil {
			return errors.Wrap(err, "journaler: decompressing record")
		}
		b = plain
	}
	return json.Unmarshal(b, v)
}
