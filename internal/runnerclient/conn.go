package runnerclient

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// conn counts writes, so that a failed request can be told from one of which no byte was written.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int // started, not necessarily finished
	closed bool
}

// Write counts before it writes; a request that fails meanwhile is then unknown.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// abandon forbids further writes and reports whether any was started since the count was n.
func (c *conn) abandon(n int) bool {
	c.mu.Lock()
	c.closed = true
	wrote := c.writes != n
	c.mu.Unlock()
	c.Conn.Close()
	return wrote
}

// tracker follows one request over the connections that it is given.
type tracker struct {
	mu     sync.Mutex
	conns  []*conn
	counts []int
	wrote  atomic.Bool // set by the hooks of net/http, or when a connection is of an unknown type
}

func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, ok := i.Conn.(*conn)
			if !ok {
				t.wrote.Store(true)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, c)
			t.counts = append(t.counts, c.started())
		},
	}
}

// abandon reports whether any byte of the request may have been written; afterwards none can be.
func (t *tracker) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := t.wrote.Load()
	for i, c := range t.conns {
		if c.abandon(t.counts[i]) {
			wrote = true
		}
	}
	return wrote
}
