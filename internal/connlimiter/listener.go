package connlimiter

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// discardTime limits how long the server reads the rest of a request that has its response, to keep the connection for the next
// request.
const discardTime = time.Second

// maxBacklog is the number of connections that wait to be accepted. It holds an ordinary burst while the process gets no processor
// time for a tenth of a second.
const maxBacklog = 1024

// lingerTime is how long a refused connection stays open after its response, so that the client can read it before the
// connection is reset.
const lingerTime = 300 * time.Millisecond

// Limiter bounds the connections of one listener. Its counters may be read at any time.
type Limiter struct {
	Table

	Refused expvar.Int // connections closed when they were accepted
	Evicted expvar.Int // connections closed in favor of a new one

	mu    sync.Mutex
	conns map[*Entry]*Conn
}

// Buffers bounds the bytes that the kernel keeps for a connection, received and not read or sent and not acknowledged. 0 leaves
// that to the kernel.
type Buffers struct {
	Receive, Send int
}

// Listen listens on an address. The buffers are set once, on the listening socket; its connections inherit them.
func Listen(network, addr string, b Buffers) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			for option, size := range map[int]int{syscall.SO_RCVBUF: b.Receive, syscall.SO_SNDBUF: b.Send} {
				if size > 0 {
					optErr = errors.CombineErrors(optErr, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size))
				}
			}
		})
		return errors.CombineErrors(err, optErr)
	}}
	l, err := c.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, errors.Wrap(err, "connlimiter: listen")
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		err = setBacklog(tcp)
	}
	return l, errors.Wrap(err, "connlimiter: backlog")
}

// setBacklog bounds the connections that wait to be accepted, whose buffers clients can fill as well.
func setBacklog(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), maxBacklog) })
	return errors.CombineErrors(err, listenErr)
}

// Wrap returns a listener whose connections are bounded.
func (l *Limiter) Wrap(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that the bounds allow.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.limiter.admit(c); conn != nil {
			return conn, nil
		}
		_ = c.Close() // refused: no request has been read
	}
}

// admit adds a connection, closes the one that gives way, and returns nil if the connection is refused.
func (l *Limiter) admit(c net.Conn) net.Conn {
	var addr netip.Addr // connections without an IP address share a bound
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		addr = tcp.AddrPort().Addr().Unmap()
	}
	entry, evicted := l.Add(addr, time.Now())
	if entry == nil {
		l.Refused.Add(1)
		return nil
	}
	conn := &Conn{Conn: c, limiter: l, entry: entry}
	l.mu.Lock()
	if l.conns == nil {
		l.conns = map[*Entry]*Conn{}
	}
	l.conns[entry] = conn
	l.mu.Unlock()
	l.closeEvicted(evicted)
	return conn
}

// EvictBody closes a connection that has waited long for the rest of a body, if there is one.
func (l *Limiter) EvictBody() { l.closeEvicted(l.Table.EvictBody(time.Now())) }

// closeEvicted closes a connection that was removed from the table; e may be nil.
func (l *Limiter) closeEvicted(e *Entry) {
	l.mu.Lock()
	c := l.conns[e]
	l.mu.Unlock()
	if c != nil {
		l.Evicted.Add(1)
		c.lingers.Store(false)
		_ = c.Close()
	}
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	limiter *Limiter
	entry   *Entry
	lingers atomic.Bool
	closed  atomic.Bool
}

// SetWaiting records whether the connection waits for the rest of a body. It returns net.ErrClosed if the connection has given way.
// It does nothing if c is nil.
func (c *Conn) SetWaiting(waiting bool) error {
	isOpen := true
	switch {
	case c == nil:
	case waiting:
		isOpen = c.entry.SetWaiting(time.Now(), true)
	default:
		isOpen = c.entry.SetServed()
	}
	if !isOpen {
		return net.ErrClosed
	}
	return nil
}

// SetReadDeadline sets the time until which the client can send. It does nothing if c is nil.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c == nil {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetIdle records that the connection waits for its next request. It does nothing if c is nil.
func (c *Conn) SetIdle() {
	if c != nil {
		c.entry.SetWaiting(time.Now(), false)
	}
}

// Discard gives the client a short time for the rest of a request whose body was not read. Meanwhile the connection waits for its
// client. Discard does nothing if c is nil or refused.
func (c *Conn) Discard() {
	if c == nil || c.lingers.Load() {
		return
	}
	c.entry.SetWaiting(time.Now(), false)
	_ = c.SetReadDeadline(time.Now().Add(discardTime)) // fails only if the connection is closed
}

// Refuse lets the server read nothing more from the connection, so that it sends the response and closes the connection without
// waiting for the rest of the request. The connection is reset a moment later, so that the client can read the response. Refuse
// does nothing if c is nil.
func (c *Conn) Refuse() {
	if c == nil {
		return
	}
	c.lingers.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// Write writes a part of a response. Meanwhile the connection waits for its client, which may not read. The interim response that
// net/http writes to a request with "Expect: 100-continue" leaves the connection waiting for the body.
func (c *Conn) Write(p []byte) (int, error) {
	if c.entry.holdsBody.Load() {
		return c.Conn.Write(p)
	}
	c.entry.SetWaiting(time.Now(), false)
	n, err := c.Conn.Write(p)
	c.entry.SetServed()
	return n, err
}

// CloseWrite closes the write side of the connection.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection, after lingerTime if it was refused.
func (c *Conn) Close() error {
	if c.lingers.CompareAndSwap(true, false) && !c.closed.Load() {
		c.entry.SetWaiting(time.Now(), false)
		time.AfterFunc(lingerTime, func() { _ = c.Close() })
		return c.CloseWrite()
	}
	if c.closed.CompareAndSwap(false, true) {
		c.limiter.Remove(c.entry)
		c.limiter.mu.Lock()
		delete(c.limiter.conns, c.entry)
		c.limiter.mu.Unlock()
	}
	return c.Conn.Close()
}

// Of returns the bounded connection that c is or wraps, or nil.
func Of(c net.Conn) *Conn {
	for {
		switch v := c.(type) {
		case *Conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

type contextKey struct{}

// OfRequest returns the connection of a request, or nil if its server was not given to Attach.
func OfRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// Attach lets a server record which connections wait for their clients, and makes OfRequest work.
func Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, Of(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn := Of(c)
		if conn == nil {
			return
		}
		switch state {
		case http.StateActive:
			conn.entry.SetServed()
		case http.StateIdle:
			conn.entry.SetWaiting(time.Now(), false)
		}
	}
}
