package bodyreader

import (
	"math"
	"sync/atomic"
)

const (
	// bytesPerBuffered is what a byte of a buffer costs: the buffer and the smaller ones that it has replaced, which the garbage
	// collector has yet to free, or the values that are decoded from it.
	bytesPerBuffered = 2
	// smallBodyDivisor divides the budget into parts, one of which is left for bodies of at most FirstStepBytes. Clients with
	// large bodies can't use it up, so that ordinary requests, which are small, are served beside them.
	smallBodyDivisor = 4
	// pressureDivisor divides the budget into parts, the last of which is kept free while bodies can give way.
	pressureDivisor = 8
)

// Budget limits the memory for the bodies of all requests in progress. The zero value sets no limit.
type Budget struct {
	// OnPressure is called when less than a pressureDivisor of the budget is left after a charge, or a charge is refused, so that
	// bodies that wait for their clients can give way. It may be nil and must not be changed while bodies are read.
	OnPressure func()

	capacity, used atomic.Int64
}

// SetCapacity sets the memory for bodies, in bytes. What has been admitted stays admitted.
func (b *Budget) SetCapacity(n int64) { b.capacity.Store(n) }

// Capacity returns the memory for bodies, in bytes.
func (b *Budget) Capacity() int64 { return b.capacity.Load() }

// Used returns the memory charged for bodies, in bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// LargestBody returns the size of the largest body that a budget of the given size admits while nothing else is charged.
func LargestBody(budgetBytes int64) int64 {
	large := (budgetBytes - budgetBytes/smallBodyDivisor) / bytesPerBuffered
	return max(large, min(budgetBytes/bytesPerBuffered, FirstStepBytes))
}

// Charge is the memory charged for one request.
type Charge struct {
	budget *Budget
	cost   int64
}

// Grow raises the charge to the cost of a buffer of the given size. It reports false, and changes nothing, if the budget does not
// allow that.
func (c *Charge) Grow(bufferBytes int64) bool {
	cost := bufferBytes * bytesPerBuffered
	limit := c.budget.capacity.Load()
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if bufferBytes > FirstStepBytes {
		limit -= limit / smallBodyDivisor
	}
	wanted, isAdmitted := c.budget.add(cost-c.cost, limit)
	if isAdmitted {
		c.cost = cost
	}
	if wanted > limit-limit/pressureDivisor && c.budget.OnPressure != nil {
		c.budget.OnPressure()
	}
	return isAdmitted
}

// add charges more memory if no more than the limit is used then. A request that is refused takes no room from others meanwhile. It returns
// what is or would be used.
func (b *Budget) add(more, limit int64) (wanted int64, isAdmitted bool) {
	for {
		used := b.used.Load()
		if wanted = used + more; wanted > limit {
			return wanted, false
		}
		if b.used.CompareAndSwap(used, wanted) {
			return wanted, true
		}
	}
}

// Release ends the charge; further calls have no effect.
func (c *Charge) Release() {
	if c.budget != nil {
		c.budget.used.Add(-c.cost)
		c.cost = 0
	}
}
