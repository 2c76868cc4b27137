package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// unit is work that can start now: a whole gang, or the waiting tasks of a step.
type unit struct {
	step  *step
	tasks []*task
	rank  placer.Rank
	later bool // its members still stop, or it pauses; until then its room is kept
}

// plan starts what has room, most urgent first, and makes room by stopping less urgent work.
func (d *Dispatcher) plan(now time.Time) {
	units := d.units(now)
	if len(units) == 0 && now.Sub(d.observedAt) < observeEvery {
		return
	}
	p := newPlan(d, now)
	p.reserve(units)
	for _, u := range units {
		p.unit(u)
	}
}

// units returns the work whose turn has come, in the order in which it is served.
func (d *Dispatcher) units(now time.Time) []*unit {
	ranks := d.ranks()
	var out []*unit
	for _, j := range d.jobs {
		if j.state.IsFinal() || j.old && !d.settled {
			continue
		}
		for _, s := range j.steps {
			if s.spec.Gang && s.returning(now) {
				out = append(out, &unit{step: s, tasks: s.tasks, rank: ranks[j], later: true})
				continue
			}
			if !s.ready(now) || s.spec.Gang && !s.idle() {
				continue
			}
			if tasks := d.waiting(s, now); len(tasks) > 0 && (!s.spec.Gang || len(tasks) == len(s.tasks)) {
				out = append(out, &unit{step: s, tasks: tasks, rank: ranks[j]})
			}
		}
	}
	slices.SortFunc(out, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.step.job.order, b.step.job.order),
			cmp.Compare(a.step.ref.Occurrence, b.step.ref.Occurrence), cmp.Compare(a.step.ref.Step, b.step.ref.Step))
	})
	return out
}

// waiting returns the tasks of a step that have no run.
func (d *Dispatcher) waiting(s *step, now time.Time) []*task {
	var out []*task
	for _, t := range s.tasks {
		if !t.done && t.active == nil && !t.notBefore.After(now) && !d.pending(t, now) {
			out = append(out, t)
		}
	}
	return out
}

// ranks orders jobs by priority; of the first priority, jobs within the guarantee of their workspace come first.
func (d *Dispatcher) ranks() map[*job]placer.Rank {
	out := make(map[*job]placer.Rank, len(d.jobs))
	jobs := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
	used := map[model.WorkspaceID]model.Accelerators{}
	for _, j := range jobs {
		out[j] = placer.Rank(2*j.sub.Queue.Priority + 1)
		ws := j.sub.Workspace
		if j.sub.Queue.Priority == 0 && used[ws]+j.needGPU <= d.limits.Guaranteed[ws] {
			used[ws] += j.needGPU
			out[j]--
		}
	}
	return out
}

// plan is the state of one pass.
type plan struct {
	d       *Dispatcher
	now     time.Time
	ranks   map[*job]placer.Rank
	nodes   []*placer.Node
	workers map[*placer.Node]*worker
	node    map[*worker]*placer.Node
	claimed map[*worker]model.Resources
	blocks  []victim            // by the id of the block
	noRoom  map[requestKey]bool // requests that found no room in this pass
	racks   map[requestKey]bool // whether a rack could hold a gang
	last    placer.Rank         // of the least urgent work that runs
	pools   map[model.ServiceID]*pool
	filled  bool // the nodes list what may give way
}

