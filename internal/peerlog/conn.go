package peerlog

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/watchdog"
)

// peerConn is a connection to a peer. Calls share it, so a call makes progress whenever the connection receives anything: its
// response may be behind a large one.
type peerConn struct {
	*jsonrpc2.Conn
	receiver *receiver
	stream   *stream
}

// receiver is the receiving side of a connection. It reports received data to the calls that wait for a response.
type receiver struct {
	net.Conn

	mu             sync.Mutex
	calls          map[*pendingCall]struct{}
	lastReceivedAt time.Time // zero before the first data
}

// pendingCall is a call that waits for its response.
type pendingCall struct{ ctx context.Context }

// newPeerConn returns a connection for calls over nc.
func newPeerConn(nc net.Conn, logger hclog.Logger) *peerConn {
	r := &receiver{Conn: nc, calls: map[*pendingCall]struct{}{}}
	s := newStream(r)
	c := jsonrpc2.NewConn(context.Background(), s, jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }), withLogger(logger))
	return &peerConn{Conn: c, receiver: r, stream: s}
}

// call calls a method of the peer and takes the attachment of the response.
func (c *peerConn) call(ctx context.Context, method string, params any, resp *response) error {
	call := &pendingCall{ctx: ctx}
	c.receiver.add(call)
	defer c.receiver.remove(call)
	err := c.Call(ctx, method, params, resp)
	if err == nil {
		resp.records, err = c.stream.take(resp.Attachment)
	}
	return err
}

// isClosed reports whether the connection has ended.
func (c *peerConn) isClosed() bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (r *receiver) add(c *pendingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
}

func (r *receiver) remove(c *pendingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// Read implements net.Conn.
func (r *receiver) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReceivedAt = time.Now()
	for c := range r.calls {
		watchdog.Progress(c.ctx)
	}
	return n, err
}

// isReceiving reports whether data has arrived within a time.
func (r *receiver) isReceiving(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastReceivedAt) < within
}
