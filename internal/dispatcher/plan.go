package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// placementUnit is the work of a step that is placed in one request: all tasks of a gang, or the waiting tasks of another step.
type placementUnit struct {
	step            *step
	tasks           []*task
	rank            placer.Rank          // rank of the job; see jobRanks
	usefulness      sequencer.Usefulness // empty for guaranteed work
	due             time.Time            // see step.due; zero unless the leader learns run times, and for guaranteed work
	isolated        bool                 // each task needs a worker without other runs
	awaitingRestart bool                 // the gang was interrupted and cannot start yet; its released resources are held
}

// dropStarted removes the tasks that have started since the unit was built. A step may have two units, and the reservation that
// one of them starts may be for tasks of the other. A gang has one unit.
func (u *placementUnit) dropStarted() {
	if !u.step.spec.Gang {
		u.tasks = slices.DeleteFunc(u.tasks, func(t *task) bool { return t.activeRun != nil })
	}
}

// schedule runs one scheduling pass, which starts the work that fits, most urgent first, and preempts less urgent work for the rest.
func (d *Dispatcher) schedule(now time.Time) {
	ranks := d.jobRanks()
	units := d.placementUnits(ranks, now)
	if len(units) == 0 && now.Sub(d.demandUpdatedAt) < demandUpdateInterval {
		return
	}
	p := newSchedulingPass(d, now)
	p.ranks = ranks
	p.updateDemand(units)
	for _, u := range units {
		p.scheduleUnit(u)
	}
	p.endPlanningRound()
	d.Metrics.setWithheld(p.withheld)
}

// placementUnits returns the work to schedule, ordered by compareUnits and, where it is equally urgent and useful, by the shares of
// the workspaces.
func (d *Dispatcher) placementUnits(ranks map[*job]placer.Rank, now time.Time) []*placementUnit {
	var out []*placementUnit
	for _, j := range d.jobs {
		if j.state.IsFinal() || j.predatesTerm && !d.formerRunsKnown {
			continue
		}
		for _, s := range j.steps {
			if s.spec.Gang && s.isAwaitingRestart(now) {
				out = append(out, &placementUnit{step: s, tasks: s.tasks, rank: ranks[j], awaitingRestart: true})
				continue
			}
			if !s.isReady(now) || s.spec.Gang && !s.isIdle() {
				continue
			}
			tasks, isolated := d.waitingTasks(s, now)
			if j.state.IsFinal() {
				break // a task has crashed its last worker under a former leader
			}
			if len(tasks) > 0 && (!s.spec.Gang || len(tasks) == len(s.tasks)) {
				out = append(out, &placementUnit{step: s, tasks: tasks, rank: ranks[j]})
			}
			if len(isolated) > 0 {
				out = append(out, &placementUnit{step: s, tasks: isolated, rank: ranks[j], isolated: true})
			}
		}
	}
	for _, u := range out {
		if u.rank > 0 { // a guarantee holds from the acknowledgement of a job, whatever its target duration
			u.due = u.step.due()
		}
	}
	d.setUsefulness(out, now)
	slices.SortFunc(out, compareUnits)
	d.orderByShares(out, now)
	return out
}

// waitingTasks returns the tasks of a step that can start now, those that need a worker without other runs separately.
func (d *Dispatcher) waitingTasks(s *step, now time.Time) (tasks, isolated []*task) {
	for _, t := range s.tasks {
		switch {
		case t.done || t.activeRun != nil || t.notBefore.After(now) || d.mayRunOnFormerWorker(t, now) || d.isHeld(t, now):
		case t.needsIsolation(now):
			isolated = append(isolated, t)
		default:
			tasks = append(tasks, t)
		}
	}
	return tasks, isolated
}

