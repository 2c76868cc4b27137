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
	ring    list[*flow[T]]
	place   link[*tenant[T]]
}

// flow holds the items of one caller at one level, oldest first.
type flow[T any] struct {
	id     model.CallerID
	tenant *tenant[T]
	n      int
	items  list[*Entry[T]]
	place  link[*flow[T]]
	index  int
}

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

func (l *level[T]) push(e *Entry[T]) {
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
		f.place.value = f
		t.flows[f.id] = f
		t.ring.pushBack(&f.place)
		l.flows.add(f)
	}
	e.flow = f
	f.items.pushBack(&e.place)
	f.n++
	l.n++
	l.flows.fix(f.index)
}

// next returns the oldest item of the caller whose turn it is. A workspace spends its weight before the
// next one of the level is served; a caller, one item.
func (t *tenant[T]) next(weight float64) *Entry[T] {
	if t.deficit <= 0 {
		t.deficit = int(weight)
	}
	f := t.ring.head.value
	e := f.items.head.value
	t.ring.moveToBack(&f.place)
	if t.deficit--; t.deficit == 0 {
		t.level.ring.moveToBack(&t.place)
	}
	return e
}

func (l *level[T]) remove(e *Entry[T]) {
	f := e.flow
	t := f.tenant
	e.flow = nil
	f.items.remove(&e.place)
	f.n--
	l.n--
	if f.n > 0 {
		l.flows.fix(f.index)
		return
	}
	l.flows.removeAt(f.index)
	t.ring.remove(&f.place)
	delete(t.flows, f.id)
	if len(t.flows) == 0 {
		l.ring.remove(&t.place)
		delete(l.tenants, t.id)
	}
}
