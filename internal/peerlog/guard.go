package peerlog

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
)

// maxCallsPerPeer is the number of calls of one connection in progress. A host has a read of each of a few
// logs and a few appends in progress, and some that it has given up.
const maxCallsPerPeer = 64

// minCallBytes is what a call in progress takes at least beside its response: the stack of its goroutine and the state of the RPC library. The
// budget counts it twice.
const minCallBytes = 4 << 10

// guard bounds what the peer of one connection may use: its calls in progress, and the memory for their requests.
type guard struct {
	conn   *connlimiter.Conn // nil if the listener is not bounded
	bodies *bodyreader.Reader
	slots  chan struct{} // has an element for each call in progress

	mu      sync.Mutex
	calls   int             // calls in progress
	reading bool            // a frame is read
	unread  bodyreader.Body // the last message, until its call begins
}

func newGuard(c net.Conn, bodies *bodyreader.Reader) *guard {
	if bodies == nil {
		bodies = &bodyreader.Reader{}
	}
	return &guard{conn: connlimiter.Of(c), bodies: bodies, slots: make(chan struct{}, maxCallsPerPeer)}
}

// read reads the content of a frame of n bytes. The memory is charged until the call that it holds has ended, or until discard.
func (g *guard) read(r io.Reader, n int64) ([]byte, error) {
	g.setReading(true)
	defer g.setReading(false)
	body, err := g.bodies.Read(io.LimitReader(r, n), n, maxFrameBytes, g.conn)
	if err == nil && !body.Grow(max(n, minCallBytes)) {
		body.Release()
		g.bodies.Refused.Add(1)
		err = bodyreader.ErrNoBudget
	}
	g.unread = body
	switch {
	case err != nil:
	case int64(len(body.Data)) < n:
		err = io.ErrUnexpectedEOF
	case n > bodyreader.FirstStepBytes:
		err = g.conn.SetReadDeadline(time.Time{}) // ends the limit for the frame
	}
	return body.Data, err
}

func (g *guard) setReading(reading bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = reading
}

// awaitFrame records that the connection waits for its peer, so that it can give way to another one, unless calls are in progress. A
// response that was written while a frame was read has left the connection as one that is served.
func (g *guard) awaitFrame() {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.calls > 0:
	case g.reading:
		_ = g.conn.SetWaiting(true) // if the connection has given way, the read fails
	default:
		g.conn.SetIdle()
	}
}

// beginCall records that the connection doesn't wait for its peer. If it has given way meanwhile, the call is carried out all the same.
func (g *guard) beginCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	_ = g.conn.SetWaiting(false)
}

// endCall ends a call and the charge for its request.
func (g *guard) endCall(body *bodyreader.Body) {
	body.Release()
	<-g.slots
	g.mu.Lock()
	g.calls--
	g.mu.Unlock()
	g.awaitFrame()
}

// discard ends the charge for a message without a call.
func (g *guard) discard() { g.unread.Release() }

// handler returns a handler that serves calls concurrently. No further message is read while there are maxCallsPerPeer.
func (g *guard) handler(h jsonrpc2.Handler) jsonrpc2.Handler { return &guardedHandler{g, h} }

type guardedHandler struct {
	guard *guard
	inner jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler. The library calls it for one message after another.
func (h *guardedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	g := h.guard
	body := g.unread
	g.unread = bodyreader.Body{}
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		body.Release()
		return
	}
	g.beginCall()
	go func() {
		defer g.endCall(&body)
		h.inner.Handle(ctx, conn, req)
	}()
}
