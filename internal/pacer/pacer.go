package pacer

import (
	"math"
	"time"
)

// BytesPerSecond is a rate of transfer.
type BytesPerSecond float64

// Bytes is an amount of data.
type Bytes float64

const (
	// defaultRate is the rate of the link if it is unknown.
	defaultRate BytesPerSecond = 2_500_000
	// initialFactor is the share of the usual rate with which a leader starts whose link is unknown.
	initialFactor = 0.2
	// startShare is the share of the link's rate that start requests may take. The rest is for lease renewals, reports, stop
	// requests, and the log.
	startShare = 0.6
	// burstTime is the time for which unused credit is kept.
	burstTime = 200 * time.Millisecond
	// minFactor is the lowest share of the usual rate to which congestion reduces the rate of start requests.
	minFactor = 0.02
	// factorDecrease and factorIncrease are the factors by which the rate changes after a window with and without congestion.
	factorDecrease = 0.6
	factorIncrease = 1.25
	// windowTime is the length of a window of observations, at the end of which the rate changes.
	windowTime = 300 * time.Millisecond
	// maxBacklogTime limits the time that a timeout leaves for start requests in front of a call.
	maxBacklogTime = 3 * time.Second
	// minObservations is the number of observations that a window needs to show congestion.
	minObservations = 6
)

// Pacer limits the rate of start requests, and computes the timeout of calls to workers. The zero value assumes a fast link.
//
// The rate falls while most calls get a slow response or none. That is also the case if the processor of this host is too slow.
type Pacer struct {
	LinkRate BytesPerSecond // rate of this host's link; 0 means unknown

	timeout  timeoutEstimator
	factor   float64 // share of the usual rate to which congestion has reduced the rate; 0 before the first call
	credit   Bytes   // bytes that may be sent now; negative after more than that has been sent
	creditAt time.Time
	window   window
}

// window counts the calls that ended in a period.
type window struct {
	endsAt time.Time
	calls  int
	slow   int // calls with a slow response or none
}

// CanStart reports whether a start request may be sent. Starts that belong together may then all be sent; Spend delays later ones.
func (p *Pacer) CanStart(now time.Time) bool {
	p.refill(now)
	return p.credit > 0
}

// Affordable returns how many start requests of a size may be sent now, the last of which may exceed the credit.
func (p *Pacer) Affordable(now time.Time, size Bytes) int {
	p.refill(now)
	return max(0, int(math.Ceil(float64(p.credit/size))))
}

// Spend takes the bytes of start requests from the credit.
func (p *Pacer) Spend(now time.Time, n Bytes) {
	p.refill(now)
	p.credit -= n
}

// refill adds the credit for the time since the last call.
func (p *Pacer) refill(now time.Time) {
	if p.factor == 0 {
		p.factor = 1
		if p.LinkRate == 0 {
			p.factor = initialFactor
		}
	}
	limit := Bytes(float64(p.Rate()) * burstTime.Seconds())
	if p.creditAt.IsZero() {
		p.credit = limit
	}
	if since := now.Sub(p.creditAt); since > 0 && !p.creditAt.IsZero() {
		p.credit += Bytes(float64(p.Rate()) * since.Seconds())
	}
	p.credit = min(p.credit, limit)
	p.creditAt = now
}

// Rate returns the current rate of start requests.
func (p *Pacer) Rate() BytesPerSecond {
	return p.linkRate() * startShare * BytesPerSecond(p.factor)
}

func (p *Pacer) linkRate() BytesPerSecond {
	if p.LinkRate == 0 {
		return defaultRate
	}
	return p.LinkRate
}

// Observe records the outcome of a call to a worker that does not delay its response.
func (p *Pacer) Observe(now time.Time, took time.Duration, responded bool) {
	slow := p.timeout.observe(took, responded)
	p.refill(now) // the rate may change below
	if now.After(p.window.endsAt) {
		p.endWindow(now)
	}
	p.window.calls++
	if slow {
		p.window.slow++
	}
}

// endWindow changes the rate by what the window has shown, and starts the next window.
func (p *Pacer) endWindow(now time.Time) {
	if p.window.calls >= minObservations && 2*p.window.slow > p.window.calls {
		p.factor *= factorDecrease
	} else {
		p.factor *= factorIncrease
	}
	p.factor = min(max(p.factor, minFactor), 1)
	p.window = window{endsAt: now.Add(windowTime)}
}

// Timeout returns the timeout of a call to a worker that is sent now, not counting the time for which the worker may delay its
// response. It includes the time until the link has transferred the start requests in front of the call.
func (p *Pacer) Timeout() time.Duration {
	backlog := time.Duration(float64(max(0, -p.credit)) / float64(p.linkRate()) * float64(time.Second))
	return p.timeout.value() + min(backlog, maxBacklogTime)
}
