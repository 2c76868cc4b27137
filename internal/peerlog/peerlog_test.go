package peerlog

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// host is an entry host with its own way to a shared log.
type host struct {
	fault atomic.Value // log.DirectFault
	fall  *FallbackLog
	addr  string
}

func newHost(t *testing.T, l *log.Log, peers func() []string) *host {
	h := &host{}
	h.fault.Store(log.DirectOK)
	direct := &log.Direct{Log: l, Name: "jobs", Fault: func() log.DirectFault { return h.fault.Load().(log.DirectFault) }}
	h.fall = &FallbackLog{Direct: direct, Peers: &Peers{Addresses: peers, Logger: hclog.NewNullLogger()}, Name: "jobs", Logger: hclog.NewNullLogger()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
	})
	go func() {
		_ = (&Server{Logs: map[string]*FallbackLog{"jobs": h.fall}, Logger: hclog.NewNullLogger()}).Serve(ctx, ln)
	}()
	h.addr = ln.Addr().String()
	return h
}

func put(key string) []journaler.Record {
	return []journaler.Record{{Key: key, Value: []byte("v")}}
}

// Guards against a host that is useless while its own way to the log is cut, and errors of the log that change on the
// way through a peer.
func TestCutHostUsesAPeer(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	other := newHost(t, l, func() []string { return nil })
	cut := newHost(t, l, func() []string { return []string{"127.0.0.1:1", other.addr} })
	for _, f := range []log.DirectFault{log.DirectDown, log.DirectSilent} {
		cut.fault.Store(f)
		_, err := cut.fall.Append(t.Context(), put("a"), journaler.AppendCondition{})
		is.NoErr(err)
		is.True(cut.fall.DirectDown())
		b, err := cut.fall.Read(t.Context(), 0, 0)
		is.NoErr(err)
		is.True(len(b.Records) > 0)
		p, err := cut.fall.ReadNewest(t.Context(), "")
		is.NoErr(err)
		is.Equal(p.Records[0].Key, "a")
		at := model.Offset(99)
		var moved *journaler.OffsetMismatchError
		_, err = cut.fall.Append(t.Context(), put("b"), journaler.AppendCondition{ExpectedEnd: &at})
		is.True(errors.As(err, &moved) && moved.EndOffset == b.EndOffset)
		w := &journaler.Writer{Name: "leader", Epoch: 3, Seq: 1}
		_, err = cut.fall.Append(t.Context(), put("c"), journaler.AppendCondition{Writer: w})
		is.NoErr(err)
		_, err = cut.fall.Append(t.Context(), put("c"), journaler.AppendCondition{Writer: &journaler.Writer{Name: "leader", Epoch: 1, Seq: 1}})
		is.True(errors.Is(err, journaler.ErrFenced))
		cut.fault.Store(log.DirectOK)
		for end := time.Now().Add(10 * time.Second); cut.fall.DirectDown() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		is.True(!cut.fall.DirectDown()) // it finds its own way again
		l = log.New(log.Options{})
		other = newHost(t, l, func() []string { return nil })
		cut = newHost(t, l, func() []string { return []string{other.addr} })
	}
}

// Guards against an append that is told as not done while one try may have been carried out, and peers that pass calls
// on in circles.
func TestNobodyReachesTheLog(t *testing.T) {
	is := is.New(t)
	l := log.New(log.Options{})
	var a, b *host
	a = newHost(t, l, func() []string { return []string{b.addr} })
	b = newHost(t, l, func() []string { return []string{a.addr} })
	a.fault.Store(log.DirectDown)
	b.fault.Store(log.DirectDown)
	_, err := a.fall.Append(t.Context(), put("x"), journaler.AppendCondition{})
	is.True(errors.Is(err, journaler.ErrRejected))
	is.Equal(len(l.Records("jobs")), 0)
	c := newHost(t, l, func() []string { return []string{b.addr} })
	c.fault.Store(log.DirectLost)
	_, err = c.fall.Append(t.Context(), put("y"), journaler.AppendCondition{})
	is.True(errors.Is(err, journaler.ErrOutcomeUnknown))
	is.Equal(len(l.Records("jobs")), 1)
}

// lines is a log output that hands on each line.
type lines chan string

func (l lines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// Guards against lines of the RPC library that are not in the log of the host, and not JSON.
func TestBrokenConnectionIsLogged(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	out := make(lines, 8)
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, JSONFormat: true, Output: out})
	go func() { _ = (&Server{Logger: logger}).Serve(t.Context(), ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	_, err = c.Write([]byte("\x05hello"))
	is.NoErr(err)
	line := <-out
	is.True(json.Valid([]byte(line)))
	is.True(strings.Contains(line, "protocol error"))
	is.NoErr(c.Close())
}
