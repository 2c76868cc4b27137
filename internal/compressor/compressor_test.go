package compressor

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against data that changes when it is compressed and decompressed.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain := rapid.SliceOf(rapid.Byte()).Draw(rt, "plain")
		data, err := Compress([]byte("p"), func(w io.Writer) error {
			_, err := w.Write(plain)
			return err
		})
		if err != nil || data[0] != 'p' {
			rt.Fatalf("compressing failed: %v", err)
		}
		var got []byte
		err = Decompress(data[1:], func(r io.Reader) (err error) {
			got, err = io.ReadAll(r)
			return err
		})
		if err != nil || !bytes.Equal(got, plain) {
			rt.Fatalf("got %q, %v, want %q", got, err, plain)
		}
	})
}

// Guards against truncated data that is taken for complete, and against data that decompresses to any size.
func TestDamagedAndOversizedData(t *testing.T) {
	is := is.New(t)
	data, err := Compress(nil, func(w io.Writer) error {
		_, err := w.Write(make([]byte, 2*maxPlainBytes))
		return err
	})
	is.NoErr(err)
	readAll := func(data []byte) (n int64, err error) {
		err = Decompress(data, func(r io.Reader) (err error) {
			n, err = io.Copy(io.Discard, r)
			return err
		})
		return n, err
	}
	n, err := readAll(data)
	is.NoErr(err)
	is.Equal(n, int64(maxPlainBytes))
	small, err := Compress(nil, func(w io.Writer) error {
		_, err := w.Write([]byte("some text"))
		return err
	})
	is.NoErr(err)
	_, err = readAll(small[:len(small)-2])
	is.True(err != nil)
}
