package allocator

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Health says whether a worker may get new work.
type Health string

// The health states of a worker; only usable workers get new work.
const (
	Usable      Health = "usable"
	Leaving     Health = "leaving"
	Gone        Health = "gone"
	Quarantined Health = "quarantined"
	Probation   Health = "probation" // quarantined, but open to one trial task
)

// Worker describes one worker of the failure domain.
type Worker struct {
	ID           model.HostID
	Rack         model.RackID
	Index        int // position in the rack; negative means the lowest free one
	Accelerators model.Accelerators
	Cores        model.Cores
	MemoryMB     model.Megabytes
	Health       Health // empty means usable
}

// Gang is the allocation of one gang attempt.
type Gang struct {
	ID          model.GangID
	Job         model.JobID
	Workspace   model.WorkspaceID
	Shape       model.Shape
	Members     []model.HostID // worker of each member
	Guaranteed  bool           // holds cells and is not preemptible
	Doomed      bool           // is being preempted; its resources count as soon to be free
	StartedAt   time.Time
	ExpectedEnd time.Time

	workers []int32
	cells   []int32 // cell of each member when guaranteed
	mark    uint64  // epoch in which the gang was last counted as a victim
}

type resources struct {
	acc   model.Accelerators
	cores model.Cores
	mem   model.Megabytes
}

func need(s *model.Shape) resources { return resources{s.Accelerators, s.Cores, s.MemoryMB} }

func (r resources) fits(n resources) bool {
	return r.acc >= n.acc && r.cores >= n.cores && r.mem >= n.mem
}

func (r *resources) add(n resources) { r.acc += n.acc; r.cores += n.cores; r.mem += n.mem }
func (r *resources) sub(n resources) { r.acc -= n.acc; r.cores -= n.cores; r.mem -= n.mem }

func (r resources) over() bool { return r.acc < 0 || r.cores < 0 || r.mem < 0 }

type worker struct {
	id     model.HostID
	rack   int32 // -1 while the worker is only known from an adopted gang
	pos    int32
	health Health
	cap    resources
	free   resources          // negative while a placed gang waits for preempted ones
	bound  model.Accelerators // held by bound cells
	hold   int64              // start of a reservation in Unix nanoseconds, 0 means none
	tasks  []task             // in order of their expected end
	load   load
}

// task is the member of a gang on one worker.
type task struct {
	end  int64 // expected, in Unix nanoseconds
	need resources
	gang *Gang
}

func (w *worker) insert(t task) {
	k, _ := slices.BinarySearchFunc(w.tasks, t.end, func(x task, end int64) int { return cmp.Compare(x.end, end) })
	w.tasks = slices.Insert(w.tasks, k, t)
	w.load.known = false
}

func (w *worker) remove(g *Gang) {
	if k := slices.IndexFunc(w.tasks, func(t task) bool { return t.gang == g }); k >= 0 {
		w.tasks = slices.Delete(w.tasks, k, k+1)
	}
	w.load.known = false
}

// load sums up the gangs of a worker that can or will leave; it is computed when needed.
type load struct {
	known  bool
	lent   resources // of lent gangs that stay so far
	doomed resources // of gangs that are being preempted
	// The work lost by preempting all of lent at a time t, in
	// accelerator-seconds, is rate*t - base with t in Unix seconds.
	rate, base float64
}

func (w *worker) usable() bool { return w.health == Usable && w.rack >= 0 }

type rack struct {
	id      model.RackID
	slots   []int32 // worker by position, -1 means none
	maxFree resources
	free    model.Accelerators
	uniform bool // all workers are usable and have the same room
}

