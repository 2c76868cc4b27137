package queuer

import "chestnutmux.example/chestnutmux/pkg/model"

// The levels of a queue, most urgent first.
const (
	levelUrgent = iota
	levelStandard
	levelBatch
	levelCount
)

// reserved is the share of a level, in percent of all items served while a more urgent level waits.
// During a flood of urgent work, 10% and 5% keep standard and batch requests moving towards their
// deadlines; urgent work gives up at most 15% of the capacity for it.
var reserved = [levelCount]int{levelStandard: 10, levelBatch: 5}

func levelOf(u model.Urgency) int {
	switch u {
	case model.UrgencyUrgent:
		return levelUrgent
	case model.UrgencyBatch:
		return levelBatch
	}
	return levelStandard
}

// level holds the items of one urgency.
type level[T any] struct {
	n       int
	credit  int // percent of an item that the level is owed from its reserved share
	tenants map[model.WorkspaceID]*tenant[T]
	ring    list[*tenant[T]]
	flows   heapOf[*flow[T]] // heaviest first
}

// tenant holds the items of one workspace at one level.
type tenant[T any] struct {
	id      model.WorkspaceID
	level   *level[T]
	deficit int
	flows   map[model.CallerID]*flow[T]
	turns   heapOf[*turn[T]] // callers within their share, oldest waiting item first
	late    heapOf[*late[T]] // callers over their share, least attained service first
	place   link[*tenant[T]]
}

// flow holds the items of one caller at one level, oldest first.
type flow[T any] struct {
	id     model.CallerID
	tenant *tenant[T]
	n      int
	items  list[*Entry[T]]
	meter  *meter
	turn   turn[T] // in use unless over
	late   late[T] // in use while over
	over   bool
	index  int
}

// turn is the place of a flow among the callers within their share.
type turn[T any] struct {
	flow  *flow[T]
	index int
}

func (x *turn[T]) before(y *turn[T]) bool { return x.flow.oldest() < y.flow.oldest() }
func (x *turn[T]) setIndex(i int)         { x.index = i }

// late is the place of a flow among the callers over their share.
type late[T any] struct {
	flow  *flow[T]
	index int
}

func (x *late[T]) before(y *late[T]) bool {
	if x.flow.meter.value != y.flow.meter.value {
		return x.flow.meter.value < y.flow.meter.value
	}
	return x.flow.oldest() < y.flow.oldest()
}
func (x *late[T]) setIndex(i int) { x.index = i }

// oldest returns the place of the oldest item in the order of arrival.
func (f *flow[T]) oldest() uint64 { return f.items.head.value.seq }

func (f *flow[T]) before(o *flow[T]) bool { return f.n > o.n }
func (f *flow[T]) setIndex(i int)         { f.index = i }

// nextTenant returns the workspace and level to serve: the most urgent level that waits, or a lower one that
// is owed an item. Workspaces beyond their share are passed over as long as another one waits.
func (q *Queue[T]) nextTenant() *tenant[T] {
	var within, all [levelCount]*tenant[T]
	found := false
	for i := range q.levels {
		l := &q.levels[i]
		if l.n == 0 {
			l.credit = 0
			continue
		}
		all[i] = l.ring.head.value
		for p := l.ring.head; p != nil && within[i] == nil; p = p.next {
			if !q.shares.over(p.value.id) {
				within[i], found = p.value, true
			}
		}
	}
	if !found {
		within = all
	}
	var top, owed *tenant[T]
	for i, t := range within {
		switch {
		case t == nil:
		case top == nil:
			top = t
		default:
			t.level.credit += reserved[i]
			if owed == nil && t.level.credit >= 100 {
				owed = t
			}
		}
	}
	if owed != nil {
		owed.level.credit -= 100
		return owed
	}
	return top
}

func (l *level[T]) push(e *Entry[T], a *attainment) {
	t := l.tenants[e.Key.Workspace]
	if t == nil {
		t = &tenant[T]{id: e.Key.Workspace, level: l, flows: map[model.CallerID]*flow[T]{}}
		t.place.value = t
		l.tenants[t.id] = t
		l.ring.pushBack(&t.place)
	}
	f := t.flows[e.Key.Caller]
	if f == nil {
		f = &flow[T]{id: e.Key.Caller, tenant: t}
		f.meter = a.join(callerKey{t.id, f.id})
		f.turn.flow, f.late.flow = f, f
		t.flows[f.id] = f
		l.flows.add(f)
	}
	e.flow = f
	f.items.pushBack(&e.place)
	f.meter.wait(1)
	if f.n++; f.n == 1 {
		f.over = a.over(f.meter)
		t.add(f)
	}
	l.n++
	l.flows.fix(f.index)
}

// next returns the oldest item among the callers within their share; only when none of them waits, that of the
// caller over its share with the least attained service. A workspace spends its weight before the next one of the
// level is served.
//
// Taking callers in turn instead lets a caller with a full queue take as much as each of the few small callers that
// happen to wait: their p99 wait was more than four times that without the large caller. Least attained service
// among all callers doubled it and start-time fair queueing gave 1.6, because alike callers overtake one another.
func (t *tenant[T]) next(weight float64, a *attainment) *Entry[T] {
	if t.deficit <= 0 {
		t.deficit = int(weight)
	}
	e := t.first(a).items.head.value
	if t.deficit--; t.deficit == 0 {
		t.level.ring.moveToBack(&t.place)
	}
	return e
}

// first returns the caller to serve, after moving callers whose standing has changed.
func (t *tenant[T]) first(a *attainment) *flow[T] {
	for len(t.late) > 0 && !a.over(t.late[0].flow.meter) {
		t.move(t.late[0].flow, false)
	}
	for len(t.turns) > 0 && a.over(t.turns[0].flow.meter) {
		t.move(t.turns[0].flow, true)
	}
	if len(t.turns) > 0 {
		return t.turns[0].flow
	}
	return t.late[0].flow
}

func (t *tenant[T]) move(f *flow[T], over bool) {
	t.take(f)
	f.over = over
	t.add(f)
}

func (t *tenant[T]) add(f *flow[T]) {
	if f.over {
		t.late.add(&f.late)
		return
	}
	t.turns.add(&f.turn)
}

func (t *tenant[T]) take(f *flow[T]) {
	if f.over {
		t.late.removeAt(f.late.index)
		return
	}
	t.turns.removeAt(f.turn.index)
}

// fix restores the place of a flow after its service or its oldest item changed.
func (t *tenant[T]) fix(f *flow[T]) {
	if f.over {
		t.late.fix(f.late.index)
		return
	}
	t.turns.fix(f.turn.index)
}

func (l *level[T]) remove(e *Entry[T], a *attainment) {
	f := e.flow
	t := f.tenant
	e.flow = nil
	l.n--
	f.meter.wait(-1)
	if f.n--; f.n > 0 {
		f.items.remove(&e.place)
		t.fix(f)
		l.flows.fix(f.index)
		return
	}
	t.take(f) // the heaps compare oldest items, so it goes before its last item does
	f.items.remove(&e.place)
	l.flows.removeAt(f.index)
	a.leave(f.meter)
	delete(t.flows, f.id)
	if len(t.flows) == 0 {
		l.ring.remove(&t.place)
		delete(l.tenants, t.id)
	}
}
