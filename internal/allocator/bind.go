package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// unbound reports whether a block of n workers is usable, alike and without bound cells.
func (s *State) unbound(rack, start, n int32) bool {
	slots := s.racks[rack].slots
	if start < 0 || int(start+n) > len(slots) {
		return false
	}
	var a model.Accelerators
	for k, i := range slots[start : start+n] {
		if i < 0 {
			return false
		}
		w := &s.workers[i]
		if k == 0 {
			a = w.cap.acc
		}
		if !w.usable() || w.bound > 0 || w.cap.acc != a || !powerOfTwo(a) {
			return false
		}
	}
	return true
}

// enclosing returns the workers of the largest unbound aligned block around an unbound one.
func (s *State) enclosing(rack, start, n int32) int32 {
	for {
		up := start / (2 * n) * 2 * n
		if !s.unbound(rack, up, 2*n) {
			return n
		}
		start, n = up, 2*n
	}
}

// countBlocks counts the blocks that no cell is bound to.
func (s *State) countBlocks() (h histogram) {
	for r := range s.racks {
		slots := s.racks[r].slots
		for p := 0; p < len(slots); {
			i := slots[p]
			if i < 0 || !s.workers[i].usable() {
				p++
				continue
			}
			if !s.unbound(int32(r), int32(p), 1) {
				h.addBlocks(s.workers[i].cap.acc-s.workers[i].bound, 1)
				p++
				continue
			}
			n := s.enclosing(int32(r), int32(p), 1)
			h[log2(s.workers[i].cap.acc*model.Accelerators(n))]++
			p += int(n)
		}
	}
	return h
}

// split returns the size of the block that a cell of size c on worker i would
// be carved from, 0 when it does not fit; c is at most the worker's accelerators.
func (s *State) split(i int32, c model.Accelerators) model.Accelerators {
	w := &s.workers[i]
	if !w.usable() || w.cap.acc < c {
		return 0
	}
	if w.bound == 0 && s.unbound(w.rack, w.pos, 1) {
		return w.cap.acc * model.Accelerators(s.enclosing(w.rack, w.pos, 1))
	}
	f := (w.cap.acc - w.bound) &^ (c - 1)
	return f & -f
}

// guard tells whether carving a cell of a size out of a block leaves room for
// all cells that are not bound. While that holds before every binding, every
// unbound cell can always be bound.
type guard struct {
	size  model.Accelerators
	known [64]int8 // by the logarithm of the block size
}

func (s *State) allows(g *guard, from model.Accelerators) bool {
	k := log2(from)
	if g.known[k] == 0 {
		if !s.blocksKnown {
			s.blocks, s.blocksKnown = s.countBlocks(), true
		}
		blocks, wanted := s.blocks, s.wanted
		blocks.carve(from, g.size)
		wanted[log2(g.size)]--
		g.known[k] = -1
		if blocks.packs(&wanted) {
			g.known[k] = 1
		}
	}
	return g.known[k] > 0
}

// choice is a block that a cell may be bound to.
type choice struct {
	rack, start, n int32
	from           model.Accelerators // size of the block it is carved from
	cost           float64
}

// shortlist is how many of the blocks with the least estimated cost are priced exactly.
const shortlist = 8

// bindBest binds cells of one size and returns how many. Each goes to the block
// that costs the least preempted work among those the guard allows, then to the
// smallest. When failures leave no allowed block it takes the smallest one, and
// at last displaces smaller cells.
func (s *State) bindBest(cells []int32, a model.Accelerators, g *Gang, now time.Time) int {
	if len(cells) == 0 {
		return 0
	}
	size := s.cells[cells[0]].size
	s.choices(size, a, g, now)
	bound := 0
	for bound < len(cells) {
		gd := guard{size: size}
		x, ok := s.choose(&gd, len(cells) == 1, a, g, now)
		if !ok {
			if !s.displace(size) {
				break
			}
			s.choices(size, a, g, now)
			gd = guard{size: size}
			if x, ok = s.choose(&gd, true, a, g, now); !ok {
				break
			}
		}
		s.bind(cells[bound], x.rack, x.start, x.n, x.from)
		bound++
	}
	return bound
}

// choices lists the blocks for a cell of a size, cheapest first.
func (s *State) choices(size, a model.Accelerators, g *Gang, now time.Time) {
	l := s.scratch.choices[:0]
	for r := range s.racks {
		slots := s.racks[r].slots
		for p := 0; p < len(slots); p++ {
			i := slots[p]
			if i < 0 || !s.workers[i].usable() || s.workers[i].cap.acc <= 0 {
				continue
			}
			x := choice{rack: int32(r), start: int32(p), n: int32(max(1, size/s.workers[i].cap.acc))}
			if x.from = s.room(&x, size); x.from == 0 {
				continue
			}
			members := 0
			if x.cost, members = s.cost(-1, x.rack, x.start, x.n, a, g, now); members >= min(g.Shape.Workers, int(x.n)) {
				l = append(l, x)
			}
			p += int(x.n) - 1
		}
	}
	slices.SortStableFunc(l, func(x, y choice) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.from, y.from), cmp.Compare(s.racks[x.rack].free, s.racks[y.rack].free))
	})
	s.scratch.choices = l
}

