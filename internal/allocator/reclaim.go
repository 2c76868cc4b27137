package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// share is what one accelerator of a cell brings along: the smallest
// proportion of any rack, so that gangs in cells never compete for cores or memory.
type share struct {
	acc   model.Accelerators // smallest worker
	cores float64            // per accelerator
	mem   float64            // per accelerator
}

type seat struct{ cell, worker int32 }

type scratch struct {
	seats   []seat
	costs   []workerCost
	victims []*Gang
	windows []window
	short   []candidate
	list    []int32
	cells   []int32
	choices []choice
}

type workerCost struct {
	worker int32
	cost   float64
	free   model.Accelerators // of the worker
}

// entitled returns the accelerators of a cell that a member takes up,
// which is more than its own when it wants more than their share of cores or memory.
func (s *State) entitled(sh *model.Shape) model.Accelerators {
	a := float64(sh.Accelerators)
	if sh.Cores > 0 {
		a = max(a, math.Ceil(float64(sh.Cores)/s.share.cores))
	}
	if sh.MemoryMB > 0 {
		a = max(a, math.Ceil(float64(sh.MemoryMB)/s.share.mem))
	}
	return model.Accelerators(min(a, 1<<30))
}

// capacity returns how many members of a gang an unbound cell of a size surely holds, each on its own worker.
func (s *State) capacity(size, a model.Accelerators, members int) int {
	switch {
	case a > s.share.acc || a > size:
		return 0
	case members == 1:
		return 1
	case size < s.maxAcc:
		return 0 // two such cells may share a worker
	}
	return int(size / s.maxAcc)
}

// Entitled reports whether the cells of a workspace, when all unused, hold a gang of the shape.
func (s *State) Entitled(w model.WorkspaceID, sh *model.Shape) bool {
	cs := s.cellsOf[w]
	if len(cs) == 0 || sh.Accelerators <= 0 {
		return false
	}
	a, n := s.entitled(sh), 0
	for k := len(cs) - 1; k >= 0; k-- {
		c := s.capacity(s.cells[cs[k]].size, a, sh.Workers)
		if c >= sh.Workers {
			return true
		}
		n += c
	}
	return sh.Span != model.SpanRack && n >= sh.Workers
}

// PlaceGuaranteed puts a gang into cells of its workspace and charges it. The
// gang may start once the victims, lent gangs to preempt, have left; Fits tells.
func (s *State) PlaceGuaranteed(g *Gang, now time.Time) (victims []*Gang, ok bool) {
	sh := &g.Shape
	if sh.Accelerators <= 0 || !s.seatOne(g, now) && (sh.Span == model.SpanRack || !s.seatMany(g, now)) {
		return nil, false
	}
	seats := s.scratch.seats
	g.Members, g.cells = g.Members[:0], g.cells[:0]
	s.epoch++
	s.scratch.victims = s.scratch.victims[:0]
	for _, t := range seats {
		s.victims(t.worker, need(sh), now, true)
		g.Members = append(g.Members, s.workers[t.worker].id)
		s.enter(g, t.cell, t.worker)
	}
	g.Guaranteed = true
	s.Charge(g)
	for _, v := range s.scratch.victims {
		s.Doom(v, true)
	}
	return s.scratch.victims, true
}

