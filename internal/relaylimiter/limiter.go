package relaylimiter

import (
	"expvar"

	"golang.org/x/sync/semaphore"
)

const (
	// memoryDivisor divides the memory of the process into the part for responses.
	memoryDivisor = 16
	// descriptorDivisor divides the limit of descriptors into the part for calls that read, and into that for calls that append. Each call
	// has a connection of its own.
	descriptorDivisor = 16
	// minMemory has room for one page of newest records.
	minMemory = PageBytes
)

// Memory of what a host reads for another one, in bytes.
const (
	// ReadBytes is the most that a read for another host returns. The largest record of the log fits.
	ReadBytes = 320 << 10
	// PageBytes is the memory of a page of newest records: 1 MiB as the log sends it, in base64, and as it is decoded.
	PageBytes int64 = 3 << 20
)

// Limiter bounds calls for other hosts. They are refused at the bound, since other hosts can serve them. A nil Limiter sets no bound.
type Limiter struct {
	Refused expvar.Int // calls that found no room

	reads, appends *semaphore.Weighted // calls to the log in progress
	memory         *semaphore.Weighted // bytes of responses that have not been sent
}

// New returns a limiter for the limits of a process.
func New(memoryBytes int64, descriptors int) *Limiter {
	calls := int64(max(1, descriptors/descriptorDivisor))
	return &Limiter{
		reads: semaphore.NewWeighted(calls), appends: semaphore.NewWeighted(calls),
		memory: semaphore.NewWeighted(max(memoryBytes/memoryDivisor, minMemory)),
	}
}

// Hold is what one call takes. It must be used by one goroutine at a time; the zero value takes nothing.
type Hold struct {
	limiter *Limiter
	calls   *semaphore.Weighted // nil if the call to the log has ended
	bytes   int64
}

// Read takes room for a call that reads from the log, and for a response of the given size.
func (l *Limiter) Read(bytes int64) (h Hold, ok bool) {
	if l == nil {
		return Hold{}, true
	}
	return l.take(l.reads, bytes)
}

// Append takes room for a call that appends to the log.
func (l *Limiter) Append() (h Hold, ok bool) {
	if l == nil {
		return Hold{}, true
	}
	return l.take(l.appends, 0)
}

// Response takes room for a response of the given size that needs no call to the log.
func (l *Limiter) Response(bytes int64) (h Hold, ok bool) {
	if l == nil {
		return Hold{}, true
	}
	return l.take(nil, bytes)
}

func (l *Limiter) take(calls *semaphore.Weighted, bytes int64) (Hold, bool) {
	if calls != nil && !calls.TryAcquire(1) {
		l.Refused.Add(1)
		return Hold{}, false
	}
	if bytes > 0 && !l.memory.TryAcquire(bytes) {
		if calls != nil {
			calls.Release(1)
		}
		l.Refused.Add(1)
		return Hold{}, false
	}
	return Hold{limiter: l, calls: calls, bytes: bytes}, true
}

// EndCall ends the call to the log, whose response has at most the given size.
func (h *Hold) EndCall(bytes int64) {
	if h.calls != nil {
		h.calls.Release(1)
		h.calls = nil
	}
	if h.bytes > bytes {
		h.limiter.memory.Release(h.bytes - bytes)
		h.bytes = bytes
	}
}

// Release ends the call and the response.
func (h *Hold) Release() { h.EndCall(0) }
