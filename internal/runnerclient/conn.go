package runnerclient

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countingConn is a connection that counts its writes, so that failed requests of which no byte was written can be recognized.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	writesStarted int // number of writes, including one in progress
	closed        bool
}

// Write counts the write before it starts, so that a request that fails during the write counts as written.
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

// abort closes the connection, so that no more writes start, and reports whether any was started since the write count was n.
func (c *countingConn) abort(n int) bool {
	c.mu.Lock()
	c.closed = true
	wrote := c.writesStarted != n
	c.mu.Unlock()
	c.Conn.Close()
	return wrote
}

// writeTracker records the connections on which one request may be written, to find out whether it was.
type writeTracker struct {
	mu    sync.Mutex
	conns []*countingConn
	// writesBefore holds the write count of each connection in conns at the time when the request got it.
	writesBefore   []int
	mayHaveWritten atomic.Bool // set if the request got a connection of another type, whose writes can't be counted
}

// clientTrace returns the trace that adds to the tracker each connection that the request gets.
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

// abortConns closes the recorded connections and reports whether any byte of the request may have been written.
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
