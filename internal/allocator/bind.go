package allocator

import (
	"math"
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

// blocks counts the blocks that no cell is bound to.
func (s *State) blocks() (h histogram) {
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

// demand counts the unbound cells.
func (s *State) demand() (h histogram) {
	for c := range s.cells {
		if s.cells[c].n == 0 {
			h[log2(s.cells[c].size)]++
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

// guard tells for each block size whether carving a cell there leaves room for
// all cells that are not bound. While that holds before every binding, every
// unbound cell can always be bound.
type guard struct {
	blocks, demand histogram
	size           model.Accelerators
	known          [64]int8
}

func (s *State) guard(size model.Accelerators) guard {
	g := guard{blocks: s.blocks(), demand: s.demand(), size: size}
	g.demand[log2(size)]--
	return g
}

func (g *guard) allows(from model.Accelerators) bool {
	k := log2(from)
	if g.known[k] == 0 {
		h := g.blocks
		h.carve(from, g.size)
		g.known[k] = -1
		if h.packs(&g.demand) {
			g.known[k] = 1
		}
	}
	return g.known[k] > 0
}

// bindBest binds a cell to the block that costs the least preempted work among
// those the guard allows, then to the smallest block. When failures leave no
// allowed block it takes the smallest one.
func (s *State) bindBest(c int32, a model.Accelerators, g *Gang, now time.Time) bool {
	return s.bindIn(c, a, g, now, false)
}

// bindIn does the work of bindBest; again is set after smaller cells were displaced.
func (s *State) bindIn(c int32, a model.Accelerators, g *Gang, now time.Time, again bool) bool {
	size := s.cells[c].size
	gd := s.guard(size)
	type choice struct {
		rack, start, n int32
		allowed        bool
		cost           float64
		from           model.Accelerators
	}
	best := choice{n: 0, cost: math.Inf(1)}
	consider := func(rack, start, n int32, from model.Accelerators) {
		x := choice{rack: rack, start: start, n: n, from: from, allowed: gd.allows(from)}
		if best.allowed && !x.allowed {
			return
		}
		if best.n > 0 && best.allowed && best.cost == 0 && best.from <= from {
			return
		}
		members := 0
		x.cost, members = s.cost(-1, rack, start, n, a, g, now)
		if members < min(g.Shape.Workers, int(n)) {
			return
		}
		switch {
		case best.n == 0, x.allowed && !best.allowed:
			best = x
		case x.allowed && (x.cost < best.cost || x.cost == best.cost && x.from < best.from):
			best = x
		case !x.allowed && (x.from < best.from || x.from == best.from && x.cost < best.cost):
			best = x
		}
	}
	for r := range s.racks {
		slots := s.racks[r].slots
		for p := int32(0); int(p) < len(slots); {
			i := slots[p]
			if i < 0 || s.workers[i].cap.acc <= 0 {
				p++
				continue
			}
			acc := s.workers[i].cap.acc
			if size <= acc {
				if from := s.split(i, size); from > 0 {
					consider(int32(r), p, 1, from)
				}
				p++
				continue
			}
			n := int32(size / acc)
			if p%n == 0 && size%acc == 0 && s.unbound(int32(r), p, n) {
				consider(int32(r), p, n, acc*model.Accelerators(s.enclosing(int32(r), p, n)))
				p += n
				continue
			}
			p++
		}
	}
	if best.n == 0 {
		return !again && s.displace(size) && s.bindIn(c, a, g, now, true)
	}
	s.bind(c, best.rack, best.start, best.n)
	return true
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
	best := int32(-1)
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
		gd := s.guard(x.size)
		if from == 0 || !gd.allows(from) {
			continue
		}
		best = c
		if s.capacity(x.size, a, g.Shape.Workers) >= g.Shape.Workers {
			break
		}
	}
	if best >= 0 {
		start, n := around(w, s.cells[best].size)
		s.bind(best, w.rack, start, n)
	}
	return best
}

// around returns the aligned block for a cell of a size that covers a worker.
func around(w *worker, size model.Accelerators) (start, n int32) {
	n = max(1, int32(size/w.cap.acc))
	return w.pos / n * n, n
}
