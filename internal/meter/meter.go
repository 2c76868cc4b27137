package meter

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"time"
)

// Kinds of peers by which the traffic of an entry host is counted. All of it is control traffic.
const (
	PeerKindWorker   = "worker"
	PeerKindLog      = "log"
	PeerKindHostList = "host-list"
	PeerKindHost     = "host" // another entry host
	PeerKindCaller   = "caller"
	PeerKindInbound  = "peer" // any peer that opened the connection; used only by tests
)

// dialTimeout limits an attempt to connect. Peers are on the local network.
const dialTimeout = time.Second

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Meter counts the traffic of connections. The keys of its counters are "<kind>/in" for received and "<kind>/out" for sent
// traffic.
type Meter struct {
	bytes    *expvar.Map
	messages *expvar.Map
}

// New returns a meter that keeps its counters in the given maps.
func New(bytes, messages *expvar.Map) *Meter { return &Meter{bytes: bytes, messages: messages} }

// peerCounters holds the counters of one kind of peer, so that reads from and writes to connections need no map lookup.
type peerCounters struct {
	inBytes, outBytes, inMessages, outMessages *expvar.Int
}

// counters returns the counters of a kind of peer and creates those that are missing.
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

// Dialer returns a function that opens connections and counts their traffic for the given kind of peer.
func (m *Meter) Dialer(kind string) DialFunc {
	d := &net.Dialer{Timeout: dialTimeout}
	return m.Wrap(kind, d.DialContext)
}

// Wrap returns a function that opens connections with dial and counts their traffic for the given kind of peer. A nil meter counts
// nothing.
func (m *Meter) Wrap(kind string, dial DialFunc) DialFunc {
	if m == nil {
		return dial
	}
	c := m.counters(kind)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: nc, counters: c}, nil
	}
}

// Listener returns a listener that accepts connections from l and counts their traffic for the given kind of peer.
func (m *Meter) Listener(kind string, l net.Listener) net.Listener {
	return &countingListener{Listener: l, counters: m.counters(kind)}
}

type countingListener struct {
	net.Listener
	counters *peerCounters
}

// Accept waits for the next connection and returns it wrapped in a countingConn.
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

// countingConn counts the bytes and messages of a connection. A message is a sequence of bytes in one direction without bytes
// in the other direction between them.
type countingConn struct {
	net.Conn
	counters      *peerCounters
	lastDirection atomic.Int32 // direction of the last transfer
}

// NetConn returns the connection that c wraps.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and counts the bytes read.
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

// Write writes to the connection and counts the bytes written.
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
