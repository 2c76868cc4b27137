package compressor

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxPlainBytes bounds the size of decompressed data.
const maxPlainBytes = 16 << 20

var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestSpeed)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// Compress calls write and returns what it has written in compressed form, after a prefix.
func Compress(prefix []byte, write func(io.Writer) error) ([]byte, error) {
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	out := bytes.NewBuffer(prefix)
	w.Reset(out)
	if err := write(w); err != nil {
		return nil, errors.Wrap(err, "compressor: writing data")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressor: ending data")
	}
	return out.Bytes(), nil
}

// Decompress calls read with the decompressed form of data, of which it can read at most 16 MB.
func Decompress(data []byte, read func(io.Reader) error) error {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return errors.Wrap(err, "compressor: starting to read")
	}
	return errors.Wrap(read(io.LimitReader(r, maxPlainBytes)), "compressor: reading data")
}
