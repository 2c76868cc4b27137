package bencher

import (
	"container/heap"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// startDelay is the time from a decision to the start: reserve and start are a round trip each of about 2 ms, and
	// a worker takes some time.
	startDelay = 100 * time.Millisecond
	// checkpointTime is what a checkpointable gang takes to save its state; the others are stopped at the deadline.
	checkpointTime = 400 * time.Millisecond
	// passEvery is the shortest time between two passes, the default of the setting pass-ms.
	passEvery = 100 * time.Millisecond
	// tickEvery is the time between passes while jobs wait and nothing happens.
	tickEvery = 10 * time.Second
	// sampleEvery is the time between two samples of the fragmentation.
	sampleEvery = time.Minute
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Time
	seq int // keeps events of the same time in order
	do  func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// engine runs one policy on one input.
type engine struct {
	now      time.Time
	end      time.Time // of the arrivals
	seq      int
	events   eventHeap
	admitter *admitter.Admitter
	set      model.Set
	places   map[model.DomainID]*place
	jobs     map[model.JobID]*state
	result   *Result
}

// place is one failure domain with its planner.
type place struct {
	id       model.DomainID
	planner  scheduler.Planner
	due      bool // a pass is scheduled
	ticking  bool // a tick is scheduled
	passedAt time.Time
	gangs    map[model.GangID]*run
	waiting  int
	use      map[model.WorkspaceID]model.Accelerators // of all gangs
	claimed  map[model.WorkspaceID]model.Accelerators // of guaranteed gangs and of waiting jobs that are entitled
}

// state is the progress of one job.
type state struct {
	job     *job
	home    model.DomainID
	left    time.Duration // run time still needed
	started bool          // some attempt has started

	// entitled says that the job fitted in the unused guarantee of its workspace when it arrived.
	entitled bool
}

// run is one gang attempt.
type run struct {
	state      *state
	guaranteed bool
	entitled   bool      // the job was entitled when it arrived
	startedAt  time.Time // zero while it starts
	over       bool
	preempting bool
}

func newEngine(f Fleet, length time.Duration, newPlanner func() scheduler.Planner, result *Result) *engine {
	e := &engine{
		now: start, end: start.Add(length), places: map[model.DomainID]*place{}, jobs: map[model.JobID]*state{},
		set: f.Set, admitter: admitter.New(""), result: result,
	}
	e.admitter.SetConfig(f.Set)
	for id, d := range f.Set.FailureDomains {
		p := &place{
			id: id, planner: newPlanner(), gangs: map[model.GangID]*run{},
			use: map[model.WorkspaceID]model.Accelerators{}, claimed: map[model.WorkspaceID]model.Accelerators{},
		}
		p.planner.SetConfig(&f.Set, id)
		e.addWorkers(p, d)
		e.places[id] = p
	}
	return e
}

func (e *engine) addWorkers(p *place, d model.FailureDomain) {
	racks := make([]model.RackID, 0, len(d.Racks))
	for id := range d.Racks {
		racks = append(racks, id)
	}
	slices.Sort(racks)
	for _, rack := range racks {
		r := d.Racks[rack]
		for i := range r.Workers {
			p.planner.UpsertWorker(allocator.Worker{
				ID: workerID(p.id, rack, i), Rack: rack, Index: i,
				Accelerators: r.Accelerators, Cores: r.Cores, MemoryMB: r.MemoryMB,
			}, e.now)
		}
	}
}

// at schedules an event.
func (e *engine) at(t time.Time, do func(now time.Time)) {
	e.seq++
	heap.Push(&e.events, event{at: t, seq: e.seq, do: do})
}

// runAll feeds all jobs and runs until the work is done, or until the end when cut is set.
func (e *engine) runAll(jobs []job, cut bool) {
	for i := range jobs {
		j := &jobs[i]
		e.at(j.at, func(now time.Time) { e.arrive(j, now) })
	}
	for _, p := range e.sortedPlaces() {
		e.at(start.Add(sampleEvery), func(now time.Time) { e.sample(p, now) })
	}
	for len(e.events) > 0 {
		ev := heap.Pop(&e.events).(event)
		if cut && ev.at.After(e.end) {
			break
		}
		e.now = ev.at
		ev.do(ev.at)
	}
}

func (e *engine) sortedPlaces() []*place {
	places := make([]*place, 0, len(e.places))
	for _, p := range e.places {
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b *place) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return places
}

// arrive admits a job as an entry host does.
func (e *engine) arrive(j *job, now time.Time) {
	e.result.Submitted++
	home, err := e.admitter.Admit(j.spec, now)
	if err == nil {
		err = e.places[home].planner.Admit(&j.spec, now)
	}
	if err != nil {
		e.result.refused(j)
		return
	}
	s := &state{job: j, home: home, left: j.run}
	e.jobs[j.spec.ID] = s
	e.note(s, model.JobQueued)
	p := e.places[home]
	p.waiting++
	e.entitle(p, s)
	p.planner.Submit(e.record(s, model.JobQueued), now)
	e.schedule(p, now)
}

// entitle notes whether a job fits in the unused guarantee of its workspace.
func (e *engine) entitle(p *place, s *state) {
	spec := &s.job.spec
	var guaranteed model.Accelerators
	for _, g := range e.set.Guarantees {
		if g.Workspace == spec.Workspace && g.FailureDomain == p.id && g.Cell >= spec.Shape.Total() {
			guaranteed += g.Cell * model.Accelerators(g.Count)
		}
	}
	if p.claimed[spec.Workspace]+spec.Shape.Total() <= guaranteed {
		s.entitled = true
		p.claimed[spec.Workspace] += spec.Shape.Total()
	}
}

// usedElsewhere returns what each workspace uses in all other failure domains.
func (e *engine) usedElsewhere(p *place) map[model.WorkspaceID]model.Accelerators {
	used := map[model.WorkspaceID]model.Accelerators{}
	for _, other := range e.places {
		if other == p {
			continue
		}
		for ws, n := range other.use {
			used[ws] += n
		}
	}
	return used
}

func (e *engine) record(s *state, st model.JobState) model.Job {
	return model.Job{Spec: s.job.spec, Home: s.home, State: st, AcceptedAt: s.job.at}
}

func (e *engine) note(s *state, st model.JobState) { e.admitter.Apply(e.record(s, st), e.now) }

// schedule plans a pass unless one is due already.
func (e *engine) schedule(p *place, now time.Time) {
	if p.due {
		return
	}
	p.due = true
	at := p.passedAt.Add(passEvery)
	if at.Before(now) {
		at = now
	}
	e.at(at, func(now time.Time) { e.pass(p, now) })
}

func (e *engine) pass(p *place, now time.Time) {
	p.due, p.passedAt = false, now
	if len(e.places) > 1 {
		p.planner.SetUsedElsewhere(e.usedElsewhere(p))
	}
	before := time.Now()
	decisions := p.planner.Pass(now)
	e.result.pass(time.Since(before))
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Start:
			e.start(p, d, now)
		case scheduler.Preempt:
			e.preempt(p, d, now)
		case scheduler.Reject:
			e.drop(p, d.Job)
		case scheduler.Fail:
			e.drop(p, d.Job)
		}
	}
	if p.waiting > 0 && !p.ticking {
		p.ticking = true
		e.at(now.Add(tickEvery), func(now time.Time) {
			p.ticking = false
			e.schedule(p, now)
		})
	}
}

