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

func serve(t *testing.T, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func addr(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// raw answers each connection by a function of the raw connection, after it has read one request.
func raw(t *testing.T, answer func(n int, c net.Conn, r *bufio.Reader)) string {
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
					answer(n, c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against answers taken as whole or as the request's own when they are not, and against not-run said
// of a request that a runner has seen.
func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	tests := []struct {
		name, answer string
		body         string // expected
		notRun       bool
		invariant    bool
	}{
		{name: "whole", answer: ok + "Content-Length: 4\r\n\r\nbody", body: "body"},
		{name: "chunked", answer: ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", body: "body"},
		{name: "cut short", answer: ok + "Content-Length: 9\r\n\r\nbody"},
		{name: "chunked, cut short", answer: ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody"},
		{name: "header only", answer: ok},
		{name: "no length", answer: ok + "\r\nbody"},
		{name: "closed early", answer: ""},
		{name: "too long", answer: ok + "Content-Length: 11\r\n\r\n01234567890"},
		{name: "too long, chunked", answer: ok + "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n"},
		{name: "wrong id", answer: "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n", invariant: true},
		{name: "no id", answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", invariant: true},
		{name: "refused", answer: "HTTP/1.1 503 S\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n", notRun: true},
		{name: "refusal of another", answer: "HTTP/1.1 503 S\r\nNot-Run: true\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n", invariant: true},
		{name: "503 without word", answer: "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"},
		{name: "status 500", answer: "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var invariant, conns atomic.Int32
			a := raw(t, func(n int, c net.Conn, _ *bufio.Reader) {
				conns.Add(1)
				io.WriteString(c, tt.answer)
			})
			c := New(Options{Addr: a, MaxBody: 10, Invariant: func(string, string) { invariant.Add(1) }})
			ans, err := c.Send(context.Background(), Request{ID: "r1", Body: []byte("x")})
			is.Equal(string(ans.Body), tt.body)
			is.Equal(err == nil, tt.body != "")
			is.Equal(NotRun(err), tt.notRun)
			is.Equal(invariant.Load() > 0, tt.invariant)
			is.Equal(conns.Load(), int32(1)) // sent once
		})
	}
}

// Guards against the silent replay of a request by http.Transport when a kept-alive connection turns out to be
// closed after the request was written.
func TestNoReplayOnStaleConnection(t *testing.T) {
	for _, body := range []string{"x", ""} {
		is := is.New(t)
		var seen atomic.Int32
		a := raw(t, func(n int, c net.Conn, r *bufio.Reader) {
			seen.Add(1)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")
			if req, err := http.ReadRequest(r); err == nil { // the second request gets no answer
				io.Copy(io.Discard, req.Body)
				seen.Add(1)
			}
		})
		c := New(Options{Addr: a, MaxConns: 1})
		req := Request{ID: "r", Body: []byte(body)}
		_, err := c.Send(context.Background(), req)
		is.NoErr(err)
		_, err = c.Send(context.Background(), req)
		is.True(err != nil)
		is.True(!NotRun(err)) // the runner read it
		is.Equal(seen.Load(), int32(2))
	}
}

// Guards against unknown where not-run is certain: no connection, no time left, no free connection in time.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(nil)
	s.Close()
	_, err := New(Options{Addr: addr(s)}).Send(context.Background(), Request{ID: "r"})
	is.True(NotRun(err))
	_, err = New(Options{Addr: addr(s)}).Send(context.Background(), Request{ID: "r", Deadline: time.Unix(1, 0)})
	is.True(NotRun(err))

	entered, release := make(chan struct{}), make(chan struct{})
	var runs atomic.Int32
	s = serve(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(entered)
		<-release
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Free-Slots", "3")
		w.Header().Set("Leaving", "true")
	})
	c := New(Options{Addr: addr(s), MaxConns: 1})
	done := make(chan error)
	go func() {
		ans, err := c.Send(context.Background(), Request{ID: "first"})
		if err == nil && ans.Status != (Status{FreeSlots: 3, Leaving: true}) {
			err = fmt.Errorf("status %+v", ans.Status)
		}
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Send(ctx, Request{ID: "second", Body: []byte("x")})
	is.True(NotRun(err)) // it waited for the only connection
	close(release)
	is.NoErr(<-done)
	is.Equal(runs.Load(), int32(1))
}

// Guards against not-run said of a request that was written and whose answer is late.
func TestLateAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := serve(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	_, err := New(Options{Addr: addr(s)}).Send(ctx, Request{ID: "r", Body: []byte("x")})
	is.True(err != nil)
	is.True(!NotRun(err))
}