// jobRanks ranks jobs by priority. Jobs of priority 0 within the guarantee of their workspace rank before all others: their rank is
// 0, and that of other jobs 2*priority+1.
func (d *Dispatcher) jobRanks() map[*job]placer.Rank {
	out := make(map[*job]placer.Rank, len(d.jobs))
	jobs := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	used := map[model.WorkspaceID]model.Accelerators{}
	for _, j := range jobs {
		out[j] = placer.Rank(2*j.submission.Queue.Priority + 1)
		ws := j.submission.Workspace
		if j.submission.Queue.Priority == 0 && used[ws]+j.maxStepAccelerators <= d.entitlements.Guaranteed[ws] {
			used[ws] += j.maxStepAccelerators
			out[j]--
		}
	}
	return out
}

// schedulingPass is the state of one scheduling pass.
//
// Three mechanisms keep resources free. A reservation keeps the resources of preempted runs for the tasks that preempted them, until
// those tasks start. Held workers keep work that comes later in a pass off the workers of a gang that waits or was interrupted. Nodes
// withheld as headroom are kept free of less urgent work, for more urgent work that is expected.
type schedulingPass struct {
	d                 *Dispatcher
	now               time.Time
	ranks             map[*job]placer.Rank // ranks of all jobs; set by schedule or leastUrgentRunning
	nodes             []*placer.Node       // all listed workers outside of evacuated failure domains, ordered by rack and ID
	workerOf          map[*placer.Node]*worker
	nodeOf            map[*worker]*placer.Node
	reserved          map[*worker]model.Resources      // resources of each worker that reservations take
	plannedNodes      int                              // nodes that the preemption plans of this pass have gone through
	plansDeferred     bool                             // a unit was left out because of maxPlannedNodes
	preemptionTargets []preemptionTarget               // indexed by PreemptionUnit.ID
	infeasible        map[requestKey]bool              // requests for which this pass found neither free resources nor less urgent running work
	rackFits          map[requestKey]bool              // cached results of fitsRack
	slots             map[slotsKey]int                 // cached results of freeSlots
	held              map[*placer.Node]model.Resources // resources of each node that are held for waiting gangs
	leastUrgent       placer.Rank                      // rank of the least urgent running work; set by leastUrgentRunning
	pools             map[model.ServiceID]*servicePool // totals of the workers of each service
	withheld          map[withheldKey]int              // number of workers withheld from the work that waits
	leastUrgentKnown  bool                             // leastUrgentRunning has run in this pass
	preemptibleListed bool                             // listPreemptible has run in this pass
}

// newSchedulingPass returns a pass with a node for each listed worker. Workers of evacuated failure domains have none, so that nothing
// counts on them: neither what fits a rack or is feasible, nor headroom and ample room.
func newSchedulingPass(d *Dispatcher, now time.Time) *schedulingPass {
	count := len(d.workers)
	p := &schedulingPass{
		d: d, now: now, nodes: make([]*placer.Node, 0, count), workerOf: make(map[*placer.Node]*worker, count), nodeOf: make(map[*worker]*placer.Node, count), infeasible: map[requestKey]bool{},
		rackFits: map[requestKey]bool{}, slots: map[slotsKey]int{}, held: map[*placer.Node]model.Resources{}, withheld: map[withheldKey]int{}, pools: map[model.ServiceID]*servicePool{},
	}
	p.reserved = d.reservedResources(now)
	nodes := make([]placer.Node, count)
	for _, w := range d.workers {
		if !w.listed || w.evacuated {
			continue
		}
		free, unused := p.freeResources(w)
		n := &nodes[len(p.nodes)]
		*n = placer.Node{
			ID: w.info.ID, Service: w.info.Service, Domain: w.info.FailureDomain, Rack: w.info.Rack, Labels: w.info.Labels,
			Capacity: w.info.Capacity, Free: free, Unused: unused, Unschedulable: !w.isSchedulable(now) || w.hostsSuspect(), Occupied: len(w.runs) > 0, Suspicion: w.suspicion,
			Quarantined: now.Before(w.quarantinedUntil) && w.canStartTasks() && !w.hostsSuspect(), KnownHealthy: w.isKnownHealthy(now), LastSuccessAt: w.lastSuccessAt, Slowness: d.slowness(w),
		}
		p.markCold(n, w)
		p.nodes = append(p.nodes, n)
		p.workerOf[n], p.nodeOf[w] = w, n
	}
	slices.SortFunc(p.nodes, func(a, b *placer.Node) int { return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID)) })
	return p
}

