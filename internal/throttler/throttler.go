package throttler

import (
	"context"
	"expvar"

	"golang.org/x/sync/semaphore"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// memoryDivisor divides the memory of the process into the part for requests that are being sent.
	memoryDivisor = 32
	// defaultMemory is the memory of a process whose limit is not known.
	defaultMemory model.Megabytes = 256
	// smallRequest is the size up to which requests don't count: those of ordinary jobs together take less than the state of their workers.
	smallRequest model.Bytes = 16 << 10
	// bytesPerSent is what a byte of a request costs: its encoded form and the buffer in which it was made.
	bytesPerSent = 2
)

// Throttler bounds the memory of large requests that are being sent. A nil Throttler sets no bound.
type Throttler struct {
	Refused expvar.Int // requests that found no room in time

	memory   *semaphore.Weighted
	capacity int64
}

// New returns a throttler for the memory limit of a process; 0 means unknown.
func New(limit model.Megabytes) *Throttler {
	if limit <= 0 {
		limit = defaultMemory
	}
	capacity := int64(limit) << 20 / memoryDivisor
	return &Throttler{memory: semaphore.NewWeighted(capacity), capacity: capacity}
}

// Acquire waits for room for a request of n bytes, until ctx ends. The caller calls release when the request has its response or has failed.
func (t *Throttler) Acquire(ctx context.Context, n model.Bytes) (release func(), err error) {
	if t == nil || n <= smallRequest {
		return func() {}, nil
	}
	cost := min(int64(n)*bytesPerSent, t.capacity)
	if err := t.memory.Acquire(ctx, cost); err != nil {
		t.Refused.Add(1)
		return nil, err
	}
	return func() { t.memory.Release(cost) }, nil
}
