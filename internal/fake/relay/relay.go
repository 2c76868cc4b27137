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
	chunkBytes  = 16 << 10 // buffer size of one direction of a connection
)

// Relay forwards TCP connections to a target. It applies three faults: down closes open and new connections,
// frozen holds back all data until it is cleared, and slow-ms delays each connection and each chunk of data.
type Relay struct {
	fault.Injector
	target func() string // returns the host:port of the target; called for each connection

	mu    sync.Mutex
	addr  string
	ln    net.Listener          // nil while closed
	conns map[net.Conn]struct{} // for each relayed connection, the one from the client and the one to the target
	done  chan struct{}         // closed when the relay closes or restarts

	acceptedConns, forwardedBytes atomic.Int64
}

// Start starts a relay to the target that listens on addr, whose port may be 0.
func Start(addr string, target func() string) (*Relay, error) {
	r := &Relay{addr: addr, target: target, conns: map[net.Conn]struct{}{}}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Addr returns the host:port that the relay listens on, also while it is closed.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addr
}

// ConnectionStats returns the number of accepted connections, of forwarded bytes and of open connections (client and target).
func (r *Relay) ConnectionStats() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]int64{
		"connections": r.acceptedConns.Load(), "bytes-forwarded": r.forwardedBytes.Load(), "open-ends": int64(len(r.conns)),
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
	go r.acceptConns(ln, r.done)
	go r.closeConnsWhenDown(r.done)
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

// closeConns closes all connections; the caller holds the lock.
func (r *Relay) closeConns() {
	for c := range r.conns {
		_ = c.Close()
	}
}

// closeConnsWhenDown closes the open connections whenever the fault down is set, until the relay closes.
func (r *Relay) closeConnsWhenDown(done <-chan struct{}) {
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

func (r *Relay) acceptConns(ln net.Listener, done <-chan struct{}) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.acceptedConns.Add(1)
		go r.serve(c, done)
	}
}

// serve connects a client to the target and forwards data until either side closes the connection.
func (r *Relay) serve(clientConn net.Conn, done <-chan struct{}) {
	defer r.closeAndUntrack(clientConn)
	if !r.track(clientConn, done) || !r.awaitFaults(done) {
		return
	}
	targetConn, err := net.DialTimeout("tcp", r.target(), dialTimeout)
	if err != nil {
		return
	}
	defer r.closeAndUntrack(targetConn)
	if !r.track(targetConn, done) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(targetConn, clientConn, done) })
	wg.Go(func() { r.forward(clientConn, targetConn, done) })
	wg.Wait()
}

// track registers a connection, so that it is closed with the relay; it reports false if the relay is down or closed.
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

func (r *Relay) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forward copies data from src to dst until either is closed, then closes both.
func (r *Relay) forward(dst, src net.Conn, done <-chan struct{}) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !r.awaitFaults(done) {
				return
			}
			r.forwardedBytes.Add(int64(n)) // counted before the receiver can see the data
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitFaults waits for the injected delay and while the relay is frozen; it reports false if the relay is down or closed.
func (r *Relay) awaitFaults(done <-chan struct{}) bool {
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