// State holds the workers, gangs and cells of one failure domain; create it with New.
type State struct {
	policy  Policy
	workers []worker
	byID    map[model.HostID]int32
	unused  []int32 // entries of workers that were forgotten
	racks   []rack
	rackBy  map[model.RackID]int32
	cells   []cell
	cellsOf map[model.WorkspaceID][]int32
	share   share
	maxAcc  model.Accelerators // of one worker of the inventory
	mix     []weighted
	epoch   uint64
	held    bool // some worker has a hold
	avoid   []model.HostID

	probation int // workers in probation

	blocksKnown bool
	blocks      histogram // without bound cells, while blocksKnown
	wanted      histogram // cells that are not bound
	scratch     scratch
}

// New returns an empty state that scores placements by the given policy.
func New(p Policy) *State {
	return &State{policy: p, byID: map[model.HostID]int32{}, rackBy: map[model.RackID]int32{}}
}

// Upsert adds a worker or changes its capacity, position or health, and reports whether anything changed.
func (s *State) Upsert(w Worker) bool {
	if w.Health == "" {
		w.Health = Usable
	}
	i, ok := s.byID[w.ID]
	if !ok {
		i = s.placeholder(w.ID)
	}
	x := &s.workers[i]
	c := resources{w.Accelerators, w.Cores, w.MemoryMB}
	if x.rack >= 0 && x.cap == c && x.health == w.Health && s.racks[x.rack].id == w.Rack && (w.Index < 0 || int(x.pos) == w.Index) {
		return false
	}
	if x.cap.acc != c.acc {
		s.vacate(i)
	}
	s.turn(x, w.Health)
	x.free.add(c)
	x.free.sub(x.cap)
	x.cap = c
	s.blocksKnown = false
	if x.rack >= 0 && (s.racks[x.rack].id != w.Rack || w.Index >= 0 && int(x.pos) != w.Index) {
		s.vacate(i)
	}
	if x.rack < 0 {
		s.seat(i, w.Rack, w.Index)
	}
	s.summarize(x.rack)
	return true
}

func (s *State) placeholder(id model.HostID) int32 {
	if n := len(s.unused); n > 0 {
		i := s.unused[n-1]
		s.unused = s.unused[:n-1]
		s.workers[i] = worker{id: id, rack: -1, health: Gone}
		s.byID[id] = i
		return i
	}
	i := int32(len(s.workers))
	s.workers = append(s.workers, worker{id: id, rack: -1, health: Gone})
	s.byID[id] = i
	return i
}

// Remove marks a worker as gone; gangs on it stay charged until freed. It
// keeps its position, in case the host list was wrong, until another worker needs it.
func (s *State) Remove(id model.HostID) {
	i, ok := s.byID[id]
	if !ok {
		return
	}
	s.SetHealth(id, Gone)
	s.retire(i)
}

// retire forgets a worker without a position or gangs, so that replaced
// workers do not add up.
func (s *State) retire(i int32) {
	w := &s.workers[i]
	if w.rack < 0 && w.health == Gone && len(w.tasks) == 0 && s.byID[w.id] == i {
		delete(s.byID, w.id)
		s.unused = append(s.unused, i)
	}
}

// replaceable reports whether a position is empty or belongs to a worker that is gone.
func (s *State) replaceable(i int32) bool {
	return i < 0 || s.workers[i].health == Gone && len(s.workers[i].tasks) == 0
}

// turn changes the health of a worker.
func (s *State) turn(w *worker, h Health) {
	if w.health == Probation {
		s.probation--
	}
	if h == Probation {
		s.probation++
	}
	w.health = h
	s.blocksKnown = false
}

// SetHealth changes the health of a known worker.
func (s *State) SetHealth(id model.HostID, h Health) {
	if i, ok := s.byID[id]; ok {
		s.turn(&s.workers[i], h)
		s.summarize(s.workers[i].rack)
	}
}

// Health returns the health of a worker; unknown workers are gone.
func (s *State) Health(id model.HostID) Health {
	if i, ok := s.byID[id]; ok {
		return s.workers[i].health
	}
	return Gone
}

