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

// WrapListener wraps a listener so that the error responses that net/http itself writes, to requests that reach no handler,
// contain a *model.Error instead of plain text.
func WrapListener(l net.Listener) net.Listener { return typedErrorListener{l} }

// typedErrorListener returns connections of type *typedErrorConn.
type typedErrorListener struct{ net.Listener }

// Accept implements net.Listener.
func (l typedErrorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &typedErrorConn{Conn: c}, nil
}

// typedErrorConn replaces the plain-text error responses of net/http with a *model.Error. Its fields are atomic, because
// net/http reads in the background while a handler writes.
type typedErrorConn struct {
	net.Conn
	requestPending atomic.Bool // data of a request has been read since the last write
	readTimedOut   atomic.Bool // the last read exceeded its deadline
}

// errorWriteTimeout limits the time for writing the error response to a client that sent its request too slowly.
const errorWriteTimeout = time.Second

// NetConn returns the connection that c wraps.
func (c *typedErrorConn) NetConn() net.Conn { return c.Conn }

// Read records whether a request has begun and whether its read deadline has passed.
func (c *typedErrorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestPending.Store(true)
	}
	c.readTimedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// plainErrorHeader ends the header of an error response that net/http writes without calling a handler. It is preceded by the
// status line only, whereas the responses of handlers have a Date header, too.
var plainErrorHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write writes the data, but replaces a plain-text error response of net/http.
func (c *typedErrorConn) Write(p []byte) (int, error) {
	c.requestPending.Store(false)
	statusLine, _, isPlainError := bytes.Cut(p, plainErrorHeader)
	if !isPlainError || bytes.ContainsAny(statusLine, "\r\n") {
		return c.Conn.Write(p)
	}
	_, code, _ := bytes.Cut(statusLine, []byte(" "))
	code, _, _ = bytes.Cut(code, []byte(" "))
	statusCode, err := strconv.Atoi(string(code))
	if err != nil {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(errorResponse(statusCode)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite closes the write side of the connection. net/http calls it before Close, so that the client can read the error
// response before the connection is reset.
func (c *typedErrorConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection. If the header of a request did not arrive in time, it writes an error response first, because
// net/http closes such a connection without a response.
func (c *typedErrorConn) Close() error {
	if c.readTimedOut.Load() && c.requestPending.Swap(false) {
		_ = c.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
		_, _ = c.Conn.Write(errorResponse(http.StatusRequestTimeout))
	}
	return c.Conn.Close()
}

// errorResponse returns a complete HTTP response with a *model.Error, for a request that reached no handler.
func errorResponse(status int) []byte {
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
		data = nil // unreachable: encoding an error of strings can't fail
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nOutcome: not-run\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(data), data)
}
