package admitter

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// inventory sums up the declared workers of a failure domain.
type inventory struct {
	racks []model.Rack
	total model.Accelerators
}

func newInventory(d model.FailureDomain) inventory {
	var inv inventory
	for _, r := range d.Racks {
		inv.racks = append(inv.racks, r)
		inv.total += r.Accelerators * model.Accelerators(r.Workers)
	}
	return inv
}

// fits reports whether the empty domain could hold the shape.
func (inv inventory) fits(s model.Shape) bool {
	members := 0
	for _, r := range inv.racks {
		if r.Accelerators < s.Accelerators || r.Cores < s.Cores || r.MemoryMB < s.MemoryMB {
			continue
		}
		if r.Workers >= s.Workers {
			return true
		}
		members += r.Workers
	}
	return s.Span != model.SpanRack && members >= s.Workers
}

// rate is an exponentially decayed rate of events.
type rate struct {
	weight float64 // of past events, decayed to the time at
	at     time.Time
}

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.weight * math.Exp2(-float64(now.Sub(r.at))/float64(rateHalfLife))
}

func (r *rate) add(now time.Time) {
	r.weight = r.decayed(now) + 1
	r.at = now
}

// interval estimates the time between two events.
func (r *rate) interval(now time.Time) time.Duration {
	w := r.decayed(now)
	if w < 1e-3 {
		return maxRetryAfter
	}
	// The decayed weight of a steady rate is rate * half-life / ln 2.
	return time.Duration(float64(rateHalfLife) / math.Ln2 / w)
}
