package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Listen wraps a listener so that requests which net/http refuses before any handler runs get a typed error too.
func Listen(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn replaces the plain refusals of net/http by typed errors; net/http also reads while a handler writes.
type conn struct {
	net.Conn
	pending atomic.Bool // part of a request was read and nothing was answered since
	slow    atomic.Bool // the time for reading ended
}

// closeTime bounds the last write to a client that sent its request too slowly.
const closeTime = time.Second

// Read notes whether a request has begun and whether the time for it has ended.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pending.Store(true)
	}
	c.slow.Store(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// plainRefusal ends the header of an answer that net/http writes without a handler; those of handlers have a date.
var plainRefusal = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write passes answers on and replaces a plain refusal.
func (c *conn) Write(p []byte) (int, error) {
	c.pending.Store(false)
	status, _, refused := bytes.Cut(p, plainRefusal)
	if !refused || bytes.ContainsAny(status, "\r\n") {
		return c.Conn.Write(p)
	}
	_, code, _ := bytes.Cut(status, []byte(" "))
	code, _, _ = bytes.Cut(code, []byte(" "))
	n, err := strconv.Atoi(string(code))
	if err != nil {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(refusal(n)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite lets net/http end its side first, so that the client reads the refusal before the connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close answers a request whose header did not arrive in time; net/http closes such connections silently.
func (c *conn) Close() error {
	if c.slow.Load() && c.pending.Swap(false) {
		_ = c.SetWriteDeadline(time.Now().Add(closeTime))
		_, _ = c.Conn.Write(refusal(http.StatusRequestTimeout))
	}
	return c.Conn.Close()
}

// refusal returns a whole HTTP answer with a typed error for a request that reached no handler.
func refusal(status int) []byte {
	e := model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
		Message: "the request is no valid HTTP/1.1", Remedy: "correct the request line and the headers",
	}
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		e.Kind = model.ErrorKindTooLarge
		e.Message = "the headers are larger than " + strconv.Itoa(maxHeaderBytes) + " bytes"
		e.Remedy = "send fewer or shorter headers"
	case http.StatusRequestTimeout:
		e.Kind = model.ErrorKindDeadline
		e.Message, e.Remedy = "the headers did not arrive in time", "send the request in one go"
	}
	data, err := json.Marshal(e)
	if err != nil {
		data = nil // cannot happen for strings
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nOutcome: not-run\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(data), data)
}