// room returns the size of the block that a cell would be carved from, 0 when it does not fit.
func (s *State) room(x *choice, size model.Accelerators) model.Accelerators {
	i := s.racks[x.rack].slots[x.start]
	acc := s.workers[i].cap.acc
	switch {
	case size <= acc:
		return s.split(i, size)
	case size%acc == 0 && x.start%x.n == 0 && s.unbound(x.rack, x.start, x.n):
		return acc * model.Accelerators(s.enclosing(x.rack, x.start, x.n))
	}
	return 0
}

// choose takes the best of the choices that still has room.
func (s *State) choose(gd *guard, exact bool, a model.Accelerators, g *Gang, now time.Time) (choice, bool) {
	best, spare, seen := -1, -1, 0
	low := math.Inf(1)
	l := s.scratch.choices
	for k := range l {
		x := &l[k]
		if x.from = s.room(x, gd.size); x.from == 0 {
			continue
		}
		if !s.allows(gd, x.from) {
			if spare < 0 || x.from < l[spare].from {
				spare = k
			}
			continue
		}
		cost := x.cost
		if exact && cost > 0 {
			cost = s.exact(x, a, g, now)
		}
		if best < 0 || cost < low || cost == low && x.from < l[best].from {
			best, low = k, cost
		}
		if seen++; seen == shortlist || !exact || cost == 0 && x.from == gd.size {
			break
		}
	}
	if best < 0 {
		best = spare
	}
	if best < 0 {
		return choice{}, false
	}
	return l[best], true
}

// Promote makes a charged lent gang guaranteed where it runs, when cells of
// its workspace can be bound there without taking room from other cells.
func (s *State) Promote(g *Gang) bool {
	if g.Guaranteed || g.Doomed || len(g.workers) == 0 || !s.Entitled(g.Workspace, &g.Shape) {
		return g.Guaranteed
	}
	a := s.entitled(&g.Shape)
	var opened []int32
	seats := s.scratch.seats[:0]
	for _, i := range g.workers {
		c := s.roomAt(g.Workspace, i, a)
		if c < 0 {
			c = s.openAt(g, i, a)
			if c >= 0 {
				opened = append(opened, c)
			}
		}
		if c < 0 || g.Shape.Workers > 1 && s.cells[c].size < s.maxAcc {
			for _, c := range opened {
				s.unbind(c)
			}
			return false
		}
		seats = append(seats, seat{c, i})
	}
	for _, t := range seats {
		s.enter(g, t.cell, t.worker)
	}
	s.scratch.seats = seats
	g.Guaranteed = true
	s.touch(g)
	return true
}

// roomAt returns a bound cell of the workspace with room on a worker, or -1.
func (s *State) roomAt(ws model.WorkspaceID, i int32, a model.Accelerators) int32 {
	w := &s.workers[i]
	for _, c := range s.cellsOf[ws] {
		x := &s.cells[c]
		if w.rack >= 0 && x.covers(w.rack, w.pos) && x.perWorker()-x.used[w.pos-x.start] >= a {
			return c
		}
	}
	return -1
}

// openAt binds an unbound cell of the gang's workspace around a worker and
// returns it, or -1: the smallest that holds all members, else the largest.
func (s *State) openAt(g *Gang, i int32, a model.Accelerators) int32 {
	w := &s.workers[i]
	if !w.usable() || w.cap.acc <= 0 {
		return -1
	}
	best, bestFrom := int32(-1), model.Accelerators(0)
	for _, c := range s.cellsOf[g.Workspace] {
		x := &s.cells[c]
		if x.n > 0 || best >= 0 && x.size == s.cells[best].size || s.capacity(x.size, a, g.Shape.Workers) == 0 {
			continue
		}
		start, n := around(w, x.size)
		var from model.Accelerators
		switch {
		case x.size <= w.cap.acc:
			from = s.split(i, x.size)
		case x.size%w.cap.acc == 0 && s.unbound(w.rack, start, n):
			from = w.cap.acc * model.Accelerators(s.enclosing(w.rack, start, n))
		}
		if from == 0 || !s.allows(&guard{size: x.size}, from) {
			continue
		}
		best, bestFrom = c, from
		if s.capacity(x.size, a, g.Shape.Workers) >= g.Shape.Workers {
			break
		}
	}
	if best >= 0 {
		start, n := around(w, s.cells[best].size)
		s.bind(best, w.rack, start, n, bestFrom)
	}
	return best
}

// around returns the aligned block for a cell of a size that covers a worker.
func around(w *worker, size model.Accelerators) (start, n int32) {
	n = max(1, int32(size/w.cap.acc))
	return w.pos / n * n, n
}
