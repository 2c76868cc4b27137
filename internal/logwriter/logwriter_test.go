package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// Guards against a blocked log output that blocks the program, and lines that are dropped without a log line that reports it.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	for range maxQueuedLines + maxLinesPerSecond {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	close(out.release)
	w.Close()
	text := out.buf.String()
	is.True(strings.Count(text, "line\n") <= maxQueuedLines+maxLinesPerSecond)
	is.True(strings.Contains(text, "log lines dropped"))
	_, err := w.Write([]byte("late\n"))
	is.NoErr(err) // writing to a closed writer must not panic
}
