package admitter

import (
	"fmt"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// DefaultMaxWaiting bounds the waiting jobs of a workspace that names no bound. At 120 workspaces and a few
	// hundred bytes a job, even full queues stay within the 64 MB of a daemon only because few are full at once.
	DefaultMaxWaiting = 2_000
	// callerShare is the part of a workspace's queue that one caller may fill, as a divisor.
	callerShare = 2

	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
	// rateHalfLife smooths the observed rate of starts.
	rateHalfLife = time.Minute
)

// Admitter counts the jobs of all failure domains and admits new ones; it is used by one goroutine.
type Admitter struct {
	// Local is the failure domain of this entry host, preferred among equals.
	Local model.DomainID

	set        model.Set
	inventory  map[model.DomainID]inventory
	jobs       map[model.JobID]entry
	waiting    map[model.WorkspaceID]int
	byClass    map[classKey]int
	byCaller   map[callerKey]int
	load       map[model.DomainID]map[callerKey]model.Accelerators // of queued and running jobs
	guaranteed map[guaranteeKey]model.Accelerators                 // of queued and running jobs of a workspace in a domain
	running    map[guaranteeKey]model.Accelerators                 // of running jobs of a workspace in a domain
	applied    uint64                                              // records, for their order
	changed    bool                                                // what UsedElsewhere returns may have changed
	starts     map[model.WorkspaceID]*rate
}

type classKey struct {
	ws    model.WorkspaceID
	class model.ClassID
}

type callerKey struct {
	ws     model.WorkspaceID
	caller model.CallerID
}

type guaranteeKey struct {
	ws     model.WorkspaceID
	domain model.DomainID
}

// entry is what the counters know of a job.
type entry struct {
	ws     model.WorkspaceID
	class  model.ClassID
	caller model.CallerID
	home   model.DomainID
	state  model.JobState
	total  model.Accelerators

	startedAt time.Time // of the first attempt seen there, so that a restart keeps the job's place in the quota
	order     uint64    // of the record of that start among those of the same time
}

// New returns an Admitter without jobs.
func New(local model.DomainID) *Admitter {
	a := &Admitter{Local: local}
	a.Reset()
	return a
}

// Reset forgets all jobs, before a new snapshot of them is applied.
func (a *Admitter) Reset() {
	a.jobs = map[model.JobID]entry{}
	a.waiting = map[model.WorkspaceID]int{}
	a.byClass = map[classKey]int{}
	a.byCaller = map[callerKey]int{}
	a.load = map[model.DomainID]map[callerKey]model.Accelerators{}
	a.guaranteed = map[guaranteeKey]model.Accelerators{}
	a.running, a.changed = map[guaranteeKey]model.Accelerators{}, true
	if a.starts == nil {
		a.starts = map[model.WorkspaceID]*rate{}
	}
}

// SetConfig puts a configuration in force; the set is kept and must not change afterwards.
func (a *Admitter) SetConfig(set model.Set) {
	a.set, a.changed = set, true
	a.inventory = make(map[model.DomainID]inventory, len(set.FailureDomains))
	for id, d := range set.FailureDomains {
		a.inventory[id] = newInventory(d)
	}
}

// Apply notes the latest state of a job; repeats change nothing.
func (a *Admitter) Apply(j model.Job, now time.Time) {
	old, known := a.jobs[j.Spec.ID]
	if known {
		a.count(old, -1)
	}
	if j.State.Final() {
		delete(a.jobs, j.Spec.ID)
		return
	}
	e := entry{
		ws: j.Spec.Workspace, class: j.Spec.Class, caller: j.Spec.Caller,
		home: j.Home, state: j.State, total: j.Spec.Shape.Total(), startedAt: j.StartedAt,
	}
	if known && old.home == e.home && !old.startedAt.IsZero() {
		e.startedAt, e.order = old.startedAt, old.order
	} else {
		a.applied++
		e.order = a.applied
	}
	a.jobs[j.Spec.ID] = e
	a.count(e, 1)
	if known && old.state == model.JobQueued && e.state == model.JobRunning {
		a.startRate(e.ws).add(now)
	}
}

func (a *Admitter) count(e entry, n int) {
	if e.state == model.JobQueued {
		a.waiting[e.ws] += n
		a.byClass[classKey{e.ws, e.class}] += n
		a.byCaller[callerKey{e.ws, e.caller}] += n
	}
	a.countRunning(e, n)
	a.addLoad(e.home, callerKey{e.ws, e.caller}, e.total*model.Accelerators(n))
	a.guaranteed[guaranteeKey{e.ws, e.home}] += e.total * model.Accelerators(n)
}

func (a *Admitter) addLoad(home model.DomainID, c callerKey, n model.Accelerators) {
	if a.load[home] == nil {
		a.load[home] = map[callerKey]model.Accelerators{}
	}
	if a.load[home][c] += n; a.load[home][c] == 0 {
		delete(a.load[home], c)
	}
}

// callerCap is how much of a caller's load counts, relative to an even part of the domain.
const callerCap = 2

// loadOf returns the load of a domain relative to its capacity. The backlog of a caller counts only up to about its
// part, because the others are served before the rest of it; counting all of it would hide where there is room.
func (a *Admitter) loadOf(id model.DomainID) float64 {
	callers := a.load[id]
	capacity := max(a.inventory[id].total, 1)
	most := max(callerCap*capacity/model.Accelerators(max(len(callers), 1)), 1)
	var sum model.Accelerators
	for _, n := range callers {
		sum += min(n, most)
	}
	return float64(sum) / float64(capacity)
}

