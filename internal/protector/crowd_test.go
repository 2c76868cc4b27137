package protector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/connlimiter"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// crowdKinds are the requests that hostile clients begin and never end.
var crowdKinds = map[string]string{
	"small bodies":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 4999),
	"large bodies":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" + strings.Repeat("x", 262143),
	"chunked bodies":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 3000),
	"no body":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n",
	"headers":          "POST / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 10000),
	"connections":      "",
	"unread responses": strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100),
}

// Guards against ordinary requests that are refused beside a crowd, and against a crowd that exceeds the bounds: each second 100 hostile clients come and 20 ordinary ones, for 200 connections and 4 MiB of bodies.
func TestOrdinaryRequestsBesideCrowd(t *testing.T) {
	const (
		maxConnections = 200
		bodyMemory     = 4 << 20
		hostileRate    = 100
		ordinaryRate   = 20
		length         = 15 * time.Second
	)
	for kind, request := range crowdKinds {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := New(Config{
					Limits:   Limits{MemoryBytes: 1 << 30, SoftMemoryBytes: 1 << 30, Descriptors: 1 << 20},
					Settings: Settings{MaxConnections: maxConnections, BodyMemoryBytes: bodyMemory}, Logger: hclog.NewNullLogger(),
				})
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				s := p.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := p.Bodies.Read(r.Body, r.ContentLength, 262_144, connlimiter.OfRequest(r))
					if err != nil {
						connlimiter.OfRequest(r).Refuse()
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					body.Release()
				}))
				protected := p.Wrap(l, 0)
				go func() { _ = s.Serve(protected) }()
				var clients sync.WaitGroup
				var mu sync.Mutex
				statuses := map[int]int{}
				mostConnections, mostBytes := 0, int64(0)
				for start, n := time.Now(), 0; time.Since(start) < length; n++ {
					clients.Go(func() {
						c := l.dial()
						if _, err := io.WriteString(c, request); err == nil {
							time.Sleep(length)
						}
						_ = c.Close()
					})
					if n%(hostileRate/ordinaryRate) == 0 {
						clients.Go(func() {
							status := ordinaryRequest(l.dial())
							mu.Lock()
							statuses[status]++
							mu.Unlock()
						})
					}
					mostConnections = max(mostConnections, p.all()[0].limiter.Len())
					mostBytes = max(mostBytes, p.Bodies.Budget.Used())
					time.Sleep(time.Second / hostileRate)
				}
				clients.Wait()
				_ = s.Close()
				time.Sleep(time.Minute)
				t.Logf("ordinary clients: %v; at most %d connections, %d bytes", statuses, mostConnections, mostBytes)
				is.Equal(len(statuses), 1)
				is.True(statuses[http.StatusOK] > 0)
				is.True(mostConnections <= maxConnections && mostBytes <= bodyMemory)
				is.Equal(p.all()[0].limiter.Len(), 0)
				is.Equal(p.Bodies.Budget.Used(), int64(0))
			})
		})
	}
}

// ordinaryRequest sends a body of the usual size in two parts and returns the status of the response, or 0 if there is none.
func ordinaryRequest(c net.Conn) int {
	defer c.Close()
	body := strings.Repeat("x", 5000)
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:2000])
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, body[2000:])
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
