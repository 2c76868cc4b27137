package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
)

// startEchoServer starts a server that sends back what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends a byte and reports whether it comes back.
func roundTrip(c net.Conn) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// startConnectedRelay starts a relay in front of an echo server, and returns it with a connection that passes data.
func startConnectedRelay(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	is := is.New(t)
	addr := startEchoServer(t)
	r, err := Start("127.0.0.1:0", func() string { return addr })
	is.NoErr(err)
	t.Cleanup(func() { r.Close() })
	c := dial(t, r.Addr())
	is.True(roundTrip(c))
	return r, c
}

// Guards against the fault down leaving connections open, letting new ones through, or lasting after it is cleared.
func TestDownClosesConnectionsUntilCleared(t *testing.T) {
	is := is.New(t)
	r, c := startConnectedRelay(t)
	r.SetFaults(fault.Faults{Down: true})
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil) // the open connection is closed
	is.True(!roundTrip(dial(t, r.Addr())))
	r.SetFaults(fault.Faults{SlowMS: 1})
	is.True(roundTrip(dial(t, r.Addr())))
	is.Equal(r.ConnectionStats()["connections"], int64(3))
}

// Guards against the fault frozen letting data through, or losing it instead of forwarding it once the fault is cleared.
func TestFrozenHoldsBackData(t *testing.T) {
	is := is.New(t)
	r, c := startConnectedRelay(t)
	before := r.ConnectionStats()["bytes-forwarded"]
	r.SetFaults(fault.Faults{Frozen: true})
	_, err := c.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
	is.Equal(r.ConnectionStats()["bytes-forwarded"], before)
	is.NoErr(c.SetReadDeadline(time.Time{}))
	r.SetFaults(fault.Faults{})
	_, err = io.ReadFull(c, make([]byte, 1))
	is.NoErr(err)
}

// Guards against an address that changes when the relay restarts.
func TestRestartKeepsAddress(t *testing.T) {
	is := is.New(t)
	r, c := startConnectedRelay(t)
	old := r.Addr()
	is.NoErr(r.Restart())
	is.Equal(r.Addr(), old)
	is.True(!roundTrip(c))
	is.True(roundTrip(dial(t, old)))
	is.NoErr(r.Close())
	is.NoErr(r.Close())
}
