package daemon

import (
	"net/http"
	"sync/atomic"
)

// closeConnectionsWhen makes each response close its connection while closing is set. Otherwise, a client could send its next
// request on a connection that the shutdown is closing and could not know whether the host has read the request.
func closeConnectionsWhen(closing *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, closing: closing}, r)
	})
}

// closingWriter adds Connection: close to the header of the response if closing is set when the header is written.
type closingWriter struct {
	http.ResponseWriter
	closing       *atomic.Bool
	headerWritten bool
}

// WriteHeader writes the header, with Connection: close if closing is set.
func (c *closingWriter) WriteHeader(status int) {
	if !c.headerWritten && c.closing.Load() {
		c.Header().Set("Connection", "close")
	}
	c.headerWritten = true
	c.ResponseWriter.WriteHeader(status)
}

// Write writes the data, after the header if that has not been written yet.
func (c *closingWriter) Write(data []byte) (int, error) {
	if !c.headerWritten {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