func (a *Admitter) startRate(ws model.WorkspaceID) *rate {
	r, ok := a.starts[ws]
	if !ok {
		r = &rate{}
		a.starts[ws] = r
	}
	return r
}

// Admit returns the home of a new job, or a *model.Error of outcome not-run.
func (a *Admitter) Admit(spec model.JobSpec, now time.Time) (model.DomainID, error) {
	if err := a.check(spec); err != nil {
		return "", err
	}
	if err := a.bounds(spec, now); err != nil {
		return "", err
	}
	home, ok := a.Home(spec)
	if !ok {
		return "", &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindNeverRunnable,
			Message: fmt.Sprintf("%d members of %d accelerators fit no active failure domain",
				spec.Shape.Workers, spec.Shape.Accelerators),
			Remedy: "submit a smaller shape, or span domain instead of rack",
		}
	}
	return home, nil
}

func (a *Admitter) check(spec model.JobSpec) error {
	ws, ok := a.set.Workspaces[spec.Workspace]
	if !ok {
		return invalid("the workspace is not in the configuration", "ask an operator to publish it")
	}
	if _, ok := a.set.Classes[spec.Class]; !ok {
		return invalid(fmt.Sprintf("the class %q is not in the configuration", spec.Class), "name a published class")
	}
	s := spec.Shape
	if s.Workers < 1 || s.Accelerators < 0 || s.Cores < 0 || s.MemoryMB < 0 {
		return invalid("the shape has no member or a negative size", "give at least one worker and sizes of 0 or more")
	}
	if s.Span != "" && s.Span != model.SpanRack && s.Span != model.SpanDomain {
		return invalid(fmt.Sprintf("the span %q is unknown", s.Span), "use rack or domain")
	}
	if s.Total() > ws.Quota {
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindNeverRunnable,
			Message: fmt.Sprintf("the job needs %d accelerators, the quota of %s is %d", s.Total(), spec.Workspace, ws.Quota),
			Remedy:  "submit a smaller shape, or ask an operator for a larger quota",
		}
	}
	return nil
}

func invalid(message, remedy string) error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: model.KindInvalid, Message: message, Remedy: remedy}
}

func (a *Admitter) bounds(spec model.JobSpec, now time.Time) error {
	limit := bound(a.set.Workspaces[spec.Workspace].MaxWaiting)
	switch {
	case a.waiting[spec.Workspace] >= limit:
		return a.overloaded(spec, fmt.Sprintf("%d jobs of the workspace wait", limit), now)
	case a.byClass[classKey{spec.Workspace, spec.Class}] >= bound(a.set.Classes[spec.Class].MaxWaiting):
		return a.overloaded(spec, "the class is full", now)
	case a.byCaller[callerKey{spec.Workspace, spec.Caller}] >= max(1, limit/callerShare):
		return a.overloaded(spec, "the caller has filled its part of the queue", now)
	}
	return nil
}

func bound(n int) int {
	if n == 0 {
		return DefaultMaxWaiting
	}
	return n
}

func (a *Admitter) overloaded(spec model.JobSpec, why string, now time.Time) error {
	wait := a.startRate(spec.Workspace).interval(now)
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.KindOverloaded, Message: why,
		Remedy:       "submit again after the given time, or cancel waiting jobs",
		RetryAfterMS: model.Millis(min(max(wait, minRetryAfter), maxRetryAfter).Milliseconds()),
	}
}

// Home returns the best home of a job: a domain with an unused guarantee of the workspace, then the lowest load, then the local domain.
func (a *Admitter) Home(spec model.JobSpec) (model.DomainID, bool) {
	var best model.DomainID
	var bestScore score
	for _, id := range a.domains() {
		inv := a.inventory[id]
		if a.set.FailureDomains[id].State == model.DomainLost || !inv.fits(spec.Shape) {
			continue
		}
		s := score{
			guaranteed: a.guaranteeLeft(spec, id) >= spec.Shape.Total(),
			load:       a.loadOf(id) + float64(spec.Shape.Total())/float64(max(inv.total, 1)),
			local:      id == a.Local,
		}
		if best == "" || s.better(bestScore) {
			best, bestScore = id, s
		}
	}
	return best, best != ""
}

// domains returns the failure domains in a stable order.
func (a *Admitter) domains() []model.DomainID {
	ids := make([]model.DomainID, 0, len(a.inventory))
	for id := range a.inventory {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (a *Admitter) guaranteeLeft(spec model.JobSpec, id model.DomainID) model.Accelerators {
	var total model.Accelerators
	for _, g := range a.set.Guarantees {
		if g.Workspace == spec.Workspace && g.FailureDomain == id {
			total += g.Cell * model.Accelerators(g.Count)
		}
	}
	return total - a.guaranteed[guaranteeKey{spec.Workspace, id}]
}

// loadSlack is the difference in load below which a job stays in the local domain; it avoids traffic for no gain.
const loadSlack = 0.1

type score struct {
	guaranteed bool
	load       float64
	local      bool
}

func (s score) better(t score) bool {
	if s.guaranteed != t.guaranteed {
		return s.guaranteed
	}
	if s.local != t.local {
		if s.local {
			return s.load <= t.load+loadSlack
		}
		return s.load+loadSlack < t.load
	}
	return s.load < t.load
}