func (e *engine) drop(p *place, id model.JobID) {
	s := e.jobs[id]
	delete(e.jobs, id)
	p.waiting--
	if s.entitled {
		p.claimed[s.job.spec.Workspace] -= s.job.spec.Shape.Total()
	}
	e.note(s, model.JobNotRun)
	e.result.refused(s.job)
}

func (e *engine) start(p *place, d scheduler.Start, now time.Time) {
	r := &run{state: e.jobs[d.Job], guaranteed: d.Guaranteed, entitled: e.jobs[d.Job].entitled}
	p.gangs[d.Gang] = r
	p.waiting--
	p.hold(r, 1)
	e.at(now.Add(startDelay), func(now time.Time) {
		if r.over {
			return
		}
		r.startedAt = now
		e.note(r.state, model.JobRunning)
		e.result.started(r, now)
		r.state.started = true
		p.planner.Started(d.Gang, now)
		e.at(now.Add(r.state.left), func(now time.Time) { e.finish(p, d.Gang, r, now) })
	})
}

// hold counts the accelerators of a gang; a job that is entitled was counted when it arrived.
func (p *place) hold(r *run, n model.Accelerators) {
	spec := &r.state.job.spec
	p.use[spec.Workspace] += n * spec.Shape.Total()
	if r.guaranteed && (!r.state.entitled || n < 0) {
		p.claimed[spec.Workspace] += n * spec.Shape.Total()
	}
	if !r.guaranteed && r.state.entitled {
		p.claimed[spec.Workspace] -= spec.Shape.Total()
	}
	if n > 0 {
		r.state.entitled = false
	}
}

func (e *engine) finish(p *place, id model.GangID, r *run, now time.Time) {
	if r.over {
		return
	}
	r.over = true
	p.hold(r, -1)
	delete(p.gangs, id)
	delete(e.jobs, r.state.job.spec.ID)
	e.note(r.state, model.JobFinished)
	p.planner.Ended(id, scheduler.End{
		Reason: scheduler.EndFinished, RunMS: model.Millis(now.Sub(r.startedAt).Milliseconds()),
	}, now)
	e.result.finished(r.state, now, e.end)
	e.schedule(p, now)
}

// preempt saves or stops a gang and reports it as gone.
func (e *engine) preempt(p *place, d scheduler.Preempt, now time.Time) {
	r, ok := p.gangs[d.Gang]
	if !ok || r.preempting {
		return
	}
	r.preempting = true
	gone := d.Deadline
	if r.state.job.checkpointable && now.Add(checkpointTime).Before(gone) {
		gone = now.Add(checkpointTime)
	}
	e.at(gone, func(now time.Time) {
		if r.over {
			return
		}
		r.over = true
		p.hold(r, -1)
		p.waiting++
		delete(p.gangs, d.Gang)
		e.result.Preempted++
		if r.state.job.checkpointable && !r.startedAt.IsZero() {
			r.state.left -= now.Sub(r.startedAt)
		}
		e.note(r.state, model.JobQueued)
		p.planner.Preempted(d.Gang, now)
		e.schedule(p, now)
	})
}

// sample records the fragmentation while jobs wait.
func (e *engine) sample(p *place, now time.Time) {
	if now.After(e.end) {
		return
	}
	s := p.planner.Stats(now)
	e.result.sample(s)
	e.at(now.Add(sampleEvery), func(now time.Time) { e.sample(p, now) })
}

func workerID(d model.DomainID, rack model.RackID, i int) model.HostID {
	return model.HostID(string(d) + "-" + string(rack) + "-" + string(rune('0'+i)))
}
