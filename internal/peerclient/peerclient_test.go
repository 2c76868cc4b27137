package peerclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// echo answers with what it was asked; a call for the request "hang" waits for its context.
type echo struct{ body []byte }

func (echo) Heartbeat(_ context.Context, b Heartbeat) (Heartbeat, error) {
	b.Load++
	return b, nil
}

func (echo) ConfigSince(_ context.Context, p ConfigSinceParams) (ConfigSinceResult, error) {
	return ConfigSinceResult{Version: p.Version + 1, Data: []byte(`{"a":"b\n"}`)}, nil
}

func (e echo) Answer(ctx context.Context, p AnswerParams) (AnswerResult, error) {
	if p.Request == "hang" {
		<-ctx.Done()
		return AnswerResult{}, ctx.Err()
	}
	return AnswerResult{Outcome: model.OutcomeAnswered, Body: e.body}, nil
}

func (echo) JobsSince(context.Context, JobsSinceParams) (JobsSinceResult, error) {
	return JobsSinceResult{}, errors.New("no jobs here")
}

func (echo) ExplainJob(_ context.Context, p ExplainParams) (ExplainResult, error) {
	return ExplainResult{Planned: true, Position: 2, Reason: "about " + string(p.Job)}, nil
}

// serve runs a server on the address and returns its address and a function that ends it.
func serve(t *testing.T, addr string, h Handler, opts Options) (string, func()) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- NewServer(h, opts).Serve(ctx, l) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// Guards against lost parameters, mixed-up results of concurrent calls and lost errors.
func TestCalls(t *testing.T) {
	is := is.New(t)
	addr, _ := serve(t, "127.0.0.1:0", echo{}, Options{Secret: "s"})
	c := NewClient(Options{Secret: "s"})
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			r, err := c.Heartbeat(t.Context(), addr, Heartbeat{Host: "h", Load: i})
			is.NoErr(err)
			is.Equal(r.Load, i+1)
		})
	}
	wg.Wait()
	r, err := c.ConfigSince(t.Context(), addr, ConfigSinceParams{Version: 3})
	is.NoErr(err)
	is.Equal(fmt.Sprintf("%d %s", r.Version, r.Data), `4 {"a":"b\n"}`)
	_, err = c.JobsSince(t.Context(), addr, JobsSinceParams{})
	is.True(err != nil && strings.Contains(err.Error(), "no jobs here"))
	x, err := c.ExplainJob(t.Context(), addr, ExplainParams{Job: "j"})
	is.NoErr(err)
	is.Equal(x, ExplainResult{Planned: true, Position: 2, Reason: "about j"})
}

// Guards against calls from hosts without the shared secret.
func TestSecret(t *testing.T) {
	is := is.New(t)
	addr, _ := serve(t, "127.0.0.1:0", echo{}, Options{Secret: "right"})
	c := NewClient(Options{Secret: "wrong"})
	defer c.Close()
	_, err := c.Heartbeat(t.Context(), addr, Heartbeat{})
	is.True(err != nil)
	nc, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	fmt.Fprintln(nc, `{"jsonrpc":"2.0","id":1,"method":"heartbeat","params":{}}`)
	line, _ := bufio.NewReader(nc).ReadString('\n')
	is.True(!strings.Contains(line, "result")) // a call before the hello is refused
}

// Guards against messages beyond the bound, in both directions, and against a connection that they break.
func TestMessageBound(t *testing.T) {
	is := is.New(t)
	addr, _ := serve(t, "127.0.0.1:0", echo{body: make([]byte, 2000)}, Options{MaxMessage: 1000})
	c := NewClient(Options{MaxMessage: 1000})
	defer c.Close()
	_, err := c.Answer(t.Context(), addr, AnswerParams{Request: "r"})
	is.True(err != nil && strings.Contains(err.Error(), "larger than the bound"))
	_, err = c.Answer(t.Context(), addr, AnswerParams{Request: model.RequestID(strings.Repeat("r", 2000))})
	is.True(errors.Is(err, ErrTooLarge))
	_, err = c.Heartbeat(t.Context(), addr, Heartbeat{})
	is.NoErr(err)
	nc, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	_, _ = nc.Write(make([]byte, 10_000)) // no line ends
	_, err = nc.Read(make([]byte, 1))
	is.True(err != nil) // the server closes the connection
}

// Guards against connections that send no hello, or end in the middle of it, and stay open.
func TestSilentConnection(t *testing.T) {
	addr, _ := serve(t, "127.0.0.1:0", echo{}, Options{Timeout: 50 * time.Millisecond})
	for _, half := range []bool{false, true} {
		is := is.New(t)
		nc, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer nc.Close()
		_, err = fmt.Fprint(nc, `{"jsonrpc":"2.0","id":1,"meth`)
		is.NoErr(err)
		if half {
			is.NoErr(nc.(*net.TCPConn).CloseWrite())
		}
		is.NoErr(nc.SetReadDeadline(time.Now().Add(20 * time.Second)))
		_, err = nc.Read(make([]byte, 1))
		is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // closed by the server
	}
}

// Guards against calls without an end, and against a hanging call that blocks others.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	addr, stop := serve(t, "127.0.0.1:0", echo{}, Options{})
	c := NewClient(Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	hung := make(chan error)
	go func() {
		_, err := c.Answer(ctx, addr, AnswerParams{Request: "hang"})
		hung <- err
	}()
	_, err := c.Heartbeat(t.Context(), addr, Heartbeat{})
	is.NoErr(err)
	cancel()
	is.True(errors.Is(<-hung, context.Canceled))
	stop() // ends although the handler still waits
}

// Guards against a client that stays disconnected after its peer restarts.
func TestReconnect(t *testing.T) {
	is := is.New(t)
	addr, stop := serve(t, "127.0.0.1:0", echo{}, Options{})
	c := NewClient(Options{BackoffMin: time.Millisecond, BackoffMax: time.Millisecond})
	defer c.Close()
	_, err := c.Heartbeat(t.Context(), addr, Heartbeat{})
	is.NoErr(err)
	stop()
	for err == nil {
		_, err = c.Heartbeat(t.Context(), addr, Heartbeat{})
	}
	serve(t, addr, echo{}, Options{})
	for err != nil {
		_, err = c.Heartbeat(t.Context(), addr, Heartbeat{})
	}
}

// Guards against a dead connection that is kept: after a partition it may not recover for minutes.
func TestDeadConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	accepted := make(chan struct{}, 100)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			accepted <- struct{}{}
			fmt.Fprintln(nc, `{"jsonrpc":"2.0","id":0,"result":{}}`) // answers the hello and nothing else
		}
	}()
	c := NewClient(Options{Timeout: 50 * time.Millisecond})
	defer c.Close()
	for range 2 {
		_, err := c.Heartbeat(t.Context(), l.Addr().String(), Heartbeat{})
		is.True(err != nil)
		<-accepted
	}
}

// Guards against a panic or an unbounded buffer on arbitrary messages of a peer.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"explain","params":{"job":"j"}}` + "\n"))
	f.Add([]byte(`{"jsonrpc":"2.0","id":0,"result":{}}` + "\n{"))
	f.Add([]byte("\n\x00"))
	f.Add([]byte(strings.Repeat("[", 300)))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		for range 10 {
			var req jsonrpc2.Request
			if (lineCodec{max: 256}).ReadObject(r, &req) != nil {
				return
			}
		}
	})
}
