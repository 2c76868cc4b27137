package allocator

import (
	"cmp"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// displace makes room for a cell where failures and recoveries of workers have
// scattered smaller bound cells: it dissolves the smaller cells of the block
// with the least bound accelerators. Their gangs become lent and get cells
// elsewhere, which exist when the healthy workers hold all cells. Only smaller
// cells give way, so that cells never displace each other in turn.
func (s *State) displace(size model.Accelerators) bool {
	healthy, all := s.healthy(), histogram{}
	for c := range s.cells {
		all[log2(s.cells[c].size)]++
	}
	if !healthy.packs(&all) {
		return false
	}
	var best []int32
	low := model.Accelerators(-1)
	for r := range s.racks {
		slots := s.racks[r].slots
		for p := range slots {
			i := slots[p]
			if i < 0 || !s.workers[i].usable() || s.workers[i].cap.acc <= 0 {
				continue
			}
			acc := s.workers[i].cap.acc
			n := max(1, int(size/acc))
			if p%n != 0 || p+n > len(slots) || n > 1 && !s.alike(slots[p:p+n]) || n == 1 && size > acc {
				continue
			}
			cells, bound, ok := s.smaller(int32(r), int32(p), int32(n), size)
			if ok && (low < 0 || bound < low) {
				best, low = cells, bound
			}
		}
	}
	if low < 0 {
		return false
	}
	for _, c := range best {
		s.dissolve(c)
	}
	return true
}

// alike reports whether workers are usable and have the same power of two of accelerators.
func (s *State) alike(slots []int32) bool {
	for _, i := range slots {
		if i < 0 || !s.workers[i].usable() || s.workers[i].cap.acc != s.workers[slots[0]].cap.acc {
			return false
		}
	}
	return powerOfTwo(s.workers[slots[0]].cap.acc)
}

// smaller returns the bound cells that must leave a block for a cell of a
// size, and their accelerators; false when a cell of that size or more is in the way.
func (s *State) smaller(rack, start, n int32, size model.Accelerators) (cells []int32, bound model.Accelerators, ok bool) {
	for c := range s.cells {
		x := &s.cells[c]
		if x.n == 0 || x.rack != rack || x.start+x.n <= start || x.start >= start+n {
			continue
		}
		if x.size < size {
			cells = append(cells, int32(c))
		} else if n > 1 || x.n > 1 {
			return nil, 0, false
		}
	}
	slices.SortFunc(cells, func(a, b int32) int {
		return cmp.Or(cmp.Compare(s.cells[a].size, s.cells[b].size), cmp.Compare(a, b))
	})
	if n > 1 {
		for _, c := range cells {
			bound += s.cells[c].size
		}
		return cells, bound, true
	}
	w := &s.workers[s.racks[rack].slots[start]]
	room := w.cap.acc - w.bound
	for k, c := range cells {
		if room >= size {
			return cells[:k], bound, true
		}
		room += s.cells[c].size
		bound += s.cells[c].size
	}
	return cells, bound, room >= size
}

// healthy counts the blocks of usable workers as if no cell were bound.
func (s *State) healthy() (h histogram) {
	for r := range s.racks {
		slots := s.racks[r].slots
		for p := 0; p < len(slots); {
			i := slots[p]
			if i < 0 || !s.workers[i].usable() {
				p++
				continue
			}
			if !s.alike(slots[p : p+1]) {
				h.addBlocks(s.workers[i].cap.acc, 1)
				p++
				continue
			}
			n := 1
			for p%(2*n) == 0 && p+2*n <= len(slots) && s.alike(slots[p:p+2*n]) {
				n *= 2
			}
			h[log2(s.workers[i].cap.acc)+log2(model.Accelerators(n))]++
			p += n
		}
	}
	return h
}

// Holders returns the gangs in cells of a workspace, those that started last first.
func (s *State) Holders(ws model.WorkspaceID) []*Gang {
	var out []*Gang
	s.epoch++
	for _, c := range s.cellsOf[ws] {
		x := &s.cells[c]
		if x.n == 0 {
			continue
		}
		for _, i := range s.racks[x.rack].slots[x.start : x.start+x.n] {
			for _, t := range s.workers[i].tasks {
				g := t.gang
				if g.Guaranteed && g.Workspace == ws && g.mark != s.epoch {
					g.mark = s.epoch
					out = append(out, g)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *Gang) int {
		return cmp.Or(b.StartedAt.Compare(a.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Demote makes a guaranteed gang lent; it runs on until its room is needed.
func (s *State) Demote(g *Gang) { s.leaveCells(g) }
