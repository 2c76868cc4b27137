package peerlog

import (
	"net"
	"time"
)

const (
	// writeStall is how long a peer may take to receive writeChunkBytes of responses. A peer gives a call up earlier.
	writeStall = 5 * time.Second
	// writeChunkBytes is the size of a write with a deadline of its own.
	writeChunkBytes = 64 << 10
)

// boundedWriter is a connection that is closed when its peer does not read, so that responses don't stay in memory.
type boundedWriter struct{ net.Conn }

// Write writes b in parts with a deadline each.
func (w boundedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := w.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
			return written, err
		}
		n, err := w.Conn.Write(b[written:min(len(b), written+writeChunkBytes)])
		written += n
		if err != nil {
			_ = w.Close() // the rest of the response would be taken for the next one
			return written, err
		}
	}
	return written, nil
}
