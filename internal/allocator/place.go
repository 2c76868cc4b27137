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
		if w.health == Probation && w.rack >= 0 && len(w.tasks) == 0 && w.free.fits(n) && !slices.Contains(s.avoid, w.id) {
			s.scratch.list = append(s.scratch.list, int32(i))
			return true
		}
	}
	return false
}

// candidate is a window that holds a shape, scored by best fit.
type candidate struct {
	window
	left model.Accelerators // free in the window
	rack model.Accelerators // free in the rack
}

// candidates bounds the windows that the gradient is computed for. Windows that
// score alike by best fit count once, such as those of idle racks.
const candidates = 16

// offer keeps a candidate when it is among the best so far.
func (s *State) offer(c candidate) {
	l := s.scratch.short
	if n := len(l); n > 0 && (s.policy != Gradient || n == candidates) && c.left >= l[n-1].left && (c.left > l[n-1].left || c.rack >= l[n-1].rack) {
		return
	}
	k, same := slices.BinarySearchFunc(l, c, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.left, b.left), cmp.Compare(a.rack, b.rack))
	})
	most := candidates
	if s.policy != Gradient || len(s.mix) == 0 {
		most = 1
	}
	if same || k >= most {
		return
	}
	if len(l) == most {
		l = l[:most-1]
	}
	s.scratch.short = slices.Insert(l, k, c)
}

// pick returns the candidate with the least gradient; best fit decides among equals.
func (s *State) pick(n resources, k int, end int64) (window, bool) {
	l := s.scratch.short
	if len(l) == 0 {
		return window{}, false
	}
	best, low := 0, math.Inf(1)
	if len(l) > 1 && n.acc > 0 {
		for i, c := range l {
			t := s.tightest(c.window, n, k, end)
			if g := s.gradient(c.window.rack, n, t); g < low {
				best, low = i, g
			}
		}
	}
	return l[best].window, true
}

// alikeIn reports whether one window of a rack stands for all of its size.
func (s *State) alikeIn(rk *rack) bool {
	return rk.uniform && !s.held && len(s.avoid) == 0
}

// placeOne chooses the worker with the least score; among equals the fullest rack.
func (s *State) placeOne(n resources, end int64) {
	s.scratch.short = s.scratch.short[:0]
	for r := range s.racks {
		rk := &s.racks[r]
		if !rk.maxFree.fits(n) {
			continue
		}
		for p, i := range rk.slots {
			if !s.open(i, n, end) {
				continue
			}
			if s.policy == FirstFit {
				s.scratch.list = append(s.scratch.list, i)
				return
			}
			s.offer(candidate{window{int32(r), int32(p), 1, 1}, s.workers[i].free.acc, rk.free})
			if s.alikeIn(rk) {
				break
			}
		}
	}
	if w, ok := s.pick(n, 1, end); ok {
		s.tightest(w, n, 1, end)
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
		s.scratch.short = s.scratch.short[:0]
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
				if fits >= k {
					s.offer(candidate{window{int32(r), int32(p), int32(q - p), fits}, left, rk.free})
					if s.alikeIn(rk) {
						break
					}
				}
			}
			if s.policy == FirstFit && len(s.scratch.short) > 0 {
				break
			}
		}
		if w, ok := s.pick(n, k, end); ok {
			s.tightest(w, n, k, end)
			return
		}
	}
}

// tightest returns the k workers of a window with the least free accelerators,
// in order of position, and leaves them in the scratch list.
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
