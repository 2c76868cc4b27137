package queuer

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Limits bound a queue; zero values mean the defaults.
type Limits struct {
	Total     int // items of the whole queue
	Workspace int // items of one workspace
	Class     int // items of one class within a workspace
	Caller    int // items of one caller
}

// DefaultLimits let an entry host queue about 10 s of work for its share of 50 runners with 8 slots
// at 100 ms a request: 4,000 requests a second over 8 hosts are 500 a second for each.
// A workspace gets at most half of it, a class a quarter and a caller 5%, so that no single one fills the queue.
var DefaultLimits = Limits{Total: 5000, Workspace: 2500, Class: 1250, Caller: 250}

// The bounds that refuse an item.
var (
	ErrFull          = errors.New("queuer: queue is full")
	ErrWorkspaceFull = errors.New("queuer: workspace has too many requests waiting")
	ErrClassFull     = errors.New("queuer: class has too many requests waiting")
	ErrCallerFull    = errors.New("queuer: caller has too many requests waiting")
)

// Key says whose an item is.
type Key struct {
	Workspace model.WorkspaceID
	Class     model.ClassID
	Caller    model.CallerID
	Urgency   model.Urgency // empty or unknown means standard
}

type classKey struct {
	workspace model.WorkspaceID
	class     model.ClassID
}

type callerKey struct {
	workspace model.WorkspaceID
	caller    model.CallerID
}

// Entry is an item in a queue, the handle for its removal.
type Entry[T any] struct {
	Item     T
	Key      Key
	Deadline time.Time // zero means none

	flow     *flow[T] // nil once out of the queue
	place    link[*Entry[T]]
	seq      uint64 // order of arrival
	deadline int    // index in the heap of deadlines, -1 when not in it
}

func (e *Entry[T]) before(o *Entry[T]) bool { return e.Deadline.Before(o.Deadline) }
func (e *Entry[T]) setIndex(i int)          { e.deadline = i }

// Queue is a bounded fair queue of items.
type Queue[T any] struct {
	limits     Limits
	shares     shares
	attained   attainment
	seq        uint64
	levels     [levelCount]level[T]
	workspaces map[model.WorkspaceID]int
	classes    map[classKey]int
	callers    map[callerKey]int
	deadlines  heapOf[*Entry[T]]
	n          int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	orDefault := func(n *int, d int) {
		if *n <= 0 {
			*n = d
		}
	}
	orDefault(&limits.Total, DefaultLimits.Total)
	orDefault(&limits.Workspace, DefaultLimits.Workspace)
	orDefault(&limits.Class, DefaultLimits.Class)
	orDefault(&limits.Caller, DefaultLimits.Caller)
	q := &Queue[T]{
		limits:     limits,
		shares:     shares{served: map[model.WorkspaceID]float64{}},
		workspaces: map[model.WorkspaceID]int{},
		classes:    map[classKey]int{},
		callers:    map[callerKey]int{},
	}
	for i := range q.levels {
		q.levels[i].tenants = map[model.WorkspaceID]*tenant[T]{}
	}
	return q
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.n }

// SetWeights replaces the weights of workspaces; a missing or non-positive weight means 1.
func (q *Queue[T]) SetWeights(weights map[model.WorkspaceID]int) {
	q.shares.weights = maps.Clone(weights)
	q.shares.total = 0
	for ws := range q.workspaces {
		q.shares.total += q.shares.weight(ws)
	}
}

// Push adds an item or returns the bound that refuses it. When the whole queue is full, the item may
// displace the one returned as displaced, which is then out of the queue.
func (q *Queue[T]) Push(item T, key Key, deadline time.Time) (added, displaced *Entry[T], err error) {
	switch {
	case q.callers[callerKey{key.Workspace, key.Caller}] >= q.limits.Caller:
		return nil, nil, ErrCallerFull
	case q.classes[classKey{key.Workspace, key.Class}] >= q.limits.Class:
		return nil, nil, ErrClassFull
	case q.workspaces[key.Workspace] >= q.limits.Workspace:
		return nil, nil, ErrWorkspaceFull
	}
	if q.n >= q.limits.Total {
		if displaced = q.victim(key); displaced == nil {
			return nil, nil, ErrFull
		}
		q.Remove(displaced)
	}
	q.seq++
	e := &Entry[T]{Item: item, Key: key, Deadline: deadline, deadline: -1, seq: q.seq}
	e.place.value = e
	q.levels[levelOf(key.Urgency)].push(e, &q.attained)
	if !deadline.IsZero() {
		q.deadlines.add(e)
	}
	q.count(key, 1)
	return e, displaced, nil
}

// victim returns the newest item of the heaviest caller of the least urgent level, unless that level is
// more urgent than the arrival or the arriving caller waits with as many items as the heaviest.
func (q *Queue[T]) victim(key Key) *Entry[T] {
	for i := levelCount - 1; i >= levelOf(key.Urgency); i-- {
		l := &q.levels[i]
		if l.n == 0 {
			continue
		}
		heaviest := l.flows[0]
		if q.callers[callerKey{key.Workspace, key.Caller}] >= heaviest.n {
			return nil
		}
		return heaviest.items.tail.value
	}
	return nil
}

// Pop removes and returns the next item; expired ones must have been removed by Expired.
func (q *Queue[T]) Pop() (*Entry[T], bool) {
	t := q.nextTenant()
	if t == nil {
		return nil, false
	}
	e := t.next(q.shares.weight(t.id), &q.attained)
	q.shares.serve(t.id)
	q.serve(e)
	q.Remove(e)
	return e, true
}

// serve counts an item for its caller and reorders the flows that the caller has at any level.
func (q *Queue[T]) serve(e *Entry[T]) {
	q.attained.serve(e.flow.meter)
	for i := range q.levels {
		t := q.levels[i].tenants[e.Key.Workspace]
		if t == nil {
			continue
		}
		if f := t.flows[e.Key.Caller]; f != nil {
			t.fix(f)
		}
	}
}

// Remove takes the entry out in O(log n) and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.flow == nil {
		return false
	}
	e.flow.tenant.level.remove(e, &q.attained)
	if e.deadline >= 0 {
		q.deadlines.removeAt(e.deadline)
	}
	q.count(e.Key, -1)
	return true
}

// Expired removes and returns one item whose deadline is not after now; call it until ok is false.
func (q *Queue[T]) Expired(now time.Time) (e *Entry[T], ok bool) {
	if at, any := q.NextDeadline(); !any || at.After(now) {
		return nil, false
	}
	e = q.deadlines[0]
	q.Remove(e)
	return e, true
}

// NextDeadline returns the earliest deadline of all items.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.deadlines[0].Deadline, true
}

func (q *Queue[T]) count(key Key, d int) {
	q.n += d
	before := q.workspaces[key.Workspace]
	addTo(q.workspaces, key.Workspace, d)
	switch {
	case before == 0:
		q.shares.join(key.Workspace)
	case before+d == 0:
		q.shares.leave(key.Workspace)
	}
	addTo(q.classes, classKey{key.Workspace, key.Class}, d)
	addTo(q.callers, callerKey{key.Workspace, key.Caller}, d)
}

// addTo drops zero counts, so that the maps hold only those who wait.
func addTo[K comparable](m map[K]int, k K, d int) {
	if m[k] += d; m[k] == 0 {
		delete(m, k)
	}
}