// scheduleUnit starts the tasks of the unit that fit. For the others, it preempts less urgent work or holds workers for a gang.
func (p *schedulingPass) scheduleUnit(u *placementUnit) {
	if u.awaitingRestart {
		p.holdVacatedResources(u.step)
		return
	}
	if u.step.reservation != nil {
		p.startReserved(u)
		return
	}
	if u.dropStarted(); len(u.tasks) == 0 {
		return
	}
	if !p.trimToQuota(u) {
		u.step.roomSince = time.Time{} // it waits for its quota, not for room
		return
	}
	if !p.trimToRate(u) {
		return
	}
	r := p.placementRequest(u)
	key := keyOf(r)
	infeasible := p.infeasible[key]
	places := p.findPlaces(u, r, infeasible)
	if len(places) == 0 && infeasible {
		p.noteWaiting(u, r)
		return
	}
	if len(places) > 0 {
		p.startTasks(u, places)
		if len(places) == len(u.tasks) {
			return
		}
		u.tasks = u.tasks[len(places):]
		r = p.placementRequest(u)
	}
	p.noteWaiting(u, r)
	if u.isolated {
		return // a worker becomes empty soon, or the tasks share one after isolationWait
	}
	if u.rank >= p.leastUrgentRunning() {
		p.infeasible[key] = len(r.RunningPerWorker)+len(r.Excluded) == 0
		return // no running work is less urgent
	}
	places, victims := p.planPreemption(u)
	if places == nil {
		p.holdWorkers(u, r)
		return
	}
	p.preemptFor(u, places, victims)
}

// fitsRack reports whether the gang would fit in some rack if that rack were empty.
func (p *schedulingPass) fitsRack(r *placer.Request) bool {
	key := keyOf(r)
	fits, known := p.rackFits[key]
	if !known {
		fits = placer.FitsRack(p.nodes, r)
		p.rackFits[key] = fits
	}
	return fits
}

// requestKey holds the properties of a request that determine whether it finds a place, except for its rank, Excluded and
// RunningPerWorker.
type requestKey struct {
	need                model.Resources
	service             model.ServiceID
	label               string
	nearRack            model.RackID
	maxPerWorker        int
	count               int // number of tasks of a gang; 0 for other tasks, which are placed independently
	oneRack             bool
	excludeSuspected    bool
	requireKnownHealthy bool
	successAfter        time.Time
	withheldNodes       int
	isolated            bool
	ignoreColdLimit     bool
}

// keyOf returns the key of a request.
func keyOf(r *placer.Request) requestKey {
	key := requestKey{
		isolated: r.Isolated, ignoreColdLimit: r.IgnoreColdLimit, need: r.Need, service: r.Service, label: r.Label, nearRack: r.NearRack, maxPerWorker: r.MaxPerWorker, oneRack: r.OneRack,
		excludeSuspected: r.ExcludeSuspected, requireKnownHealthy: r.RequireKnownHealthy, successAfter: r.SuccessAfter, withheldNodes: r.WithheldNodes,
	}
	if r.Gang {
		key.count = r.Count
	}
	return key
}

// leastUrgentRunning returns the rank of the least urgent running work. It does not list all of that, which takes long on a large fleet
// and is needed only for a unit that is more urgent.
func (p *schedulingPass) leastUrgentRunning() placer.Rank {
	if p.leastUrgentKnown {
		return p.leastUrgent
	}
	p.leastUrgentKnown = true
	if p.ranks == nil {
		p.ranks = p.d.jobRanks()
	}
	for _, j := range p.d.jobs {
		if r := p.ranks[j]; r > p.leastUrgent && slices.ContainsFunc(j.steps, p.hasPreemptibleRun) {
			p.leastUrgent = r
		}
	}
	return p.leastUrgent
}

// hasPreemptibleRun reports whether a task of the step runs and could be preempted.
func (p *schedulingPass) hasPreemptibleRun(s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return p.isPreemptible(t.activeRun) })
}

