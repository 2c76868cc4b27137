package allocator

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// opening is when a worker has room for a member.
type opening struct {
	worker int32
	at     int64
}

// overdue is how long a gang beyond its expected end is expected to run on. A
// short time keeps backfill off the workers that a blocked gang waits for.
const overdue = time.Minute

// opens returns when a worker has room for n, in Unix nanoseconds; false when it never has.
func (s *State) opens(i int32, n resources, now int64) (int64, bool) {
	w := &s.workers[i]
	if !w.cap.fits(n) {
		return 0, false
	}
	s.weigh(w)
	free, at := w.free, now
	free.add(w.load.doomed)
	for k := range w.tasks {
		if free.fits(n) {
			break
		}
		if t := &w.tasks[k]; w.load.doomed == (resources{}) || !t.gang.Doomed {
			free.add(t.need)
			if t.end < now {
				at = max(at, now+int64(overdue))
			}
			at = max(at, t.end)
		}
	}
	return at, free.fits(n)
}

// Earliest returns the workers that have room for a shape first, by the
// expected ends of the gangs on them, and when; workers that a reservation
// holds already are left out.
func (s *State) Earliest(sh *model.Shape, now time.Time) ([]model.HostID, time.Time, bool) {
	n, t := need(sh), now.UnixNano()
	var all, best []opening
	bestAt := int64(0)
	for r := range s.racks {
		from := len(all)
		for _, i := range s.racks[r].slots {
			if i < 0 || !s.workers[i].usable() || s.workers[i].hold != 0 {
				continue
			}
			if at, ok := s.opens(i, n, t); ok {
				all = append(all, opening{i, at})
			}
		}
		if sh.Span != model.SpanRack {
			continue
		}
		in := all[from:]
		slices.SortStableFunc(in, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
		if k := sh.Workers; len(in) >= k && (best == nil || in[k-1].at < bestAt) {
			best, bestAt = slices.Clone(in[:k]), in[k-1].at
		}
		all = all[:from]
	}
	if sh.Span != model.SpanRack && len(all) >= sh.Workers {
		slices.SortStableFunc(all, func(a, b opening) int { return cmp.Compare(a.at, b.at) })
		best, bestAt = all[:sh.Workers], all[sh.Workers-1].at
	}
	if best == nil {
		return nil, time.Time{}, false
	}
	ids := make([]model.HostID, len(best))
	for k, o := range best {
		ids[k] = s.workers[o.worker].id
	}
	return ids, time.Unix(0, bestAt), true
}

// When returns when all the given workers have room for a member of a shape.
func (s *State) When(ids []model.HostID, sh *model.Shape, now time.Time) time.Time {
	t := now.UnixNano()
	at := t
	for _, id := range ids {
		if i, ok := s.byID[id]; ok {
			if o, ok := s.opens(i, need(sh), t); ok {
				at = max(at, o)
			}
		}
	}
	return time.Unix(0, at)
}

// Hold closes workers to lent work that ends after a time; an earlier hold stays in force.
func (s *State) Hold(ids []model.HostID, until time.Time) {
	for _, id := range ids {
		if i, ok := s.byID[id]; ok {
			w := &s.workers[i]
			if t := until.UnixNano(); w.hold == 0 || t < w.hold {
				w.hold = t
			}
		}
	}
	s.held = true
}

// ClearHolds opens all workers that reservations hold.
func (s *State) ClearHolds() {
	if !s.held {
		return
	}
	for i := range s.workers {
		s.workers[i].hold = 0
	}
	s.held = false
}

// AllUsable reports whether all the given workers may get new work.
func (s *State) AllUsable(ids []model.HostID) bool {
	for _, id := range ids {
		if i, ok := s.byID[id]; !ok || !s.workers[i].usable() {
			return false
		}
	}
	return len(ids) > 0
}

// Stuck reports whether a worker of a charged gang is over-committed although no gang on it is being preempted.
func (s *State) Stuck(g *Gang) bool {
	for _, i := range g.workers {
		w := &s.workers[i]
		if w.free.over() && !slices.ContainsFunc(w.tasks, func(t task) bool { return t.gang.Doomed }) {
			return true
		}
	}
	return false
}

// Count returns the number of workers in a health state.
func (s *State) Count(h Health) int {
	n := 0
	for i := range s.workers {
		if s.workers[i].health == h && s.workers[i].rack >= 0 {
			n++
		}
	}
	return n
}
