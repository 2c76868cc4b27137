package journaler

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/compressor"
)

const (
	// minCompressBytes is the size from which a value is compressed. Every host reads every record, also over links between
	// regions, and the progress of a job with hundreds of tasks takes kilobytes.
	minCompressBytes = 512
	// compressedMarker is the first byte of a compressed value; no JSON value starts with it.
	compressedMarker = 0x01
)

// encode returns a record whose value is the JSON encoding of v, compressed if it is large.
func encode(key string, v any) (Record, error) {
	b, err := json.Marshal(v)
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
