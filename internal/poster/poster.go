package poster

import "sync"

// Poster is an unbounded ordered queue of messages from many senders to one receiver.
//
// A sender that owns state of its own must not wait for another task, or two tasks could wait for each other.
type Poster[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty Poster.
func New[T any]() *Poster[T] {
	return &Poster[T]{ready: make(chan struct{}, 1)}
}

// Post adds a message and never blocks.
func (p *Poster[T]) Post(item T) {
	p.mu.Lock()
	p.items = append(p.items, item)
	p.mu.Unlock()
	select {
	case p.ready <- struct{}{}:
	default:
	}
}

// Ready receives when messages may be waiting.
func (p *Poster[T]) Ready() <-chan struct{} { return p.ready }

// Take removes and returns all waiting messages in the order in which they were posted.
func (p *Poster[T]) Take() []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.items
	p.items = nil
	return items
}
