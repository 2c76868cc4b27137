package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
)

const (
	dialTimeout = 2 * time.Second
	chunk       = 16 << 10
)

// Relay forwards connections to a target. Of its faults, down closes and refuses connections,
// frozen holds all data until it is cleared, and slow-ms delays each chunk of data.
type Relay struct {
	fault.Injector
	target func() string // host:port, read for each connection

	mu    sync.Mutex
	addr  string
	ln    net.Listener          // nil while closed
	conns map[net.Conn]struct{} // both ends of each connection
	done  chan struct{}         // closed by Close

	accepted, forwarded atomic.Int64
}

// Start listens on addr, whose port may be 0.
func Start(addr string, target func() string) (*Relay, error) {
	r := &Relay{addr: addr, target: target, conns: map[net.Conn]struct{}{}}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr returns the host:port that the relay listens on.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// ConnectionStats returns the counters of connections and bytes.
func (r *Relay) ConnectionStats() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{
		"connections": r.accepted.Load(), "bytes-forwarded": r.forwarded.Load(), "open-ends": int64(len(r.conns)),
	}
}

// Close closes the listener and all connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.close()
}

// Restart closes all connections and listens again on the same address.
func (r *Relay) Restart() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.close(); err != nil {
		return err
	}
	return r.listen()
}

func (r *Relay) listen() error {
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		return errors.Wrapf(err, "relay: listen on %s", r.addr)
	}
	r.addr = ln.Addr().String()
	r.ln, r.done = ln, make(chan struct{})
	go r.accept(ln, r.done)
	go r.enforce(r.done)
	return nil
}

func (r *Relay) close() error {
	if r.ln == nil {
		return nil
	}
	err := r.ln.Close()
	r.ln = nil
	close(r.done)
	r.closeConns()
	return errors.Wrap(err, "relay: close")
}

func (r *Relay) closeConns() {
	for c := range r.conns {
		_ = c.Close()
	}
}

// enforce closes the open connections when the relay is cut.
func (r *Relay) enforce(done <-chan struct{}) {
	for {
		f, changed := r.WatchFaults()
		if f.Down {
			r.mu.Lock()
			r.closeConns()
			r.mu.Unlock()
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

func (r *Relay) accept(ln net.Listener, done <-chan struct{}) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.accepted.Add(1)
		go r.serve(c, done)
	}
}

func (r *Relay) serve(c net.Conn, done <-chan struct{}) {
	defer r.forget(c)
	if !r.track(c, done) || !r.gate(done) {
		return
	}
	up, err := net.DialTimeout("tcp", r.target(), dialTimeout)
	if err != nil {
		return
	}
	defer r.forget(up)
	if !r.track(up, done) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(up, c, done) })
	wg.Go(func() { r.forward(c, up, done) })
	wg.Wait()
}

// track registers one end for closing; it reports false when the relay is cut or closed.
func (r *Relay) track(c net.Conn, done <-chan struct{}) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-done:
		return false
	default:
	}
	r.conns[c] = struct{}{}
	return !r.Faults().Down
}

func (r *Relay) forget(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forward copies until either end is closed, then closes both.
func (r *Relay) forward(dst, src net.Conn, done <-chan struct{}) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, chunk)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.gate(done) {
				return
			}
			r.forwarded.Add(int64(n)) // before the receiver can see the data
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// gate waits for the delay and while the relay is frozen; it reports false when the relay is cut or closed.
func (r *Relay) gate(done <-chan struct{}) bool {
	if f := r.Faults(); f.SlowMS > 0 {
		select {
		case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
		case <-done:
			return false
		}
	}
	for {
		f, changed := r.WatchFaults()
		if f.Down {
			return false
		}
		if !f.Frozen {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}
