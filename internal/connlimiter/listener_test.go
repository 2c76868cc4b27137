package connlimiter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve serves a handler through a limiter until the test ends.
func serve(t *testing.T, l *Limiter, limits Limits, h http.HandlerFunc) string {
	t.Helper()
	l.SetLimits(limits)
	ln, err := Listen("tcp", "127.0.0.1:0", Buffers{Receive: 16 << 10, Send: 16 << 10})
	is.New(t).NoErr(err)
	s := &http.Server{Handler: h}
	Attach(s)
	go func() { _ = s.Serve(l.Wrap(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// Guards against a refusal that waits for the rest of the body or that the client can't read.
func TestRefusalReachesClientThatSends(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	addr := serve(t, l, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		OfRequest(r).Refuse()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 8_000))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	_, _ = io.Copy(io.Discard, c) // until the connection is closed
	for l.Len() > 0 {
		_, _ = c.Write([]byte("x"))
	}
}

// Guards against connections over the bound that stay open, and counters that miss them.
func TestListenerRefusesConnections(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	addr := serve(t, l, Limits{PerAddress: 1}, func(http.ResponseWriter, *http.Request) {})
	first, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer first.Close()
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	second, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(l.Refused.Value(), int64(1))
	is.Equal(l.Len(), 1)
}

// Guards against a client that keeps its connection from giving way by asking for an interim response to its header.
func TestBodyGivesWayAfterInterimResponse(t *testing.T) {
	is := is.New(t)
	l := &Limiter{}
	addr := serve(t, l, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		_ = OfRequest(r).SetWaiting(true)
		_, _ = io.ReadAll(r.Body)
	})
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusContinue)
	time.Sleep(100 * time.Millisecond) // until the write of the interim response has returned
	is.True(l.Table.EvictBody(time.Now().Add(2*minWait)) != nil)
}