// placementRequest returns the placer's request for the tasks of the unit.
func (p *schedulingPass) placementRequest(u *placementUnit) *placer.Request {
	s := u.step
	r := &placer.Request{
		Count: len(u.tasks), Need: s.spec.Need, Service: s.job.submission.Queue.Service, Rank: u.rank, Gang: s.spec.Gang,
		OneRack: s.spec.OneRack && s.spec.Gang, Label: s.spec.Label, NearRack: s.spec.NearRack, MaxPerWorker: s.spec.MaxPerWorker,
		Excluded: s.exclusions.Excluded(p.now), Avoided: s.exclusions.Avoided(),
		WithheldNodes: p.withheldNodes(u), Isolated: u.isolated, PreferWarm: s.job.submission.Queue.Priority == 0, IgnoreColdLimit: p.ignoresColdLimit(s),
		Speed: p.d.speedPreference(s),
	}
	// A gang that fits in no rack may use several racks, on which it runs more slowly, because it could never start otherwise.
	if r.OneRack && !p.fitsRack(r) {
		r.OneRack = false
	}
	p.requireHealthyWorkers(u, r)
	if r.MaxPerWorker > 0 {
		r.RunningPerWorker = map[model.HostID]int{}
		for _, t := range s.tasks {
			if t.activeRun != nil {
				r.RunningPerWorker[t.activeRun.worker.info.ID]++
			}
		}
	}
	return r
}

// requireHealthyWorkers restricts tasks that have failed to workers that are unlikely to be faulty.
//
// A worker can make progress and still be faulty, if its tasks fail at the end. Until healthyWorkerWait has passed, the last
// attempt of a task therefore requires a worker on which a task has succeeded since the last failure.
func (p *schedulingPass) requireHealthyWorkers(u *placementUnit, r *placer.Request) {
	s, maxAttempts := u.step, u.step.job.submission.Queue.MaxAttempts
	if s.spec.LongRunning {
		return
	}
	for _, t := range u.tasks {
		if len(t.failedRuns) == 0 {
			continue
		}
		r.ExcludeSuspected = true
		if p.now.Sub(t.lastFailureAt) >= healthyWorkerWait {
			continue
		}
		r.RequireKnownHealthy = true
		if !s.spec.Gang && len(t.failedRuns) == maxAttempts-1 && t.lastFailureAt.After(r.SuccessAfter) {
			r.SuccessAfter = t.lastFailureAt
		}
	}
}

// startTasks starts the first tasks of the unit, one for each element of places.
func (p *schedulingPass) startTasks(u *placementUnit, places []*placer.Node) {
	s := u.step
	s.heldWorkers = nil
	if s.spec.Gang {
		s.gangAttempts++
	}
	for i, n := range places {
		if t, w := u.tasks[i], p.workerOf[n]; t.needsFreshWorker(w, p.now) {
			p.d.askBeforeStart(t, w, p.now)
		} else {
			p.startTask(t, w)
		}
		placer.TakeResources(n, s.spec.Need)
		n.Unused = n.Unused.Sub(s.spec.Need)
		n.Occupied, n.Unschedulable, n.Quarantined = true, n.Unschedulable || u.isolated, n.Quarantined && !u.isolated
	}
	p.d.Logger.Debug("tasks started", "job", s.ref.Job, "step", s.ref.Step, "tasks", len(places), "of", len(u.tasks), "rank", u.rank, "speed", p.d.speedPreference(s))
}

// startTask starts the next attempt of a task. Members of a gang use the attempt number of the gang.
func (p *schedulingPass) startTask(t *task, w *worker) {
	t.attempts++
	p.countColdStart(w)
	p.d.observeUsualWork(t.step)
	use := &p.pool(t.step.job.submission.Queue.Service).ready
	use.used = use.used.Add(t.step.spec.Need)
	clear(p.slots)
	t.step.roomSince, t.step.waitLog.waitingSince, t.step.preemption.roomBy = time.Time{}, time.Time{}, time.Time{}
	n := t.attempts
	if t.step.spec.Gang {
		n = t.step.gangAttempts
	}
	p.d.startRun(t, w, p.d.runNumber(n), p.now)
}
