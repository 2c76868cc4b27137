package allocator

import (
	"slices"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Usage is what the gangs on a worker occupy.
type Usage struct {
	ID           model.HostID
	Health       Health
	Accelerators model.Accelerators
	InUse        model.Accelerators // also of gangs that are being preempted, and of those that wait for their room
}

// Usages returns the usage of all workers with a position, sorted by id.
func (s *State) Usages() []Usage {
	out := make([]Usage, 0, len(s.workers))
	for i := range s.workers {
		if w := &s.workers[i]; w.rack >= 0 {
			out = append(out, Usage{w.id, w.health, w.cap.acc, w.cap.acc - w.free.acc})
		}
	}
	slices.SortFunc(out, func(a, b Usage) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Reclaimable tells whether unbound cells of the workspace hold a gang of the shape, and whether the healthy workers
// have room for all cells, so that PlaceGuaranteed must succeed.
func (s *State) Reclaimable(ws model.WorkspaceID, sh *model.Shape) (unused, healthy bool) {
	a, n := s.entitled(sh), 0
	for _, c := range s.cellsOf[ws] {
		if s.cells[c].n > 0 {
			continue
		}
		k := s.capacity(s.cells[c].size, a, sh.Workers)
		unused = unused || k >= sh.Workers
		n += k
	}
	unused = unused || sh.Span != model.SpanRack && n >= sh.Workers
	if !unused {
		return false, false
	}
	var all histogram
	for c := range s.cells {
		all[log2(s.cells[c].size)]++
	}
	return true, s.healthy().packs(&all)
}