func newPlan(d *Dispatcher, now time.Time) *plan {
	p := &plan{
		d: d, now: now, workers: map[*placer.Node]*worker{}, node: map[*worker]*placer.Node{}, noRoom: map[requestKey]bool{},
		racks: map[requestKey]bool{}, pools: map[model.ServiceID]*pool{},
	}
	p.claimed = d.claims(now)
	for _, w := range d.workers {
		if !w.listed {
			continue
		}
		n := &placer.Node{
			ID: w.info.ID, Service: w.info.Service, Domain: w.info.FailureDomain, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: p.free(w), Unschedulable: !w.open(now), Suspicion: w.doubt, KnownHealthy: w.proven(now), LastSuccessAt: w.doneAt, Slowness: w.slowness,
		}
		p.nodes = append(p.nodes, n)
		p.workers[n], p.node[w] = w, n
	}
	slices.SortFunc(p.nodes, func(a, b *placer.Node) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
	return p
}

func (p *plan) unit(u *unit) {
	if u.later {
		p.keepVacated(u.step)
		return
	}
	if u.step.claim != nil {
		p.startClaimed(u)
		return
	}
	if !p.withinQuota(u) {
		return
	}
	r := p.request(u)
	k := keyOf(r)
	if p.noRoom[k] {
		return // an equal request has found none in this pass
	}
	if places := placer.Place(p.nodes, r); len(places) > 0 {
		p.start(u, places)
		if len(places) == len(u.tasks) {
			return
		}
		u.tasks = u.tasks[len(places):]
		r = p.request(u)
	}
	if u.rank >= p.lastRank() {
		p.noRoom[k] = len(r.RunningPerWorker)+len(r.Excluded) == 0
		return // nothing that runs is less urgent
	}
	places, victims := p.reclaimable(u)
	if places == nil {
		p.keepRoom(u, r)
		return
	}
	p.reclaim(u, places, victims)
}

// fitsRack reports whether a rack could hold the gang of the request if it were empty.
func (p *plan) fitsRack(r *placer.Request) bool {
	k := keyOf(r)
	fits, known := p.racks[k]
	if !known {
		fits = placer.FitsRack(p.nodes, r)
		p.racks[k] = fits
	}
	return fits
}

// requestKey holds what decides whether a request finds room.
type requestKey struct {
	need    model.Resources
	service model.ServiceID
	label   string
	rack    model.RackID
	most    int
	count   int // of a gang; other tasks are placed one by one
	oneRack bool
	careful bool
	proven  bool
	since   time.Time
	from    int
}

func keyOf(r *placer.Request) requestKey {
	k := requestKey{
		need: r.Need, service: r.Service, label: r.Label, rack: r.NearRack, most: r.MaxPerWorker, oneRack: r.OneRack,
		careful: r.ExcludeSuspected, proven: r.RequireKnownHealthy, since: r.SuccessAfter, from: r.HeadroomNodes,
	}
	if r.Gang {
		k.count = r.Count
	}
	return k
}

// lastRank returns the rank of the least urgent work that runs.
func (p *plan) lastRank() placer.Rank {
	p.fill()
	return p.last
}

func (p *plan) request(u *unit) *placer.Request {
	s := u.step
	r := &placer.Request{
		Count: len(u.tasks), Need: s.spec.Need, Service: s.job.sub.Queue.Service, Rank: u.rank, Gang: s.spec.Gang, OneRack: s.spec.OneRack && s.spec.Gang,
		Label: s.spec.Label, NearRack: s.spec.NearRack, MaxPerWorker: s.spec.MaxPerWorker, Excluded: s.avoid,
		HeadroomNodes: p.from(u),
	}
	// A gang wider than any rack runs on several, more slowly; waiting for a rack would be in vain.
	if r.OneRack && !p.fitsRack(r) {
		r.OneRack = false
	}
	p.beCareful(u, r)
	if r.MaxPerWorker > 0 {
		r.RunningPerWorker = map[model.HostID]int{}
		for _, t := range s.tasks {
			if t.active != nil {
				r.RunningPerWorker[t.active.worker.info.ID]++
			}
		}
	}
	return r
}

// beCareful keeps tasks that have failed off workers that may be faulty. Progress is no sign against a worker whose tasks
// fail at their end, so the last attempt of a task takes one that has had a success since.
func (p *plan) beCareful(u *unit, r *placer.Request) {
	s, most := u.step, u.step.job.sub.Queue.MaxAttempts
	if s.spec.LongRunning {
		return
	}
	for _, t := range u.tasks {
		if len(t.failed) == 0 {
			continue
		}
		r.ExcludeSuspected = true
		if p.now.Sub(t.failedAt) >= carefulFor {
			continue
		}
		r.RequireKnownHealthy = true
		if !s.spec.Gang && len(t.failed) == most-1 && t.failedAt.After(r.SuccessAfter) {
			r.SuccessAfter = t.failedAt
		}
	}
}

// start sends the start orders of the unit's first tasks.
func (p *plan) start(u *unit, places []*placer.Node) {
	s := u.step
	s.kept = nil
	if s.spec.Gang {
		s.attempts++
	}
	for i, n := range places {
		p.startTask(u.tasks[i], p.workers[n])
		placer.Reserve(n, s.spec.Need)
	}
	p.d.Logger.Debug("tasks started", "job", s.ref.Job, "step", s.ref.Step, "tasks", len(places), "of", len(u.tasks), "rank", u.rank)
}

func (p *plan) startTask(t *task, w *worker) {
	t.attempts++
	n := t.attempts
	if t.step.spec.Gang {
		n = t.step.attempts
	}
	p.d.startRun(t, w, p.d.number(n), p.now)
}
