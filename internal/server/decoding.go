package server

import "net/http"

// largeBodyBytes is the size from which bodies are decoded one at a time. The values of a body can take several times its memory, and
// ordinary bodies are smaller.
const largeBodyBytes = 16 << 10

// startDecoding waits until a body of n bytes may be decoded. The caller calls end after that.
func (s *Server) startDecoding(r *http.Request, n int) (end func(), err error) {
	if n <= largeBodyBytes {
		return func() {}, nil
	}
	if err := s.decoding.Acquire(r.Context(), 1); err != nil {
		return nil, err
	}
	return func() { s.decoding.Release(1) }, nil
}
