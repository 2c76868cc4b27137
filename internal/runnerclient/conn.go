package runnerclient

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn is a connection that counts writes, to distinguish failed requests of which no byte was written.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writesStarted int // includes writes in progress
	closed        bool
}

// Write increments the counter before it writes, so that a request that fails during the write counts as written.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writesStarted++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countingConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesStarted
}

// abort closes the connection and reports whether any write was started since the write count was n.
func (c *countingConn) abort(n int) bool {
	c.mu.Lock()
	c.closed = true
	wrote := c.writesStarted != n
	c.mu.Unlock()
	c.Conn.Close()
	return wrote
}

// writeTracker tracks the connections on which one request may be written.
type writeTracker struct {
	mu    sync.Mutex
	conns []*countingConn
	// writesBefore holds, for each of conns, its write count when the request got the connection.
	writesBefore   []int
	mayHaveWritten atomic.Bool // set if a connection has an unknown type, so its writes can't be counted
}

func (t *writeTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, ok := i.Conn.(*countingConn)
			if !ok {
				t.mayHaveWritten.Store(true)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns = append(t.conns, c)
			t.writesBefore = append(t.writesBefore, c.writeCount())
		},
	}
}

// abortConns closes the connections and reports whether any byte of the request may have been written.
func (t *writeTracker) abortConns() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wrote := t.mayHaveWritten.Load()
	for i, c := range t.conns {
		if c.abort(t.writesBefore[i]) {
			wrote = true
		}
	}
	return wrote
}
