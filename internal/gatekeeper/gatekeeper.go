package gatekeeper

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"
)

// Bytes is the size of the body of a request.
type Bytes int

// Each request in flight has a connection. A worker takes 64 of them, and two leaders may call it in turn.
const (
	// MaxRequests is the maximum number of requests in flight to a distant worker.
	MaxRequests = 28
	// minStarts and maxStarts limit the number of start requests in flight, whatever the distance.
	minStarts = 4
	maxStarts = 20
	// startInterval is the time between two start requests that the bound allows on the average.
	startInterval = 2 * time.Millisecond
	// requestsPerStart is how many requests may be in flight for each start request that may be. The difference is left for stop requests.
	requestsPerStart = float64(MaxRequests) / maxStarts
	// pacedBytes and unpacedBytes bound the start requests in flight, of which a larger one is sent alone. Where the rate of the link is known,
	// start requests are paced by it. Otherwise only calls that take long show that the link is full.
	pacedBytes   Bytes = 128 << 10
	unpacedBytes Bytes = 16 << 10
)

// Gatekeeper admits requests to one worker. The zero value is ready for use.
type Gatekeeper struct {
	IsPaced bool // start requests are paced by the rate of the link

	mu            sync.Mutex
	starts, stops int
	startBytes    Bytes
	roundTrip     time.Duration // shortest time until a response; 0 before the first one
	waitingStarts []*waiter
	waitingStops  []*waiter
}

// waiter is a request that waits.
type waiter struct {
	bytes    Bytes
	admitted chan struct{} // closed once the request may be sent
}

// Observe notes how long a request took until its response. The bound follows from the distance, which the shortest time shows: with the load of
// a link or of a host, more requests in flight would only add to it.
func (g *Gatekeeper) Observe(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.roundTrip == 0 || took < g.roundTrip {
		g.roundTrip = took
	}
	g.admitLocked()
}

// limitsLocked returns the number of start requests, and of all requests, that may be in flight. The caller holds g.mu.
func (g *Gatekeeper) limitsLocked() (starts, requests int) {
	starts = min(max(int(g.roundTrip/startInterval), minStarts), maxStarts)
	return starts, int(math.Ceil(float64(starts) * requestsPerStart))
}

// AcquireStart waits until a start request with a body of the given size may be sent. It returns false if the context ends first, and otherwise
// a function that has to be called after the request.
func (g *Gatekeeper) AcquireStart(ctx context.Context, n Bytes) (release func(), ok bool) {
	w := &waiter{bytes: n, admitted: make(chan struct{})}
	return func() { g.releaseStart(n) }, g.wait(ctx, w, &g.waitingStarts, func() { g.releaseStart(n) })
}

// AcquireStop does the same for a stop request.
func (g *Gatekeeper) AcquireStop(ctx context.Context) (release func(), ok bool) {
	w := &waiter{admitted: make(chan struct{})}
	return g.releaseStop, g.wait(ctx, w, &g.waitingStops, g.releaseStop)
}

// wait adds a request to a queue and waits until it is admitted, or the context ends.
func (g *Gatekeeper) wait(ctx context.Context, w *waiter, queue *[]*waiter, release func()) bool {
	g.mu.Lock()
	*queue = append(*queue, w)
	g.admitLocked()
	g.mu.Unlock()
	select {
	case <-w.admitted:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return true
	}
	g.mu.Lock()
	i := slices.Index(*queue, w)
	if i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	}
	g.mu.Unlock()
	if i < 0 {
		release()
	}
	return false
}

// admitLocked admits what may be sent, stop requests first. The caller holds g.mu.
func (g *Gatekeeper) admitLocked() {
	starts, requests := g.limitsLocked()
	for len(g.waitingStops) > 0 && g.starts+g.stops < requests {
		g.stops++
		close(g.waitingStops[0].admitted)
		g.waitingStops = g.waitingStops[1:]
	}
	for len(g.waitingStarts) > 0 && g.starts < starts && g.starts+g.stops < requests && g.allowsBytesLocked(g.waitingStarts[0].bytes) {
		g.starts++
		g.startBytes += g.waitingStarts[0].bytes
		close(g.waitingStarts[0].admitted)
		g.waitingStarts = g.waitingStarts[1:]
	}
}

// allowsBytesLocked reports whether the bytes in flight leave room for a start request of the given size. The caller holds g.mu.
func (g *Gatekeeper) allowsBytesLocked(n Bytes) bool {
	limit := unpacedBytes
	if g.IsPaced {
		limit = pacedBytes
	}
	return g.starts == 0 || g.startBytes+n <= limit
}

func (g *Gatekeeper) releaseStart(n Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts--
	g.startBytes -= n
	g.admitLocked()
}

func (g *Gatekeeper) releaseStop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stops--
	g.admitLocked()
}
