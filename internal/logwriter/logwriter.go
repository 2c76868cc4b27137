package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue of lines that have not been written.
	maxQueuedLines = 4096
	// maxLinesPerSecond is the maximum number of lines accepted in one second, so that a flood of calls does not cause a flood
	// of log lines.
	maxLinesPerSecond = 2000
)

// Writer is an io.Writer that queues lines and writes them to an output in the background. The data of one call of Write counts
// as one line.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{} // closed when all queued lines have been written after Close

	mu              sync.Mutex
	closed          bool
	currentSecond   int64 // Unix time in seconds when the last line was received
	linesThisSecond int   // number of lines received in currentSecond, including dropped ones
	dropped         int64 // number of lines dropped since the last call of TakeDropped
}

// New returns a writer to out. Call Close before the program ends, so that all queued lines are written.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never waits for the output and always succeeds; it drops lines over the limits and discards lines
// after Close.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	if s := time.Now().Unix(); s != w.currentSecond {
		w.currentSecond, w.linesThisSecond = s, 0
	}
	w.linesThisSecond++
	if w.linesThisSecond > maxLinesPerSecond {
		w.dropped++
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped++
	}
	return len(p), nil
}

// TakeDropped returns the number of lines dropped since its last call.
func (w *Writer) TakeDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close stops accepting lines and waits until all queued lines have been written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes queued lines until the queue is closed. If lines were dropped, it writes their number before the next line.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.TakeDropped(); n > 0 {
			fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n)
		}
		_, _ = w.out.Write(line) // there is no other output to report an error to
	}
}
