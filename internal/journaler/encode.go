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
	// compressFrom is the size in bytes from which a record is compressed: every host reads every record, over links between
	// regions, too, and the state of a job of hundreds of tasks takes kilobytes.
	compressFrom = 512
	// compressed is the first byte of a compressed value; JSON begins with another one.
	compressed = 0x01
	// maxValue bounds a decoded value.
	maxValue = 16 << 20
)

var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// encode returns the record of a value.
func encode(key string, v any) (Record, error) {
	b, err := json.Marshal(v)
	if err == nil && len(b) >= compressFrom {
		b, err = deflate(b)
	}
	if err != nil {
		return Record{}, errors.Wrapf(err, "journaler: encoding record %s", key)
	}
	return Record{Key: key, Value: b}, nil
}

func deflate(b []byte) ([]byte, error) {
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	var out bytes.Buffer
	out.WriteByte(compressed)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode reads the value of a record.
func decode(b []byte, v any) error {
	if len(b) > 0 && b[0] == compressed {
		r := inflaters.Get().(io.ReadCloser)
		defer inflaters.Put(r)
		if err := r.(flate.Resetter).Reset(bytes.NewReader(b[1:]), nil); err != nil {
			return err
		}
		plain, err := io.ReadAll(io.LimitReader(r, maxValue))
		if err != nil {
			return errors.Wrap(err, "journaler: compressed record")
		}
		b = plain
	}
	return json.Unmarshal(b, v)
}
