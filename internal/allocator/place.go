package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Limits narrows where a shape may be placed.
type Limits struct {
	End   time.Time      // expected end of the work, for workers that a reservation holds
	Avoid []model.HostID // workers the job has failed on
	Trial bool           // a shape of one worker goes to an empty worker in probation first
}

type window struct {
	rack, start, n int32
	fits           int
}

// open reports whether a worker has room for n until end; workers that a
// reservation holds are open only to work that ends before it begins.
func (s *State) open(i int32, n resources, end int64) bool {
	if i < 0 {
		return false
	}
	w := &s.workers[i]
	return w.free.fits(n) && w.usable() && (w.hold == 0 || end <= w.hold) && (len(s.avoid) == 0 || !slices.Contains(s.avoid, w.id))
}

// Place finds workers with room for a shape within limits; it charges nothing.
func (s *State) Place(sh *model.Shape, lim Limits) ([]model.HostID, bool) {
	n, e := need(sh), lim.End.UnixNano()
	s.scratch.list, s.avoid = s.scratch.list[:0], lim.Avoid
	switch {
	case sh.Workers <= 0:
		return nil, false
	case sh.Workers == 1 && lim.Trial && s.placeTrial(n):
	case sh.Workers == 1:
		s.placeOne(n, e)
	case sh.Span == model.SpanRack:
		s.placeRack(n, sh.Workers, e)
	default:
		s.placeDomain(n, sh.Workers, e)
	}
	if len(s.scratch.list) < sh.Workers {
		return nil, false
	}
	out := make([]model.HostID, sh.Workers)
	for k, i := range s.scratch.list[:sh.Workers] {
		out[k] = s.workers[i].id
	}
	return out, true
}

// placeTrial chooses an empty worker in probation.
func (s *State) placeTrial(n resources) bool {
	if s.probation == 0 {
		return false
	}
	for i := range s.workers {
		w := &s.workers[i]
		if w.health == Probation && w.rack >= 0 && len(w.gangs) == 0 && w.free.fits(n) && !slices.Contains(s.avoid, w.id) {
			s.scratch.list = append(s.scratch.list, int32(i))
			return true
		}
	}
	return false
}

// placeOne chooses the worker with the least score; among equals the fullest rack.
func (s *State) placeOne(n resources, end int64) {
	best, low := int32(-1), [3]float64{math.Inf(1)}
	for r := range s.racks {
		rk := &s.racks[r]
		if !rk.maxFree.fits(n) {
			continue
		}
		last := resources{acc: -1}
		for _, i := range rk.slots {
			if !s.open(i, n, end) {
				continue
			}
			if s.policy == FirstFit {
				s.scratch.list = append(s.scratch.list, i)
				return
			}
			f := s.workers[i].free
			if f == last {
				continue
			}
			last = f
			score := [3]float64{0, float64(f.acc - n.acc), float64(rk.free)}
			if s.policy == Gradient && n.acc > 0 {
				score[0] = s.gradient(int32(r), n, func(k int32) bool { return k == i })
			}
			if slices.Compare(score[:], low[:]) < 0 {
				best, low = i, score
			}
		}
	}
	if best >= 0 {
		s.scratch.list = append(s.scratch.list, best)
	}
}

// placeRack chooses the smallest aligned window of one rack that holds all
// members, and among windows of that size the one with the least score.
func (s *State) placeRack(n resources, k int, end int64) {
	widest := 0
	for r := range s.racks {
		widest = max(widest, len(s.racks[r].slots))
	}
	size := 1
	for size < k {
		size *= 2
	}
	for ; size < 2*widest; size *= 2 {
		best, low := window{}, [3]float64{math.Inf(1)}
		for r := range s.racks {
			rk := &s.racks[r]
			if !rk.maxFree.fits(n) || len(rk.slots) < k {
				continue
			}
			for p := 0; p < len(rk.slots); p += size {
				q := min(p+size, len(rk.slots))
				fits := 0
				var left model.Accelerators
				for _, i := range rk.slots[p:q] {
					if s.open(i, n, end) {
						fits++
						left += s.workers[i].free.acc
					}
				}
				if fits < k {
					continue
				}
				w := window{int32(r), int32(p), int32(q - p), fits}
				score := [3]float64{0, float64(left), float64(rk.free)}
				if s.policy == Gradient {
					l := s.tightest(w, n, k, end)
					score[0] = s.gradient(int32(r), n, func(i int32) bool { return slices.Contains(l, i) })
				}
				if best.n == 0 || slices.Compare(score[:], low[:]) < 0 {
					best, low = w, score
				}
				if s.policy == FirstFit {
					break
				}
			}
		}
		if best.n > 0 {
			s.scratch.list = s.tightest(best, n, k, end)
			return
		}
	}
}

// tightest returns the k workers of a window with the least free accelerators, in order of position.
func (s *State) tightest(w window, n resources, k int, end int64) []int32 {
	l := s.scratch.list[:0]
	for _, i := range s.racks[w.rack].slots[w.start : w.start+w.n] {
		if s.open(i, n, end) {
			l = append(l, i)
		}
	}
	if s.policy != FirstFit {
		slices.SortStableFunc(l, func(a, b int32) int { return cmp.Compare(s.workers[a].free.acc, s.workers[b].free.acc) })
	}
	l = l[:min(k, len(l))]
	slices.SortFunc(l, func(a, b int32) int { return cmp.Compare(s.workers[a].pos, s.workers[b].pos) })
	s.scratch.list = l
	return l
}

// placeDomain fills whole racks, those with the most room first, and puts the
// rest into the rack with the least room that holds it.
func (s *State) placeDomain(n resources, k int, end int64) {
	ws := s.scratch.windows[:0]
	total := 0
	for r := range s.racks {
		rk := &s.racks[r]
		if !rk.maxFree.fits(n) {
			continue
		}
		fits := 0
		for _, i := range rk.slots {
			if s.open(i, n, end) {
				fits++
			}
		}
		if fits > 0 {
			ws = append(ws, window{int32(r), 0, int32(len(rk.slots)), fits})
			total += fits
		}
	}
	s.scratch.windows = ws
	if total < k {
		return
	}
	if s.policy != FirstFit {
		slices.SortStableFunc(ws, func(a, b window) int {
			return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(s.racks[a.rack].free, s.racks[b.rack].free))
		})
	}
	var all []int32
	for x := 0; x < len(ws) && len(all) < k; x++ {
		w := ws[x]
		rest := k - len(all)
		if s.policy != FirstFit && w.fits >= rest {
			for x+1 < len(ws) && ws[x+1].fits >= rest {
				x++
			}
			w = ws[x]
		}
		all = append(all, s.tightest(w, n, min(rest, w.fits), end)...)
	}
	s.scratch.list = append(s.scratch.list[:0], all...)
}
