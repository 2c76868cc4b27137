package fault

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Faults lists the faults to inject into a fake; the zero value injects none.
type Faults struct {
	SlowMS       model.Millis   `json:"slow-ms,omitempty"`     // delay in milliseconds before a request is handled
	Down         bool           `json:"down,omitempty"`        // respond with 503 without handling the request
	ResponseLost bool           `json:"answer-lost,omitempty"` // handle a request other than GET, but close the connection without a response
	Frozen       bool           `json:"frozen,omitempty"`      // accept requests, but handle them and respond only after the fault is cleared
	Refuse       bool           `json:"refuse,omitempty"`      // refuse new work; each fake defines how
	FailTasks    bool           `json:"fail-tasks,omitempty"`  // fail every task that starts; workers only
	Cut          []model.HostID `json:"cut,omitempty"`         // entry hosts whose requests are dropped
	CutSilent    bool           `json:"cut-silent,omitempty"`  // keep the connections of dropped requests open instead of closing them
}

// isCutOff reports whether requests from the host are dropped.
func (f Faults) isCutOff(host model.HostID) bool {
	return host != "" && slices.Contains(f.Cut, host)
}

// Injector holds the faults of one fake and counts its requests; the zero value is ready.
type Injector struct {
	mu         sync.Mutex
	faults     Faults
	generation int           // number of calls of DropRequests
	changed    chan struct{} // closed at the next change of faults or generation; nil until the next call of watch

	requests, bytesIn, bytesOut, dropped atomic.Int64
}

// Faults returns the current faults.
func (i *Injector) Faults() Faults {
	f, _, _ := i.watch()
	return f
}

// SetFaults replaces all faults.
func (i *Injector) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f.Cut = slices.Clone(f.Cut)
	i.faults = f
	i.notifyWatchers()
}

// DropRequests aborts the requests in progress, as when the process ends. Requests that a fault still delays have no effect.
func (i *Injector) DropRequests() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.generation++
	i.notifyWatchers()
}

// WatchFaults returns the current faults and a channel that is closed at the next change or call of DropRequests.
func (i *Injector) WatchFaults() (Faults, <-chan struct{}) {
	f, _, changed := i.watch()
	return f, changed
}

// RequestStats returns the numbers of received and dropped requests and of body bytes in both directions.
func (i *Injector) RequestStats() map[string]int64 {
	return map[string]int64{
		"requests":  i.requests.Load(),
		"bytes-in":  i.bytesIn.Load(),
		"bytes-out": i.bytesOut.Load(),
		"dropped":   i.dropped.Load(),
	}
}

// notifyWatchers closes the change channel; the caller holds the lock.
func (i *Injector) notifyWatchers() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

// watch returns the faults, the generation and a channel that is closed when either changes.
func (i *Injector) watch() (Faults, int, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.faults, i.generation, i.changed
}

// waitWhileFrozen waits while the fake is frozen; it reports false if the request was dropped or cancelled during the wait.
func (i *Injector) waitWhileFrozen(ctx context.Context, generation int) bool {
	for {
		f, g, changed := i.watch()
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

// waitDelay waits for the injected delay; it reports false if the request was dropped or cancelled during the wait.
func (i *Injector) waitDelay(ctx context.Context, generation int) bool {
	f, _, _ := i.watch()
	if f.SlowMS <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(f.SlowMS) * time.Millisecond):
	case <-ctx.Done():
		return false
	}
	_, g, _ := i.watch()
	return g == generation
}
