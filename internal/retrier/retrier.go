package retrier

import "time"

const (
	// minDelay is the delay before a failed request is retried. It doubles with each failure, up to maxDoublings times and to maxDelay.
	minDelay     = 300 * time.Millisecond
	maxDoublings = 4
	maxDelay     = 3 * time.Second
)

// Requests counts requests for one purpose, such as the stop requests of a run on one worker. Only the newest is retried after a failure, so that
// a request that is sent at once replaces one that waits for its delay or for a response. The zero value has none.
type Requests struct {
	newest   int // number of the newest request; 0 before the first
	failures int // number of failures in a row of the newest one and those that it retries
}

// Next returns the number of a further request.
func (r *Requests) Next() int {
	r.newest++
	return r.newest
}

// IsNewest reports whether a number is that of the newest request.
func (r *Requests) IsNewest(number int) bool { return number == r.newest }

// NextDelay counts a failure and returns the delay before the next request.
func (r *Requests) NextDelay() time.Duration {
	r.failures++
	return min(minDelay<<min(r.failures-1, maxDoublings), maxDelay)
}

// Reset forgets the failures.
func (r *Requests) Reset() { r.failures = 0 }
