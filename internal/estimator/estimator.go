package estimator

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// The limits of an Estimator's memory and trust.
const (
	samples = 32  // newest run times kept per key; enough for a 0.9 quantile
	trusted = 5   // samples needed before the declared run time is ignored
	maxKeys = 512 // workspace and class pairs; the one learned from longest ago is dropped first
)

// Default is assumed for a job without a declared or learned run time.
const Default = time.Hour

type key struct {
	workspace model.WorkspaceID
	class     model.ClassID
}

type history struct {
	runs [samples]time.Duration // sorted over the first n
	ring [samples]time.Duration // in order of arrival
	n    int
	next int
	used uint64
}

// Estimator holds the newest run times per workspace and class; its zero value is empty.
type Estimator struct {
	keys map[key]*history
	tick uint64
}

// Learn adds the run time of a finished job.
func (e *Estimator) Learn(w model.WorkspaceID, c model.ClassID, run time.Duration) {
	if run < 0 {
		return
	}
	k := key{w, c}
	h := e.keys[k]
	if h == nil {
		if e.keys == nil {
			e.keys = map[key]*history{}
		}
		if len(e.keys) >= maxKeys {
			e.evict()
		}
		h = &history{}
		e.keys[k] = h
	}
	e.tick++
	h.used = e.tick
	if h.n == samples {
		h.remove(h.ring[h.next])
	}
	h.ring[h.next] = run
	h.next = (h.next + 1) % samples
	h.insert(run)
}

func (h *history) insert(run time.Duration) {
	i := h.n
	for ; i > 0 && h.runs[i-1] > run; i-- {
		h.runs[i] = h.runs[i-1]
	}
	h.runs[i] = run
	h.n++
}

func (h *history) remove(run time.Duration) {
	for i := range h.n {
		if h.runs[i] == run {
			copy(h.runs[i:], h.runs[i+1:h.n])
			h.n--
			return
		}
	}
}

func (e *Estimator) evict() {
	var old key
	low := uint64(math.MaxUint64)
	for k, h := range e.keys {
		if h.used < low {
			old, low = k, h.used
		}
	}
	delete(e.keys, old)
}

// Quantile returns the run time that the share q of jobs stays below: learned,
// else declared, else Default.
func (e *Estimator) Quantile(w model.WorkspaceID, c model.ClassID, q float64, declared model.Millis) time.Duration {
	h := e.keys[key{w, c}]
	switch {
	case h != nil && h.n >= trusted:
		i := int(math.Ceil(q*float64(h.n))) - 1
		return h.runs[min(max(i, 0), h.n-1)]
	case declared > 0:
		return time.Duration(min(declared, math.MaxInt64/model.Millis(time.Millisecond))) * time.Millisecond
	}
	return Default
}
