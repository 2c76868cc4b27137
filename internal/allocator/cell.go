package allocator

import (
	"cmp"
	"math/bits"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// histogram counts blocks or cells by the logarithm of their size.
type histogram [64]int

func log2(a model.Accelerators) int { return bits.Len64(uint64(a)) - 1 }

func powerOfTwo(a model.Accelerators) bool { return a > 0 && a&(a-1) == 0 }

// addBlocks adds n as a sum of powers of two, largest first.
func (h *histogram) addBlocks(n model.Accelerators, count int) {
	for n > 0 {
		k := log2(n)
		h[k] += count
		n -= 1 << k
	}
}

// carve takes a cell of size c out of a block of size from.
func (h *histogram) carve(from, c model.Accelerators) {
	h[log2(from)]--
	for k := log2(c); k < log2(from); k++ {
		h[k]++
	}
}

// packs reports whether cells fit into the blocks. Largest first is exact,
// since every size is a power of two.
func (h histogram) packs(cells *histogram) bool {
	left := 0
	for k := len(h) - 1; k >= 0; k-- {
		left = min(left*2, 1<<40) + h[k] - cells[k]
		if left < 0 {
			return false
		}
	}
	return true
}

// Feasible packs the cells of all guarantees of a failure domain, largest
// first, into the blocks of its inventory and returns those that do not fit,
// sorted by size and name.
func Feasible(d model.FailureDomain, guarantees map[model.GuaranteeID]model.Guarantee) []model.GuaranteeID {
	var blocks, cells histogram
	for _, r := range d.Racks {
		switch {
		case r.Workers <= 0 || r.Accelerators <= 0:
		case powerOfTwo(r.Accelerators):
			var whole histogram
			whole.addBlocks(model.Accelerators(r.Workers), 1)
			for k, n := range whole {
				if n > 0 {
					blocks[k+log2(r.Accelerators)] += n
				}
			}
		default:
			blocks.addBlocks(r.Accelerators, r.Workers)
		}
	}
	var bad []model.GuaranteeID
	for _, id := range bySize(guarantees) {
		g := guarantees[id]
		if !powerOfTwo(g.Cell) || g.Count < 0 || g.Count > 1<<32 {
			bad = append(bad, id)
			continue
		}
		cells[log2(g.Cell)] += g.Count
		if !blocks.packs(&cells) {
			cells[log2(g.Cell)] -= g.Count
			bad = append(bad, id)
		}
	}
	return bad
}

// bySize orders guarantees by cell size, largest first, then by name.
func bySize(gs map[model.GuaranteeID]model.Guarantee) []model.GuaranteeID {
	ids := make([]model.GuaranteeID, 0, len(gs))
	for id := range gs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.GuaranteeID) int {
		return cmp.Or(cmp.Compare(gs[b].Cell, gs[a].Cell), cmp.Compare(a, b))
	})
	return ids
}

// cell is one guaranteed cell; it is bound to a block while a gang uses it.
type cell struct {
	workspace model.WorkspaceID
	size      model.Accelerators
	rack      int32
	start, n  int32 // workers of the block; n is 0 while unbound
	used      []model.Accelerators
	members   int
}

func (c *cell) covers(rack, pos int32) bool {
	return c.n > 0 && c.rack == rack && pos >= c.start && pos < c.start+c.n
}

func (c *cell) perWorker() model.Accelerators { return c.size / model.Accelerators(c.n) }

