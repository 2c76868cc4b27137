package peerclient

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

var _ jsonrpc2.ObjectCodec = lineCodec{}

// ErrTooLarge says that a message exceeds the bound; the connection is closed when a peer sent it.
var ErrTooLarge = errors.New("peerclient: message is larger than the bound")

// lineCodec frames one JSON object a line and bounds its size in both directions.
type lineCodec struct{ max int }

// WriteObject writes one message.
func (c lineCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "peerclient: encode message")
	}
	if len(data) >= c.max {
		return ErrTooLarge
	}
	_, err = w.Write(append(data, '\n'))
	return err
}

// ReadObject reads one message without buffering more than the bound.
func (c lineCodec) ReadObject(r *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > c.max {
			return ErrTooLarge
		}
		line = append(line, part...)
		if err == nil {
			return json.Unmarshal(line, v)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
