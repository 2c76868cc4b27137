package protector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/connlimiter"
)

// BenchmarkRequest compares an ordinary request on one connection with and without the protection.
func BenchmarkRequest(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if data, err := io.ReadAll(io.LimitReader(r.Body, 262_145)); err != nil || len(data) == 0 {
				w.WriteHeader(http.StatusBadRequest)
			}
		})
		benchmarkServer(b, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: 15 * time.Second}, l)
	})
	b.Run("protected", func(b *testing.B) {
		p := New(Config{
			Limits: Limits{MemoryBytes: 256 << 20, SoftMemoryBytes: 180 << 20, Descriptors: 4096}, Logger: hclog.NewNullLogger(),
		})
		l, err := p.Listen("tcp", "127.0.0.1:0", 0)
		if err != nil {
			b.Fatal(err)
		}
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := p.Bodies.Read(r.Body, r.ContentLength, 262_144, connlimiter.OfRequest(r))
			if err != nil || len(body.Data) == 0 {
				w.WriteHeader(http.StatusBadRequest)
			}
			body.Release()
		})
		benchmarkServer(b, p.Server(h), l)
	})
}

func benchmarkServer(b *testing.B, s *http.Server, l net.Listener) {
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n%s", strings.Repeat("x", 5000))
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(err, resp)
		}
	}
}