// SetCells declares the inventory and the guarantees. Gangs that held cells
// keep them where the new cells allow it, and become lent otherwise.
func (s *State) SetCells(d model.FailureDomain, guarantees map[model.GuaranteeID]model.Guarantee) {
	var held []*Gang
	for c := range s.cells {
		held = append(held, s.dissolve(int32(c))...)
	}
	s.cells, s.wanted = s.cells[:0], histogram{}
	s.share, s.maxAcc = share{}, 0
	for _, r := range d.Racks {
		if r.Workers <= 0 || r.Accelerators <= 0 {
			continue
		}
		a := float64(r.Accelerators)
		x := share{r.Accelerators, float64(r.Cores) / a, float64(r.MemoryMB) / a}
		if s.share.acc > 0 {
			x = share{min(x.acc, s.share.acc), min(x.cores, s.share.cores), min(x.mem, s.share.mem)}
		}
		s.share = x
		s.maxAcc = max(s.maxAcc, r.Accelerators)
	}
	for _, id := range bySize(guarantees) {
		g := guarantees[id]
		if !powerOfTwo(g.Cell) {
			continue
		}
		for range g.Count {
			s.cells = append(s.cells, cell{workspace: g.Workspace, size: g.Cell})
			s.wanted[log2(g.Cell)]++
		}
	}
	s.indexCells()
	for _, g := range held {
		s.Promote(g)
	}
}

// indexCells groups the cells by workspace, smallest first.
func (s *State) indexCells() {
	s.cellsOf = map[model.WorkspaceID][]int32{}
	for c := len(s.cells) - 1; c >= 0; c-- {
		w := s.cells[c].workspace
		s.cellsOf[w] = append(s.cellsOf[w], int32(c))
	}
	for _, cs := range s.cellsOf {
		slices.SortStableFunc(cs, func(a, b int32) int { return cmp.Compare(s.cells[a].size, s.cells[b].size) })
	}
}

// bind gives a cell the block of n workers from start on, carved from a block of size from.
func (s *State) bind(c, rack, start, n int32, from model.Accelerators) {
	x := &s.cells[c]
	s.wanted[log2(x.size)]--
	if s.blocksKnown {
		s.blocks.carve(from, x.size)
	}
	x.rack, x.start, x.n = rack, start, n
	x.used = append(x.used[:0], make([]model.Accelerators, n)...)
	for _, i := range s.racks[rack].slots[start : start+n] {
		s.workers[i].bound += x.perWorker()
	}
}

func (s *State) unbind(c int32) {
	x := &s.cells[c]
	for _, i := range s.racks[x.rack].slots[x.start : x.start+x.n] {
		s.workers[i].bound -= x.perWorker()
	}
	x.n, x.members = 0, 0
	s.wanted[log2(x.size)]++
	s.blocksKnown = false
}

// dissolve unbinds a cell; the gangs in it become lent and are returned.
func (s *State) dissolve(c int32) []*Gang {
	x := &s.cells[c]
	if x.n == 0 {
		return nil
	}
	var out []*Gang
	for _, i := range s.racks[x.rack].slots[x.start : x.start+x.n] {
		for _, t := range s.workers[i].tasks {
			g := t.gang
			if g.Guaranteed && slices.Contains(g.cells, c) {
				out = append(out, g)
			}
		}
	}
	out = slices.CompactFunc(out, func(a, b *Gang) bool { return a == b })
	for _, g := range out {
		s.leaveCells(g)
	}
	if x.n > 0 {
		s.unbind(c)
	}
	return out
}

// enter records that member i of a gang uses a bound cell.
func (s *State) enter(g *Gang, c, worker int32) {
	x := &s.cells[c]
	x.used[s.workers[worker].pos-x.start] += s.entitled(&g.Shape)
	x.members++
	g.cells = append(g.cells, c)
}

// leaveCells makes a gang lent and unbinds the cells it used last.
func (s *State) leaveCells(g *Gang) {
	for k, c := range g.cells {
		x := &s.cells[c]
		if w := &s.workers[g.workers[k]]; w.rack == x.rack {
			x.used[w.pos-x.start] -= s.entitled(&g.Shape)
		}
		if x.members--; x.members == 0 {
			s.unbind(c)
		}
	}
	g.cells = g.cells[:0]
	g.Guaranteed = false
	s.touch(g)
}

// touch has the loads of a gang's workers computed again.
func (s *State) touch(g *Gang) {
	for _, i := range g.workers {
		s.workers[i].load.known = false
	}
}

// Doom marks a gang as being preempted, or takes the mark back.
func (s *State) Doom(g *Gang, doomed bool) {
	g.Doomed = doomed
	s.touch(g)
}