// seatOne finds one cell for all members: a bound one with room, else the smallest unbound one.
func (s *State) seatOne(g *Gang, now time.Time) bool {
	a, k := s.entitled(&g.Shape), g.Shape.Workers
	best, bestCost := int32(-1), math.Inf(1)
	for _, c := range s.cellsOf[g.Workspace] {
		x := &s.cells[c]
		if x.n == 0 || x.perWorker() < a || int(x.n) < k {
			continue
		}
		if cost, n := s.cost(c, x.rack, x.start, x.n, a, g, now); n >= k && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best < 0 {
		last := model.Accelerators(0)
		for _, c := range s.cellsOf[g.Workspace] {
			x := &s.cells[c]
			if x.n > 0 || x.size == last || s.capacity(x.size, a, k) < k {
				continue
			}
			last = x.size
			if s.bindBest([]int32{c}, a, g, now) == 1 {
				best = c
				break
			}
		}
	}
	s.scratch.seats = s.scratch.seats[:0]
	return best >= 0 && s.take(best, a, k, g, now) == k
}

// seatMany spreads the members over several cells, bound ones first, then the largest.
func (s *State) seatMany(g *Gang, now time.Time) bool {
	a, k := s.entitled(&g.Shape), g.Shape.Workers
	s.scratch.seats = s.scratch.seats[:0]
	if k == 1 {
		return false
	}
	cs := s.cellsOf[g.Workspace]
	var opened []int32
	for _, c := range cs {
		if s.cells[c].n > 0 && s.cells[c].size >= s.maxAcc && k > 0 {
			k -= s.take(c, a, k, g, now)
		}
	}
	for i := len(cs) - 1; i >= 0 && k > 0; {
		size := s.cells[cs[i]].size
		per := s.capacity(size, a, g.Shape.Workers)
		batch := s.scratch.cells[:0]
		for ; i >= 0 && s.cells[cs[i]].size == size; i-- {
			if per > 0 && s.cells[cs[i]].n == 0 && len(batch)*per < k {
				batch = append(batch, cs[i])
			}
		}
		s.scratch.cells = batch
		for _, c := range batch[:s.bindBest(batch, a, g, now)] {
			opened = append(opened, c)
			k -= s.take(c, a, k, g, now)
		}
	}
	if k > 0 {
		for _, c := range opened {
			s.unbind(c)
		}
	}
	return k == 0
}

// take adds the k cheapest workers of a bound cell to the seats and returns how many it found.
func (s *State) take(c int32, a model.Accelerators, k int, g *Gang, now time.Time) int {
	x := &s.cells[c]
	_, n := s.cost(c, x.rack, x.start, x.n, a, g, now)
	k = min(k, n)
	for _, w := range s.scratch.costs[:k] {
		s.scratch.seats = append(s.scratch.seats, seat{c, w.worker})
	}
	return k
}

// estimate prices the room for a member on a worker as a part of all its lent
// work, which takes no look at single gangs; false when there is no such room.
func (s *State) estimate(i int32, n resources, now time.Time) (float64, bool) {
	w := &s.workers[i]
	if w.free.fits(n) {
		return 0, true
	}
	s.weigh(w)
	l := &w.load
	free := w.free
	free.add(l.doomed)
	if free.fits(n) {
		return 0, true
	}
	part := 0.0
	for _, d := range [...][3]float64{
		{float64(n.acc), float64(free.acc), float64(l.lent.acc)},
		{float64(n.cores), float64(free.cores), float64(l.lent.cores)},
		{float64(n.mem), float64(free.mem), float64(l.lent.mem)},
	} {
		if lack := d[0] - d[1]; lack > d[2] {
			return 0, false
		} else if lack > 0 {
			part = max(part, lack/d[2])
		}
	}
	return part * (l.rate*float64(now.UnixMilli())/1000 - l.base), true
}

// weigh computes the load of a worker when it is not known.
func (s *State) weigh(w *worker) {
	l := &w.load
	if l.known {
		return
	}
	*l = load{known: true}
	for _, t := range w.tasks {
		switch g := t.gang; {
		case g.Doomed:
			l.doomed.add(t.need)
		case !g.Guaranteed:
			l.lent.add(t.need)
			r := float64(g.Shape.Total() + 1)
			l.rate += r
			l.base += r * (float64(g.StartedAt.UnixMilli())/1000 - restart)
		}
	}
}

// exact prices a block like cost, by the gangs that would be preempted; each counts once.
func (s *State) exact(x *choice, a model.Accelerators, g *Gang, now time.Time) float64 {
	_, n := s.cost(-1, x.rack, x.start, x.n, a, g, now)
	s.epoch++
	sum := 0.0
	for _, w := range s.scratch.costs[:min(n, g.Shape.Workers)] {
		c, _ := s.victims(w.worker, need(&g.Shape), now, false)
		sum += c
	}
	return sum
}

// cost estimates the price of the cheapest workers of a block for the members of a gang, and
// returns how many workers can hold one; c is the bound cell or negative.
func (s *State) cost(c, rack, start, n int32, a model.Accelerators, g *Gang, now time.Time) (float64, int) {
	costs := s.scratch.costs[:0]
	for p := start; p < start+n; p++ {
		i := s.racks[rack].slots[p]
		if i < 0 || !s.workers[i].usable() {
			continue
		}
		if c >= 0 && s.cells[c].perWorker()-s.cells[c].used[p-start] < a {
			continue
		}
		if v, ok := s.estimate(i, need(&g.Shape), now); ok {
			costs = append(costs, workerCost{i, v, s.workers[i].free.acc})
		}
	}
	slices.SortStableFunc(costs, func(x, y workerCost) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.free, y.free))
	})
	s.scratch.costs = costs
	sum := 0.0
	for _, w := range costs[:min(len(costs), g.Shape.Workers)] {
		sum += w.cost
	}
	return sum, len(costs)
}

// victims chooses the cheapest lent gangs of a worker whose end makes room. A
// gang counted in the current epoch is free of charge. When keep is set the
// gangs are appended to the scratch list.
func (s *State) victims(i int32, n resources, now time.Time, keep bool) (float64, bool) {
	w := &s.workers[i]
	free := w.free
	if free.fits(n) {
		return 0, true
	}
	for _, t := range w.tasks {
		g := t.gang
		if g.Doomed || g.mark == s.epoch {
			free.add(need(&g.Shape))
		}
	}
	total := 0.0
	for !free.fits(n) {
		var best *Gang
		low := math.Inf(1)
		for _, t := range w.tasks {
			g := t.gang
			m := need(&g.Shape)
			helps := free.acc < n.acc && m.acc > 0 || free.cores < n.cores && m.cores > 0 || free.mem < n.mem && m.mem > 0
			if g.Guaranteed || g.Doomed || g.mark == s.epoch || !helps {
				continue
			}
			if c := lost(g, now); c < low {
				best, low = g, c
			}
		}
		if best == nil {
			return 0, false
		}
		best.mark = s.epoch
		free.add(need(&best.Shape))
		total += low
		if keep {
			s.scratch.victims = append(s.scratch.victims, best)
		}
	}
	return total, true
}

// restart is the time to start a preempted gang again, in seconds. It keeps
// gangs that just started from being free of charge.
const restart = 10

// lost is the work that preempting a gang puts at risk, in accelerator-seconds.
func lost(g *Gang, now time.Time) float64 {
	return float64(g.Shape.Total()+1) * (restart + max(0, now.Sub(g.StartedAt).Seconds()))
}
