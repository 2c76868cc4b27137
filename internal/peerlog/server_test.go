package peerlog

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/protector"
	"chestnutmux.example/chestnutmux/internal/recoverer"
)

// Guards against a call of a peer that ends the process, because serving it panics or because it is malformed.
func TestOddCallsOfPeers(t *testing.T) {
	is := is.New(t)
	s := &Server{Logs: map[string]*FallbackLog{"jobs": {}}, Logger: hclog.NewNullLogger(), Recoverer: &recoverer.Recoverer{}}
	call := func(method, params string) error {
		raw := json.RawMessage(params)
		_, err := s.handle(t.Context(), newStream(nil), &jsonrpc2.Request{Method: method, Params: &raw})
		return err
	}
	is.True(call(methodNewest, `{"log":"jobs","tail":"never"}`) != nil) // the log has no direct connection, which panics
	is.True(s.Recoverer.Counts().Get("peer server") != nil)
	for _, params := range []string{`null`, `[]`, `{"log":7}`, `{"log":"x"}`, `{"log":"jobs","from":1e400}`} {
		is.True(call(methodRead, params) != nil)
	}
}

// Guards against connections and requests without bound on the port for other hosts, and against hosts that can't be served beside a crowd there.
func TestCrowdAtPeerPort(t *testing.T) {
	is := is.New(t)
	p := protector.New(protector.Config{Limits: protector.Limits{MemoryBytes: 8 << 20, SoftMemoryBytes: 6 << 20, Descriptors: 120}, Logger: hclog.NewNullLogger()})
	l, err := p.Peers.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	jobs := &FallbackLog{Direct: &log.DirectStream{Log: log.New(log.Options{}), StreamName: "jobs"}, Logger: hclog.NewNullLogger()}
	server := &Server{Logs: map[string]*FallbackLog{"jobs": jobs}, Logger: hclog.NewNullLogger(), Bodies: &p.Peers.Bodies}
	go func() { _ = server.Serve(t.Context(), l) }()
	var open atomic.Int64
	var crowd []net.Conn
	withheld := append(binary.AppendUvarint([]byte{byte(frameMessage)}, 200_000), bytes.Repeat([]byte(" "), 199_999)...)
	for range 100 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		crowd = append(crowd, c)
		open.Add(1)
		go func() {
			_, _ = c.Write(withheld)
			_, _ = io.Copy(io.Discard, c) // returns when the host closes the connection
			open.Add(-1)
		}()
	}
	for range 100 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, _ = c.Write(withheld[:10_000])
		_ = c.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); open.Load() > 40; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // more connections are open than the limit
	}
	time.Sleep(1500 * time.Millisecond) // connections give way after a second
	is.True(p.Peers.Bodies.Budget.Used() <= 1<<20)
	for range 30 {
		host := &Peers{Addresses: func() []string { return []string{l.Addr().String()} }, Logger: hclog.NewNullLogger()}
		_, err := host.call(t.Context(), methodNewest, newestParams{Log: "jobs", Tail: tailNever})
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
	for _, c := range crowd {
		_ = c.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); p.Peers.Bodies.Budget.Used() > 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // requests of closed connections are still charged
	}
}

// Guards against a connection with a withheld frame that never gives way, because a response was written while the frame was read.
func TestWithheldFrameGivesWayAfterResponse(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var limiter connlimiter.Limiter
	bounded := limiter.Wrap(ln)
	defer func() { _ = bounded.Close() }()
	peer, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	c, err := bounded.Accept()
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	g := newGuard(c, nil)
	g.slots <- struct{}{}
	g.beginCall()
	g.setReading(true)
	is.NoErr(g.conn.SetWaiting(true))
	is.NoErr(g.conn.SetWaiting(false)) // as at the end of a Write that began before the frame
	g.endCall(&bodyreader.Body{})
	is.True(limiter.Table.EvictBody(time.Now().Add(time.Minute)) != nil)
}

// Guards against calls in progress without bound, and against calls that are lost at the bound.
func TestCallsOfPeerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, peer := net.Pipe()
		defer func() { _, _ = c.Close(), peer.Close() }()
		var begun atomic.Int64
		release := make(chan struct{})
		h := newGuard(c, nil).handler(jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			begun.Add(1)
			<-release
			return nil, nil
		}))
		go func() {
			for range 2 * maxCallsPerPeer {
				h.Handle(t.Context(), nil, &jsonrpc2.Request{Notif: true})
			}
		}()
		synctest.Wait()
		is.Equal(begun.Load(), int64(maxCallsPerPeer))
		close(release)
		synctest.Wait()
		is.Equal(begun.Load(), int64(2*maxCallsPerPeer))
	})
}