func (s *State) seat(i int32, id model.RackID, index int) {
	r, ok := s.rackBy[id]
	if !ok {
		r = int32(len(s.racks))
		s.racks = append(s.racks, rack{id: id})
		s.rackBy[id] = r
	}
	rk := &s.racks[r]
	if index < 0 || index < len(rk.slots) && !s.replaceable(rk.slots[index]) {
		index = slices.Index(rk.slots, -1)
		if index < 0 {
			index = slices.IndexFunc(rk.slots, s.replaceable)
		}
		if index < 0 {
			index = len(rk.slots)
		}
	}
	if index < len(rk.slots) && rk.slots[index] >= 0 {
		old := rk.slots[index]
		s.vacate(old)
		s.retire(old)
	}
	for len(rk.slots) <= index {
		rk.slots = append(rk.slots, -1)
	}
	rk.slots[index] = i
	s.blocksKnown = false
	s.workers[i].rack, s.workers[i].pos = r, int32(index)
}

// vacate also dissolves the cells that cover the position; their gangs become lent.
func (s *State) vacate(i int32) {
	w := &s.workers[i]
	if w.rack < 0 {
		return
	}
	for c := range s.cells {
		if s.cells[c].covers(w.rack, w.pos) {
			s.dissolve(int32(c))
		}
	}
	r := w.rack
	s.racks[r].slots[w.pos] = -1
	s.blocksKnown = false
	w.rack = -1
	s.summarize(r)
}

func (s *State) summarize(r int32) {
	if r < 0 {
		return
	}
	rk := &s.racks[r]
	rk.maxFree, rk.free, rk.uniform = resources{}, 0, true
	for _, i := range rk.slots {
		if i < 0 || !s.workers[i].usable() {
			rk.uniform = false
			continue
		}
		f := s.workers[i].free
		rk.uniform = rk.uniform && f == s.workers[rk.slots[0]].free
		rk.maxFree = resources{max(rk.maxFree.acc, f.acc), max(rk.maxFree.cores, f.cores), max(rk.maxFree.mem, f.mem)}
		rk.free += max(0, f.acc)
	}
}

// Charge puts a gang on the workers named by its members, whether or not there is room.
func (s *State) Charge(g *Gang) {
	g.workers = g.workers[:0]
	n := need(&g.Shape)
	for _, id := range g.Members {
		i, ok := s.byID[id]
		if !ok {
			i = s.placeholder(id)
		}
		g.workers = append(g.workers, i)
		w := &s.workers[i]
		w.free.sub(n)
		w.insert(task{g.ExpectedEnd.UnixNano(), n, g})
		s.summarize(w.rack)
	}
}

// Free takes a gang off its workers and out of its cells.
func (s *State) Free(g *Gang) {
	s.leaveCells(g)
	n := need(&g.Shape)
	for _, i := range g.workers {
		w := &s.workers[i]
		w.free.add(n)
		w.remove(g)
		s.summarize(w.rack)
		s.retire(i)
	}
	g.workers = g.workers[:0]
}

// Expect changes the expected end of a gang.
func (s *State) Expect(g *Gang, end time.Time) {
	g.ExpectedEnd = end
	for _, i := range g.workers {
		s.workers[i].remove(g)
		s.workers[i].insert(task{end.UnixNano(), need(&g.Shape), g})
	}
}

// Fits reports whether no worker of a charged gang is over-committed or unusable.
func (s *State) Fits(g *Gang) bool {
	for _, i := range g.workers {
		if s.workers[i].free.over() {
			return false
		}
	}
	return true
}

// Usable reports whether all workers of a charged gang may get new work.
func (s *State) Usable(g *Gang) bool {
	for _, i := range g.workers {
		if !s.workers[i].usable() {
			return false
		}
	}
	return true
}

// Totals returns the usable accelerators and the free ones among them.
func (s *State) Totals() (total, free model.Accelerators) {
	for i := range s.workers {
		if w := &s.workers[i]; w.usable() {
			total += w.cap.acc
			free += max(0, w.free.acc)
		}
	}
	return total, free
}
