package queuer

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Limits bounds the number of items in a queue. Zero values select the defaults.
type Limits struct {
	Total     int // items in the whole queue
	Workspace int // items per workspace
	Class     int // items per class within a workspace
	Caller    int // items per caller
}

// DefaultLimits allows about 10 s of work of one entry host to be queued: 50 runners with 8 slots at 100 ms per request
// serve 4,000 requests per second, which is 500 per second for each of 8 entry hosts. A workspace may use at most half of
// the queue, a class a quarter and a caller 5%, so that none of them can fill it.
var DefaultLimits = Limits{Total: 5000, Workspace: 2500, Class: 1250, Caller: 250}

// Errors that Push returns when a limit is reached.
var (
	ErrFull          = errors.New("queuer: queue is full")
	ErrWorkspaceFull = errors.New("queuer: workspace has too many requests waiting")
	ErrClassFull     = errors.New("queuer: class has too many requests waiting")
	ErrCallerFull    = errors.New("queuer: caller has too many requests waiting")
)

// Key states the owner, the class and the urgency of an item.
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

// Entry is an item in a queue; it is the handle for Remove.
type Entry[T any] struct {
	Item     T
	Key      Key
	Deadline time.Time // zero means none

	flow          *flow[T] // nil after removal from the queue
	node          listNode[*Entry[T]]
	seq           uint64 // sequence number in order of arrival
	deadlineIndex int    // index in Queue.deadlines, -1 if not in it
}

func (e *Entry[T]) before(o *Entry[T]) bool { return e.Deadline.Before(o.Deadline) }
func (e *Entry[T]) setIndex(i int)          { e.deadlineIndex = i }

// Queue is a bounded fair queue of items.
type Queue[T any] struct {
	limits   Limits
	shares   workspaceShares
	attained attainedUsage
	lastSeq  uint64
	levels   [levelCount]level[T]
	// Numbers of waiting items.
	workspaceCounts map[model.WorkspaceID]int
	classCounts     map[classKey]int
	callerCounts    map[callerKey]int
	deadlines       indexedHeap[*Entry[T]]
	itemCount       int
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
		limits:          limits,
		shares:          workspaceShares{served: map[model.WorkspaceID]float64{}},
		workspaceCounts: map[model.WorkspaceID]int{},
		classCounts:     map[classKey]int{},
		callerCounts:    map[callerKey]int{},
	}
	for i := range q.levels {
		q.levels[i].workspaces = map[model.WorkspaceID]*workspaceQueue[T]{}
	}
	return q
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.itemCount }

// SetWeights replaces the weights of workspaces. A missing or non-positive weight counts as 1.
func (q *Queue[T]) SetWeights(weights map[model.WorkspaceID]int) {
	q.shares.weights = maps.Clone(weights)
	q.shares.totalWeight = 0
	for ws := range q.workspaceCounts {
		q.shares.totalWeight += q.shares.weight(ws)
	}
}

// Push adds an item, or returns the error of the limit that is reached. If the whole queue is full, Push may remove
// another item to make room, and returns that item as displaced.
func (q *Queue[T]) Push(item T, key Key, deadline time.Time) (added, displaced *Entry[T], err error) {
	switch {
	case q.callerCounts[callerKey{key.Workspace, key.Caller}] >= q.limits.Caller:
		return nil, nil, ErrCallerFull
	case q.classCounts[classKey{key.Workspace, key.Class}] >= q.limits.Class:
		return nil, nil, ErrClassFull
	case q.workspaceCounts[key.Workspace] >= q.limits.Workspace:
		return nil, nil, ErrWorkspaceFull
	}
	if q.itemCount >= q.limits.Total {
		if displaced = q.selectVictim(key); displaced == nil {
			return nil, nil, ErrFull
		}
		q.Remove(displaced)
	}
	q.lastSeq++
	e := &Entry[T]{Item: item, Key: key, Deadline: deadline, deadlineIndex: -1, seq: q.lastSeq}
	e.node.value = e
	q.levels[levelOf(key.Urgency)].push(e, &q.attained)
	if !deadline.IsZero() {
		q.deadlines.add(e)
	}
	q.adjustCounts(key, 1)
	return e, displaced, nil
}

// selectVictim returns the item to displace by a new item with the given key: the newest item of the largest flow at the
// least urgent level that has items waiting. It returns nil if that level is more urgent than the new item, or if the
// caller of the new item has at least as many items waiting as that flow.
func (q *Queue[T]) selectVictim(key Key) *Entry[T] {
	for i := levelCount - 1; i >= levelOf(key.Urgency); i-- {
		l := &q.levels[i]
		if l.itemCount == 0 {
			continue
		}
		largest := l.flowsByLength[0]
		if q.callerCounts[callerKey{key.Workspace, key.Caller}] >= largest.itemCount {
			return nil
		}
		return largest.items.tail.value
	}
	return nil
}

// Pop removes and returns the next item to serve. Callers must remove expired items with PopExpired first.
func (q *Queue[T]) Pop() (*Entry[T], bool) {
	w := q.nextWorkspace()
	if w == nil {
		return nil, false
	}
	e := w.nextEntry(q.shares.weight(w.id), &q.attained)
	q.shares.recordServed(w.id)
	q.recordServed(e)
	q.Remove(e)
	return e, true
}

// recordServed counts an item as served to its caller and restores the heap order of the caller's flows at all levels.
func (q *Queue[T]) recordServed(e *Entry[T]) {
	q.attained.recordServed(e.flow.usage)
	for i := range q.levels {
		w := q.levels[i].workspaces[e.Key.Workspace]
		if w == nil {
			continue
		}
		if f := w.flows[e.Key.Caller]; f != nil {
			w.reorderFlow(f)
		}
	}
}

// Remove removes the entry in O(log n) and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.flow == nil {
		return false
	}
	e.flow.workspace.level.remove(e, &q.attained)
	if e.deadlineIndex >= 0 {
		q.deadlines.removeAt(e.deadlineIndex)
	}
	q.adjustCounts(e.Key, -1)
	return true
}

// PopExpired removes and returns one item whose deadline has been reached; ok is false if there is none.
func (q *Queue[T]) PopExpired(now time.Time) (e *Entry[T], ok bool) {
	if at, exists := q.NextDeadline(); !exists || at.After(now) {
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

func (q *Queue[T]) adjustCounts(key Key, delta int) {
	q.itemCount += delta
	waiting := q.workspaceCounts[key.Workspace]
	addCount(q.workspaceCounts, key.Workspace, delta)
	switch {
	case waiting == 0:
		q.shares.activate(key.Workspace)
	case waiting+delta == 0:
		q.shares.deactivate(key.Workspace)
	}
	addCount(q.classCounts, classKey{key.Workspace, key.Class}, delta)
	addCount(q.callerCounts, callerKey{key.Workspace, key.Caller}, delta)
}

// addCount adds delta to a counter and deletes it at zero, so that the maps don't keep entries of former callers.
func addCount[K comparable](m map[K]int, k K, delta int) {
	if m[k] += delta; m[k] == 0 {
		delete(m, k)
	}
}
