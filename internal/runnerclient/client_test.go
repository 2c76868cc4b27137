package runnerclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newServer(t *testing.T, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func serverAddr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// serveRaw listens on a TCP port and returns its address. It reads one request from each connection and calls respond with the
// index of the connection, the connection and its reader.
func serveRaw(t *testing.T, respond func(n int, c net.Conn, r *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if req, err := http.ReadRequest(r); err == nil {
					io.Copy(io.Discard, req.Body)
					respond(n, c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against accepting a truncated response or a response to another request, and against reporting not-run for a request
// that the runner has received and not refused.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	tests := []struct {
		name, response string
		body           string // expected body
		notRun         bool
		wrongResponse  bool
	}{
		{name: "complete", response: ok + "Content-Length: 4\r\n\r\nbody", body: "body"},
		{name: "chunked", response: ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body"},
		{name: "cut short", response: ok + "Content-Length: 9\r\n\r\nbody"},
		{name: "chunked, cut short", response: ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody"},
		{name: "header only", response: ok},
		{name: "no length", response: ok + "\r\nbody"},
		{name: "closed early", response: ""},
		{name: "too long", response: ok + "Content-Length: 11\r\n\r\n01234567890"},
		{name: "too long, chunked", response: ok + "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n"},
		{name: "wrong id", response: "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n", wrongResponse: true},
		{name: "no id", response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", wrongResponse: true},
		{name: "refused", response: "HTTP/1.1 503 S\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", notRun: true},
		{name: "refusal of another request", response: "HTTP/1.1 503 S\r\nNot-Run: true\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n", wrongResponse: true},
		{name: "503 without Not-Run", response: "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"},
		{name: "status 500", response: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var wrongResponses, conns atomic.Int32
			addr := serveRaw(t, func(n int, c net.Conn, _ *bufio.Reader) {
				conns.Add(1)
				io.WriteString(c, tt.response)
			})
			c := New(Options{Addr: addr, MaxResponseBytes: 10, OnWrongResponse: func(string, string) { wrongResponses.Add(1) }})
			resp, err := c.Send(context.Background(), Request{ID: "r1", Body: []byte("x")})
			is.Equal(string(resp.Body), tt.body)
			is.Equal(err == nil, tt.body != "")
			is.Equal(IsNotRun(err), tt.notRun)
			is.Equal(wrongResponses.Load() > 0, tt.wrongResponse)
			is.Equal(conns.Load(), int32(1)) // the request was sent once
		})
	}
}

// Guards against a request that http.Transport sends again on its own, which it does if a reused connection is closed after
// the request was written.
func TestNoReplayOnStaleConnection(t *testing.T) {
	for _, body := range []string{"x", ""} {
		is := is.New(t)
		var seen atomic.Int32
		addr := serveRaw(t, func(n int, c net.Conn, r *bufio.Reader) {
			seen.Add(1)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")
			if req, err := http.ReadRequest(r); err == nil { // the second request gets no response
				io.Copy(io.Discard, req.Body)
				seen.Add(1)
			}
		})
		c := New(Options{Addr: addr, MaxConns: 1})
		req := Request{ID: "r", Body: []byte(body)}
		_, err := c.Send(context.Background(), req)
		is.NoErr(err)
		_, err = c.Send(context.Background(), req)
		is.True(err != nil)
		is.True(!IsNotRun(err)) // the runner has read the request
		is.Equal(seen.Load(), int32(2))
	}
}

// Guards against reporting an unknown outcome for requests that were certainly not run, because there was no connection, no
// time left, or no free connection in time.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(nil)
	s.Close()
	_, err := New(Options{Addr: serverAddr(s)}).Send(context.Background(), Request{ID: "r"})
	is.True(IsNotRun(err))
	_, err = New(Options{Addr: serverAddr(s)}).Send(context.Background(), Request{ID: "r", Deadline: time.Unix(1, 0)})
	is.True(IsNotRun(err))

	entered, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	s = newServer(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(entered)
		<-release
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Free-Slots", "3")
		w.Header().Set("Leaving", "true")
	})
	c := New(Options{Addr: serverAddr(s), MaxConns: 1})
	done := make(chan error)
	go func() {
		resp, err := c.Send(context.Background(), Request{ID: "first"})
		if err == nil && resp.Status != (Status{FreeSlots: 3, Leaving: true}) {
			err = fmt.Errorf("status %+v", resp.Status)
		}
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Send(ctx, Request{ID: "second", Body: []byte("x")})
	is.True(IsNotRun(err)) // the request was waiting for the only connection
	close(release)
	is.NoErr(<-done)
	is.Equal(runs.Load(), int32(1))
}

// Guards against reporting not-run for a request that was written, but whose response did not arrive before the caller left.
func TestLateResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := New(Options{Addr: serverAddr(s)}).Send(ctx, Request{ID: "r", Body: []byte("x")})
	is.True(err != nil)
	is.True(!IsNotRun(err))
}
