package daemon

import (
	"context"
	"sync"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// awaiter wakes goroutines once a fold has applied the record that they wait for; its zero value is ready.
type awaiter struct {
	mu      sync.Mutex
	next    model.Offset // first offset not yet applied
	waiting map[chan struct{}]model.Offset
}

// advance notes that all records before next are applied.
func (a *awaiter) advance(next model.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next = max(a.next, next)
	for ch, offset := range a.waiting {
		if offset < a.next {
			close(ch)
			delete(a.waiting, ch)
		}
	}
}

// wait returns nil once the record at the offset is applied, or the error of ctx.
func (a *awaiter) wait(ctx context.Context, offset model.Offset) error {
	ch, ok := a.register(offset)
	if ok {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		a.mu.Lock()
		delete(a.waiting, ch)
		a.mu.Unlock()
		return ctx.Err()
	}
}

func (a *awaiter) register(offset model.Offset) (ch chan struct{}, applied bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.next {
		return nil, true
	}
	ch = make(chan struct{})
	if a.waiting == nil {
		a.waiting = map[chan struct{}]model.Offset{}
	}
	a.waiting[ch] = offset
	return ch, false
}
