package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout is the time limit for a client to send its request headers.
const headerTimeout = 5 * time.Second

// Server is the HTTP server of one fake.
type Server struct {
	handler http.Handler

	mu   sync.Mutex
	addr string       // host:port; after the first listen with the actual port
	srv  *http.Server // nil while closed
	ln   net.Listener
}

// Start listens on addr, whose port may be 0, and serves the handler.
func Start(addr string, handler http.Handler) (*Server, error) {
	s := &Server{addr: addr, handler: handler}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the host:port that the server listens on, also while it is closed.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close closes the listener and all connections immediately, without waiting for requests in progress.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.close()
}

// Restart closes the listener and all connections and listens again on the same address.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.close(); err != nil {
		return err
	}
	return s.listen()
}

func (s *Server) close() error {
	if s.srv == nil {
		return nil
	}
	err := s.srv.Close()
	s.srv = nil
	// Close misses a listener that Serve hasn't registered yet because its goroutine didn't run; close it here as well.
	if lnErr := s.ln.Close(); !errors.Is(lnErr, net.ErrClosed) {
		err = errors.CombineErrors(err, lnErr)
	}
	return errors.Wrap(err, "server: close")
}

func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return errors.Wrapf(err, "server: listen on %s", s.addr)
	}
	s.addr, s.ln = ln.Addr().String(), ln
	s.srv = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
	return nil
}
