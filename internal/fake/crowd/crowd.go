package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Way is how clients send their bodies.
type Way string

// Ways of sending a body.
const (
	Whole       Way = "whole"        // declared length, in one write
	Pieces      Way = "pieces"       // declared length, in small writes
	LargeChunks Way = "large-chunks" // chunks of largeChunkBytes
	ByteChunks  Way = "byte-chunks"  // chunks of one byte
)

// Ways lists all ways of sending a body.
var Ways = []Way{Whole, Pieces, LargeChunks, ByteChunks}

// Ways of using connections otherwise.
const (
	Idle       Way = "idle"        // nothing is sent
	LongHeader Way = "long-header" // a header as long as a body, without its end
	HalfClosed Way = "half-closed" // the body ends too early, with the end of the client's side
	Pipelined  Way = "pipelined"   // requests without bodies, as long as a body together, whose responses are not read
)

// OtherWays lists all ways of using connections without withholding the end of a body.
var OtherWays = []Way{Idle, LongHeader, HalfClosed, Pipelined}

const (
	largeChunkBytes = 64 << 10
	pieceBytes      = 4 << 10
	dialTimeout     = 10 * time.Second
	// bodyStart lets a decoder of JSON wait for the end of a string.
	bodyStart = `{"id":"`
)

// Request is what each client sends.
type Request struct {
	Addr, Method, Path, Host, Token string
	Headers                         string // further lines of the header, each with its line end
	BodyBytes                       int
}

// Crowd is a number of clients with a connection each.
type Crowd struct {
	Sent, Failed atomic.Int64 // clients that have sent all but the last byte, and clients that could not

	sending sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
	closed  bool
}

// Start lets clients connect and send the request in the given way. The connections stay open until Close.
func Start(r Request, way Way, clients int) *Crowd {
	c := &Crowd{}
	header, body := r.encode(way)
	for range clients {
		c.sending.Go(func() {
			if c.send(r.Addr, header, body, way) {
				c.Sent.Add(1)
			} else {
				c.Failed.Add(1)
			}
		})
	}
	return c
}

// encode returns the header of the request and its body without the last byte, as they are sent.
func (r Request) encode(way Way) (header, body []byte) {
	switch way {
	case Idle:
		return nil, nil
	case LongHeader:
		return []byte(r.requestLine()), []byte("X: " + strings.Repeat("x", r.BodyBytes))
	case Pipelined:
		one := r.requestLine() + "Content-Length: 0\r\n\r\n"
		return nil, []byte(strings.Repeat(one, r.BodyBytes/len(one)))
	}
	text := []byte(bodyStart + strings.Repeat("x", r.BodyBytes-len(bodyStart)))
	framing := fmt.Sprintf("Content-Length: %d", r.BodyBytes)
	chunkBytes := 0
	switch way {
	case LargeChunks:
		chunkBytes = largeChunkBytes
	case ByteChunks:
		chunkBytes = 1
	}
	if chunkBytes > 0 {
		framing = "Transfer-Encoding: chunked"
		var b bytes.Buffer
		for i := 0; i < len(text); i += chunkBytes {
			chunk := text[i:min(i+chunkBytes, len(text))]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		text = b.Bytes()[:b.Len()-len("\r\n")]
	}
	return []byte(r.requestLine() + framing + "\r\n\r\n"), text[:len(text)-1]
}

// requestLine returns the request line and the headers that do not depend on the body.
func (r Request) requestLine() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s",
		r.Method, r.Path, r.Host, r.Token, r.Headers)
}

// send connects and sends a request, and reports whether all of it was sent.
func (c *Crowd) send(addr string, header, body []byte, way Way) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil || !c.add(conn) {
		return false
	}
	if _, err := conn.Write(header); err != nil {
		return false
	}
	writeBytes := len(body)
	if way == Pieces {
		writeBytes = pieceBytes
	}
	for len(body) > 0 {
		n, err := conn.Write(body[:min(writeBytes, len(body))])
		if err != nil {
			return false
		}
		body = body[n:]
	}
	if way == HalfClosed {
		return conn.(*net.TCPConn).CloseWrite() == nil
	}
	return true
}

// add keeps a connection open until Close. It reports false if the crowd is closed already.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// AwaitSent waits until no client sends any more, because it has sent all but the last byte or its connection was closed. It
// reports whether that was so within the timeout.
func (c *Crowd) AwaitSent(timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.sending.Wait()
}
