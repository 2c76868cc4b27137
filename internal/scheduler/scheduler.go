package scheduler

import (
	"maps"
	"reflect"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/detector"
	"chestnutmux.example/chestnutmux/internal/estimator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Options are the settings of a Scheduler; zero fields get the defaults.
type Options struct {
	Policy          allocator.Policy                          // default Gradient
	CheckpointBound time.Duration                             // time that a preempted gang has for its checkpoint, default 1 s
	AgingAfter      time.Duration                             // age from which the oldest waiting job comes first, default 10 min
	ShareGrace      time.Duration                             // wait until work beyond a share is preempted for a job within its share, default 30 s
	ClaimMargin     time.Duration                             // beyond the checkpoint bound, until a waiting claim is a violation, default 5 s
	Violated        func(inv asserter.Invariant, args ...any) // nil means that violations are not told
	Baseline        bool                                      // first-come-first-served and first-fit, without guarantees, preemption and backfill
}

// The defaults of Options.
const (
	DefaultCheckpointBound = time.Second
	DefaultAgingAfter      = 10 * time.Minute
)

// Scheduler plans one failure domain; create it with New or NewBaseline.
type Scheduler struct {
	opts     Options
	alloc    *allocator.State
	runs     estimator.Estimator
	faults   detector.Detector
	set      *model.Set
	domain   model.DomainID
	declared model.FailureDomain
	planned  bool               // the configuration declares the domain
	racks    map[model.Rack]int // declared racks by their make
	own      map[model.GuaranteeID]model.Guarantee

	jobs      map[model.JobID]*job
	gangs     map[model.GangID]*gang
	claims    []*gang // hold room that lent gangs still have to leave, in order of decision
	doomed    []*gang
	promote   []*gang // adopted, to be made guaranteed where they run
	orphans   []*gang // adopted beside another attempt of the same job
	trials    []model.HostID
	elsewhere map[model.WorkspaceID]model.Accelerators
	used      map[model.WorkspaceID]model.Accelerators

	workspaces   map[model.WorkspaceID]*account
	callers      map[callerKey]*account
	classWaiting map[classKey]int
	mix          map[model.Shape]*asked
	waiting      int

	bands [levels]map[model.WorkspaceID]*band
	order [levels][]*band
	heap  []*band

	holdBefore model.Offset
	dirty      bool
	recheck    bool // look for jobs that can no longer run
	mixChanged bool
	mixAt      time.Time
	wake       time.Time
	pending    []Decision // found between passes
	out        []Decision
	pass       passState
	preempted  int64
	reclaims   int64

	watches   uint64             // calls of watchClaims
	watchedAt time.Time          // of the claims
	lateDown  model.Accelerators // of claims that wait for gangs on lost workers
	shortage  model.Accelerators // of jobs without cells, as of the latest pass
}

// New returns a planner with the full policy.
func New(o Options) *Scheduler {
	if o.Policy == "" {
		o.Policy = allocator.Gradient
	}
	if o.CheckpointBound <= 0 {
		o.CheckpointBound = DefaultCheckpointBound
	}
	if o.ShareGrace <= 0 {
		o.ShareGrace = DefaultShareGrace
	}
	if o.ClaimMargin <= 0 {
		o.ClaimMargin = DefaultClaimMargin
	}
	if o.AgingAfter <= 0 {
		o.AgingAfter = DefaultAgingAfter
	}
	s := &Scheduler{
		opts:         o,
		alloc:        allocator.New(o.Policy),
		jobs:         map[model.JobID]*job{},
		gangs:        map[model.GangID]*gang{},
		used:         map[model.WorkspaceID]model.Accelerators{},
		workspaces:   map[model.WorkspaceID]*account{},
		callers:      map[callerKey]*account{},
		classWaiting: map[classKey]int{},
		mix:          map[model.Shape]*asked{},
	}
	for lv := range s.bands {
		s.bands[lv] = map[model.WorkspaceID]*band{}
	}
	return s
}

// NewBaseline returns the policy that others are measured against.
func NewBaseline() *Scheduler {
	return New(Options{Policy: allocator.FirstFit, Baseline: true})
}

var _ Planner = (*Scheduler)(nil)

// SetConfig puts a configuration in force; set is kept and must not be changed afterwards.
func (s *Scheduler) SetConfig(set *model.Set, domain model.DomainID) {
	if set == nil {
		return
	}
	s.set, s.domain = set, domain
	own := map[model.GuaranteeID]model.Guarantee{}
	for id, g := range set.Guarantees {
		if g.FailureDomain == domain && !s.opts.Baseline {
			own[id] = g
		}
	}
	declared, planned := set.FailureDomains[domain]
	s.planned = planned
	changed := s.own == nil || !maps.Equal(own, s.own) || !reflect.DeepEqual(declared, s.declared)
	if changed {
		s.releaseClaims()
		s.alloc.SetCells(declared, own)
		s.own, s.declared = own, declared
		s.racks = map[model.Rack]int{}
		for _, r := range declared.Racks {
			s.racks[r]++
		}
	}
	for id, a := range s.workspaces {
		a.weight = float64(set.Workspaces[id].Weight)
	}
	for _, j := range s.jobs {
		s.classify(j, changed)
	}
	s.dirty, s.recheck = true, true
}

// classify sets what the configuration says about a job; cells is set when its guarantee may have changed.
func (s *Scheduler) classify(j *job, cells bool) {
	if s.set == nil {
		return
	}
	lv := levelOf(s.set.Classes[j.spec.Class].Urgency)
	if j.queued && lv != j.level {
		s.dequeue(j)
		j.level = lv
		s.enqueue(j)
	}
	j.level = lv
	if g := j.gang; g != nil {
		g.level = lv
	}
	if cells {
		j.entitled = s.alloc.Entitled(j.spec.Workspace, &j.spec.Shape)
	}
}

// SetUsedElsewhere tells the accelerators that workspaces use in other failure domains, for quotas.
func (s *Scheduler) SetUsedElsewhere(used map[model.WorkspaceID]model.Accelerators) {
	if !maps.Equal(used, s.elsewhere) {
		s.elsewhere = maps.Clone(used)
		s.dirty = true
	}
}

// UpsertWorker adds a worker or changes its capacity, position or health.
func (s *Scheduler) UpsertWorker(w allocator.Worker, _ time.Time) {
	if w.Health == "" {
		w.Health = allocator.Usable
	}
	if w.Health == allocator.Usable && s.faults.Quarantined(w.ID) {
		w.Health = s.alloc.Health(w.ID)
		if w.Health != allocator.Probation {
			w.Health = allocator.Quarantined
		}
	}
	if s.alloc.Upsert(w) {
		s.dirty = true
	}
}

// RemoveWorker takes a worker out of planning; its gangs stay until they are reported as ended.
func (s *Scheduler) RemoveWorker(id model.HostID, _ time.Time) {
	s.alloc.Remove(id)
	s.dirty = true
}

// HoldBefore keeps jobs with a lower offset from starting until it is called with 0.
func (s *Scheduler) HoldBefore(offset model.Offset) {
	s.holdBefore = offset
	s.dirty = true
}

func (s *Scheduler) workspace(id model.WorkspaceID) *account {
	a := s.workspaces[id]
	if a == nil {
		a = &account{}
		if s.set != nil {
			a.weight = float64(s.set.Workspaces[id].Weight)
		}
		s.workspaces[id] = a
	}
	return a
}

func (s *Scheduler) caller(w model.WorkspaceID, c model.CallerID) *account {
	k := callerKey{w, c}
	a := s.callers[k]
	if a == nil {
		a = &account{}
		s.callers[k] = a
	}
	return a
}

// Stats returns the figures of the domain at this moment.
func (s *Scheduler) Stats(now time.Time) Stats {
	s.setMix(now)
	total, free := s.alloc.Totals()
	stranded := s.alloc.Stranded()
	return Stats{
		Waiting:       s.waiting,
		RunningGangs:  len(s.gangs) - len(s.claims),
		Accelerators:  total,
		Free:          free,
		Stranded:      stranded,
		Fragmentation: stranded / max(1, float64(free)),
		Preempted:     s.preempted,
		Reclaims:      s.reclaims,
		Shortage:      s.shortage + s.lateDown,
		Quarantined:   s.alloc.Count(allocator.Quarantined) + s.alloc.Count(allocator.Probation),
	}
}
