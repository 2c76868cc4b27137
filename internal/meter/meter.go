package meter

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"time"
)

// The kinds of peers of an entry host whose traffic counts as control.
const (
	PeerKindWorker   = "worker"
	PeerKindLog      = "log"
	PeerKindHostList = "host-list"
	PeerKindInbound  = "peer" // connections that peers opened to this host
)

// dialTimeout bounds a connection attempt on a local network.
const dialTimeout = time.Second

// Dial opens a connection; it has the type of http.Transport.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Meter counts into the maps of a recorder; keys are "<kind>/in" and "<kind>/out".
type Meter struct {
	bytes    *expvar.Map
	messages *expvar.Map
}

// New returns a meter that counts into the given maps.
func New(bytes, messages *expvar.Map) *Meter { return &Meter{bytes: bytes, messages: messages} }

// counter holds the counters of one kind, so that a read or write needs no look-up by name.
type counter struct {
	inBytes, outBytes, inMessages, outMessages *expvar.Int
}

func (m *Meter) counter(kind string) *counter {
	return &counter{
		inBytes: entry(m.bytes, kind+"/in"), outBytes: entry(m.bytes, kind+"/out"),
		inMessages: entry(m.messages, kind+"/in"), outMessages: entry(m.messages, kind+"/out"),
	}
}

// entry returns the counter of the key and adds it when it is missing.
func entry(m *expvar.Map, key string) *expvar.Int {
	m.Add(key, 0)
	return m.Get(key).(*expvar.Int)
}

// Dialer returns a function that opens counted connections to peers of the kind.
func (m *Meter) Dialer(kind string) Dial {
	d := &net.Dialer{Timeout: dialTimeout}
	c := m.counter(kind)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, counter: c}, nil
	}
}

// Listener returns a listener whose accepted connections are counted for the kind.
func (m *Meter) Listener(kind string, l net.Listener) net.Listener {
	return &listener{Listener: l, counter: m.counter(kind)}
}

type listener struct {
	net.Listener
	counter *counter
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, counter: l.counter}, nil
}

// The directions of the latest transfer on a connection.
const (
	directionIn  = 1
	directionOut = 2
)

// conn counts what passes; a message is an uninterrupted run of bytes in one direction.
type conn struct {
	net.Conn
	counter *counter
	last    atomic.Int32
}

// Read reads and counts.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counter.inBytes.Add(int64(n))
		if c.last.Swap(directionIn) != directionIn {
			c.counter.inMessages.Add(1)
		}
	}
	return n, err
}

// Write writes and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.counter.outBytes.Add(int64(n))
		if c.last.Swap(directionOut) != directionOut {
			c.counter.outMessages.Add(1)
		}
	}
	return n, err
}
