package fault

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Faults is the state of the switches; the zero value means none.
type Faults struct {
	SlowMS     model.Millis   `json:"slow-ms,omitempty"`     // delay before a request is handled
	Down       bool           `json:"down,omitempty"`        // answer 503 without effect
	AnswerLost bool           `json:"answer-lost,omitempty"` // apply the effect, then close the connection; not for GET
	Frozen     bool           `json:"frozen,omitempty"`      // accept, handle only after this is cleared
	Refuse     bool           `json:"refuse,omitempty"`      // refuse new work in the way of the fake
	FailTasks  bool           `json:"fail-tasks,omitempty"`  // every task that starts fails; workers only
	Cut        []model.HostID `json:"cut,omitempty"`         // entry hosts whose requests are dropped
	CutSilent  bool           `json:"cut-silent,omitempty"`  // hold dropped requests open instead of closing them
}

// cut reports whether requests of the host are dropped.
func (f Faults) cut(from model.HostID) bool {
	return from != "" && slices.Contains(f.Cut, from)
}

// Injector holds the faults of one fake and counts its requests; the zero value is ready.
type Injector struct {
	mu         sync.Mutex
	faults     Faults
	generation int           // counts calls of Drop
	changed    chan struct{} // closed at the next change

	requests, bytesIn, bytesOut, dropped atomic.Int64
}

// Faults returns the current faults.
func (s *Injector) Faults() Faults {
	f, _, _ := s.watch()
	return f
}

// SetFaults replaces all faults.
func (s *Injector) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Cut = slices.Clone(f.Cut)
	s.faults = f
	s.notify()
}

// DropRequests abandons the requests that are held, without effect, as the end of the process does.
func (s *Injector) DropRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.notify()
}

// WatchFaults returns the faults and a channel that is closed at the next change.
func (s *Injector) WatchFaults() (Faults, <-chan struct{}) {
	f, _, changed := s.watch()
	return f, changed
}

// RequestStats returns the counters of requests and bytes.
func (s *Injector) RequestStats() map[string]int64 {
	return map[string]int64{
		"requests":  s.requests.Load(),
		"bytes-in":  s.bytesIn.Load(),
		"bytes-out": s.bytesOut.Load(),
		"dropped":   s.dropped.Load(),
	}
}

func (s *Injector) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Injector) watch() (Faults, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.faults, s.generation, s.changed
}

// hold waits while the fake is frozen; it reports false when the request is abandoned.
func (s *Injector) hold(ctx context.Context, generation int) bool {
	for {
		f, g, changed := s.watch()
		if g != generation {
			return false
		}
		if !f.Frozen {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// delay waits for the added delay; it reports false when the request is abandoned.
func (s *Injector) delay(ctx context.Context, generation int) bool {
	f, _, _ := s.watch()
	if f.SlowMS <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
	case <-ctx.Done():
		return false
	}
	_, g, _ := s.watch()
	return g == generation
}
