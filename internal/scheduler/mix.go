package scheduler

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The mix of shapes holds what waits and what was submitted of late. Waiting
// jobs alone would say nothing about a short queue, and a planner that fills
// every gap would be left with the shapes that do not fit.
const (
	mixHalfLife = 30 * time.Minute
	mixFloor    = 0.1 // a shape with fewer decayed submissions is forgotten
	maxShapes   = 256
)

// asked counts the jobs of one shape.
type asked struct {
	submitted float64 // decayed
	waiting   int
}

func (s *Scheduler) asked(sh model.Shape) *asked {
	a := s.mix[sh]
	if a == nil {
		a = &asked{}
		s.mix[sh] = a
	}
	return a
}

// setMix tells the allocator the mix, when it has changed or decayed.
func (s *Scheduler) setMix(now time.Time) {
	dt := now.Sub(s.mixAt)
	if !s.mixChanged && dt < mixHalfLife/10 {
		return
	}
	s.mixChanged = false
	d := math.Exp2(-max(0, dt).Seconds() / mixHalfLife.Seconds())
	s.mixAt = now
	ds := s.pass.demand[:0]
	for sh, a := range s.mix {
		a.submitted *= d
		if a.waiting == 0 && (a.submitted < mixFloor || len(s.mix) > maxShapes && a.submitted < 1) {
			delete(s.mix, sh)
			continue
		}
		ds = append(ds, allocator.Demand{Shape: sh, Jobs: max(a.submitted, float64(a.waiting))})
	}
	s.pass.demand = ds
	s.alloc.SetMix(ds)
}
