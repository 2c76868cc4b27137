package daemon

import (
	"net/http"
	"sync/atomic"
)

// closeWhen makes answers close their connection once the flag is set. Otherwise a client sends its next request on
// the connection while the shutdown closes it, and cannot tell whether the request was read.
func closeWhen(flag *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closer{ResponseWriter: w, flag: flag}, r)
	})
}

// closer sets the header Connection just before the header is written.
type closer struct {
	http.ResponseWriter
	flag    *atomic.Bool
	written bool
}

// WriteHeader writes the header, with Connection: close when the flag is set.
func (c *closer) WriteHeader(status int) {
	if !c.written && c.flag.Load() {
		c.Header().Set("Connection", "close")
	}
	c.written = true
	c.ResponseWriter.WriteHeader(status)
}

// Write writes the header first unless it is written.
func (c *closer) Write(data []byte) (int, error) {
	if !c.written {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (c *closer) Unwrap() http.ResponseWriter { return c.ResponseWriter }
