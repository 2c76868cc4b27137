package allocator

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Policy selects how placements are scored.
type Policy string

// The placement policies.
const (
	FirstFit Policy = "first-fit" // first worker or rack with room
	BestFit  Policy = "best-fit"  // least room left over
	Gradient Policy = "gradient"  // least room lost to the waiting mix, then best fit
)

// maxMix bounds the shapes that a placement is scored against; the mix holds those with the most demand.
const maxMix = 8

// Demand is one shape of the mix and how many jobs ask for it.
type Demand struct {
	Shape model.Shape
	Jobs  float64
}

type weighted struct {
	need    resources
	workers int
	rack    bool
	weight  float64 // all add up to 1
}

// SetMix declares the shapes that are asked for; the mix is weighted by jobs. It sorts ds.
func (s *State) SetMix(ds []Demand) {
	slices.SortStableFunc(ds, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), compareShapes(&a.Shape, &b.Shape))
	})
	s.mix = s.mix[:0]
	total := 0.0
	for i := range ds {
		sh := &ds[i].Shape
		if sh.Accelerators <= 0 || ds[i].Jobs <= 0 || len(s.mix) == maxMix {
			continue
		}
		w := ds[i].Jobs
		total += w
		s.mix = append(s.mix, weighted{need(sh), sh.Workers, sh.Workers > 1 && sh.Span == model.SpanRack, w})
	}
	for i := range s.mix {
		s.mix[i].weight /= total
	}
}

func compareShapes(a, b *model.Shape) int {
	return cmp.Or(cmp.Compare(a.Workers, b.Workers), cmp.Compare(a.Accelerators, b.Accelerators),
		cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.MemoryMB, b.MemoryMB), cmp.Compare(a.Span, b.Span))
}

// slots returns how many members fit into the resources.
func (r resources) slots(n resources) int {
	if !r.fits(n) {
		return 0
	}
	k := int(r.acc / n.acc)
	if n.cores > 0 {
		k = min(k, int(r.cores/n.cores))
	}
	if n.mem > 0 {
		k = min(k, int(r.mem/n.mem))
	}
	return k
}

// usable returns the free accelerators of a rack that a shape of the mix can
// use, when n is first taken from the given workers.
func (s *State) usable(r int32, m *weighted, n resources, taken []int32) model.Accelerators {
	slots, workers := 0, 0
	for _, i := range s.racks[r].slots {
		if i < 0 || !s.workers[i].usable() {
			continue
		}
		f := s.workers[i].free
		if slices.Contains(taken, i) {
			f.sub(n)
		}
		if k := f.slots(m.need); k > 0 {
			slots += k
			workers++
		}
	}
	if m.rack {
		if workers < m.workers {
			return 0
		}
		slots -= slots % m.workers
	}
	return model.Accelerators(slots) * m.need.acc
}

// gradient returns how many more accelerators of a rack the mix cannot use
// after n is taken from the given workers.
func (s *State) gradient(r int32, n resources, taken []int32) float64 {
	g := 0.0
	for k := range s.mix {
		m := &s.mix[k]
		g += m.weight * float64(s.usable(r, m, resources{}, nil)-s.usable(r, m, n, taken))
	}
	return g
}

// Stranded returns how many of the free accelerators the mix cannot use,
// weighted over its shapes; it is 0 without a mix.
func (s *State) Stranded() float64 {
	_, free := s.Totals()
	f := 0.0
	for k := range s.mix {
		m := &s.mix[k]
		var u model.Accelerators
		for r := range s.racks {
			if s.racks[r].maxFree.fits(m.need) {
				u += s.usable(int32(r), m, resources{}, nil)
			}
		}
		if u < m.need.acc*model.Accelerators(m.workers) {
			u = 0
		}
		f += m.weight * float64(free-u)
	}
	return f
}
