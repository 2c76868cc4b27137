package peerclient

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrBackingOff says that the last connection to the peer failed and the next try is not due.
var ErrBackingOff = errors.New("peerclient: connection failed recently, waiting before the next try")

// ErrClosed says that the client was closed.
var ErrClosed = errors.New("peerclient: client is closed")

// Client calls peers over one kept connection each.
type Client struct {
	opts Options

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
}

// peer is the connection to one address; the holder of turn connects.
type peer struct {
	turn  chan struct{}
	conn  *jsonrpc2.Conn
	fails int
	retry time.Time
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	return &Client{opts: opts.withDefaults(), peers: map[string]*peer{}}
}

// Heartbeat exchanges heartbeats with the peer at the address.
func (c *Client) Heartbeat(ctx context.Context, addr string, p Heartbeat) (r Heartbeat, err error) {
	return r, c.call(ctx, addr, methodHeartbeat, p, &r)
}

// ConfigSince asks the peer for a newer configuration.
func (c *Client) ConfigSince(ctx context.Context, addr string, p ConfigSinceParams) (r ConfigSinceResult, err error) {
	return r, c.call(ctx, addr, methodConfigSince, p, &r)
}

// Answer asks the peer for the answer to a request that it has claimed.
func (c *Client) Answer(ctx context.Context, addr string, p AnswerParams) (r AnswerResult, err error) {
	return r, c.call(ctx, addr, methodAnswer, p, &r)
}

// JobsSince asks the peer for job records.
func (c *Client) JobsSince(ctx context.Context, addr string, p JobsSinceParams) (r JobsSinceResult, err error) {
	return r, c.call(ctx, addr, methodJobsSince, p, &r)
}

// ExplainJob asks the peer why a job of its failure domain waits.
func (c *Client) ExplainJob(ctx context.Context, addr string, p ExplainParams) (r ExplainResult, err error) {
	return r, c.call(ctx, addr, methodExplain, p, &r)
}

// Keep closes the connections to all addresses that are not listed.
func (c *Client) Keep(addrs []string) {
	keep := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		keep[a] = true
	}
	c.drop(func(a string) bool { return !keep[a] })
}

// Close closes all connections; calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.drop(func(string) bool { return true })
}

func (c *Client) drop(match func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, p := range c.peers {
		if match(a) {
			delete(c.peers, a)
			if p.conn != nil {
				_ = p.conn.Close()
			}
		}
	}
}

func (c *Client) call(ctx context.Context, addr, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return errors.Wrapf(err, "peerclient: %s to %s", method, addr)
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		if method == methodHeartbeat && errors.Is(err, context.DeadlineExceeded) {
			// A heartbeat is answered at once, so the connection is dead. After a partition
			// its retransmissions may pause for minutes, a new connection works at once.
			_ = conn.Close()
		}
		return errors.Wrapf(err, "peerclient: %s to %s", method, addr)
	}
	return nil
}

// connect returns the kept connection to the address, or makes one.
func (c *Client) connect(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	p := c.peers[addr]
	if p == nil {
		p = &peer{turn: make(chan struct{}, 1)}
		c.peers[addr] = p
	}
	c.mu.Unlock()

	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.turn }()

	c.mu.Lock()
	conn, retry := p.conn, p.retry
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	if time.Now().Before(retry) {
		return nil, ErrBackingOff
	}
	conn, err := c.dial(ctx, addr)

	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		p.conn = nil
		p.retry = time.Now().Add(c.backoff(p.fails))
		p.fails++
		return nil, err
	}
	if c.closed || c.peers[addr] != p {
		_ = conn.Close()
		return nil, ErrClosed
	}
	p.conn, p.fails, p.retry = conn, 0, time.Time{}
	return conn, nil
}

func (c *Client) backoff(fails int) time.Duration {
	d := c.opts.BackoffMax
	if fails < 10 {
		d = min(d, c.opts.BackoffMin<<fails)
	}
	return d/2 + rand.N(d/2+1)
}

func (c *Client) dial(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that makes it.
	stream := jsonrpc2.NewBufferedStream(writeBound{nc, c.opts.Timeout}, lineCodec{c.opts.MaxMessage})
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noCalls{})
	if err := conn.Call(ctx, methodHello, hello{Host: c.opts.Host, Secret: c.opts.Secret}, nil); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "hello")
	}
	return conn, nil
}

// writeBound closes the connection when a peer stops reading, since a blocked write ignores the call's context.
type writeBound struct {
	net.Conn
	timeout time.Duration
}

// Write writes with a deadline; a failed write may have sent half a message, so it closes the connection.
func (w writeBound) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	if err != nil {
		_ = w.Close()
	}
	return n, err
}

// noCalls refuses calls from the server's side of a connection.
type noCalls struct{}

// Handle refuses the call.
func (noCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not a server"})
	}
}
