package meter

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"time"
)

// Kinds of peers whose traffic counts as control traffic of an entry host.
const (
	PeerKindWorker   = "worker"
	PeerKindLog      = "log"
	PeerKindHostList = "host-list"
	PeerKindInbound  = "peer" // connections opened by peers
)

// dialTimeout limits a connection attempt. Peers are on the local network.
const dialTimeout = time.Second

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Meter counts the traffic of connections. Its counters have the keys "<kind>/in" and "<kind>/out".
type Meter struct {
	bytes    *expvar.Map
	messages *expvar.Map
}

// New returns a meter that adds its counters to the given maps.
func New(bytes, messages *expvar.Map) *Meter { return &Meter{bytes: bytes, messages: messages} }

// peerCounters holds the counters of one kind of peer, so that reads and writes need no map lookup.
type peerCounters struct {
	inBytes, outBytes, inMessages, outMessages *expvar.Int
}

func (m *Meter) counters(kind string) *peerCounters {
	return &peerCounters{
		inBytes: getOrAdd(m.bytes, kind+"/in"), outBytes: getOrAdd(m.bytes, kind+"/out"),
		inMessages: getOrAdd(m.messages, kind+"/in"), outMessages: getOrAdd(m.messages, kind+"/out"),
	}
}

// getOrAdd returns the counter of a key and creates it if it is missing.
func getOrAdd(m *expvar.Map, key string) *expvar.Int {
	m.Add(key, 0)
	return m.Get(key).(*expvar.Int)
}

// Dialer returns a function that opens connections whose traffic is counted for the given kind of peer.
func (m *Meter) Dialer(kind string) DialFunc {
	d := &net.Dialer{Timeout: dialTimeout}
	c := m.counters(kind)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: nc, counters: c}, nil
	}
}

// Listener wraps a listener so that the traffic of accepted connections is counted for the given kind of peer.
func (m *Meter) Listener(kind string, l net.Listener) net.Listener {
	return &countingListener{Listener: l, counters: m.counters(kind)}
}

type countingListener struct {
	net.Listener
	counters *peerCounters
}

// Accept waits for the next connection and returns it with counting.
func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: nc, counters: l.counters}, nil
}

// Values of countingConn.lastDirection; 0 means that nothing has been transferred.
const (
	directionIn  = 1
	directionOut = 2
)

// countingConn counts the bytes and messages of a connection. A message is a sequence of bytes in one direction that is not
// interrupted by bytes in the other direction.
type countingConn struct {
	net.Conn
	counters      *peerCounters
	lastDirection atomic.Int32
}

// Read reads from the connection and counts what was read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counters.inBytes.Add(int64(n))
		if c.lastDirection.Swap(directionIn) != directionIn {
			c.counters.inMessages.Add(1)
		}
	}
	return n, err
}

// Write writes to the connection and counts what was written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.counters.outBytes.Add(int64(n))
		if c.lastDirection.Swap(directionOut) != directionOut {
			c.counters.outMessages.Add(1)
		}
	}
	return n, err
}
