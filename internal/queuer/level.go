package queuer

import "chestnutmux.example/chestnutmux/pkg/model"

// Urgency levels of a queue, most urgent first.
const (
	levelUrgent = iota
	levelStandard
	levelBatch
	levelCount
)

// reservedPercent is the percentage of served items that each level gets while a more urgent level has items waiting.
// During a flood of urgent requests, 10% and 5% let standard and batch requests make progress before their deadlines, and
// urgent requests give up at most 15% of the capacity.
var reservedPercent = [levelCount]int{levelStandard: 10, levelBatch: 5}

func levelOf(u model.Urgency) int {
	switch u {
	case model.UrgencyUrgent:
		return levelUrgent
	case model.UrgencyBatch:
		return levelBatch
	}
	return levelStandard
}

// level holds the items of one urgency level.
type level[T any] struct {
	itemCount     int
	credit        int // part of the reserved share that is due but not served yet, in percent of an item
	workspaces    map[model.WorkspaceID]*workspaceQueue[T]
	roundRobin    list[*workspaceQueue[T]]
	flowsByLength indexedHeap[*flow[T]] // flow with the most items first
}

// workspaceQueue holds the items of one workspace at one level.
type workspaceQueue[T any] struct {
	id              model.WorkspaceID
	level           *level[T]
	itemsLeftInTurn int // number of items that may still be served in the current round-robin turn
	flows           map[model.CallerID]*flow[T]
	withinShare     indexedHeap[*arrivalEntry[T]] // callers within their share, oldest waiting item first
	overShare       indexedHeap[*usageEntry[T]]   // callers over their share, least attained usage first
	node            listNode[*workspaceQueue[T]]
}

// flow is the FIFO queue of one caller at one level.
type flow[T any] struct {
	id           model.CallerID
	workspace    *workspaceQueue[T]
	itemCount    int
	items        list[*Entry[T]]
	usage        *callerUsage
	arrivalEntry arrivalEntry[T] // heap entry while isOverShare is false
	usageEntry   usageEntry[T]   // heap entry while isOverShare is true
	isOverShare  bool
	lengthIndex  int // index in level.flowsByLength
}

// arrivalEntry is a flow in the heap of callers within their share, ordered by the arrival of the oldest item.
type arrivalEntry[T any] struct {
	flow  *flow[T]
	index int
}

func (x *arrivalEntry[T]) before(y *arrivalEntry[T]) bool {
	return x.flow.oldestSeq() < y.flow.oldestSeq()
}
func (x *arrivalEntry[T]) setIndex(i int) { x.index = i }

// usageEntry is a flow in the heap of callers over their share, ordered by attained usage.
type usageEntry[T any] struct {
	flow  *flow[T]
	index int
}

func (x *usageEntry[T]) before(y *usageEntry[T]) bool {
	if x.flow.usage.attained != y.flow.usage.attained {
		return x.flow.usage.attained < y.flow.usage.attained
	}
	return x.flow.oldestSeq() < y.flow.oldestSeq()
}
func (x *usageEntry[T]) setIndex(i int) { x.index = i }

// oldestSeq returns the sequence number of the oldest item; the flow must not be empty.
func (f *flow[T]) oldestSeq() uint64 { return f.items.head.value.seq }

func (f *flow[T]) before(o *flow[T]) bool { return f.itemCount > o.itemCount }
func (f *flow[T]) setIndex(i int)         { f.lengthIndex = i }

// nextWorkspace selects the workspace queue to serve next: at the most urgent level with waiting items, or at a lower
// level whose reserved share is due. It skips workspaces over their share while another one has items waiting.
func (q *Queue[T]) nextWorkspace() *workspaceQueue[T] {
	var candidates, waiting [levelCount]*workspaceQueue[T]
	found := false
	for i := range q.levels {
		l := &q.levels[i]
		if l.itemCount == 0 {
			l.credit = 0
			continue
		}
		waiting[i] = l.roundRobin.head.value
		for p := l.roundRobin.head; p != nil && candidates[i] == nil; p = p.next {
			if !q.shares.exceedsShare(p.value.id) {
				candidates[i], found = p.value, true
			}
		}
	}
	if !found {
		candidates = waiting
	}
	var top, due *workspaceQueue[T]
	for i, w := range candidates {
		switch {
		case w == nil:
		case top == nil:
			top = w
		default:
			w.level.credit += reservedPercent[i]
			if due == nil && w.level.credit >= 100 {
				due = w
			}
		}
	}
	if due != nil {
		due.level.credit -= 100
		return due
	}
	return top
}

func (l *level[T]) push(e *Entry[T], a *attainedUsage) {
	w := l.workspaces[e.Key.Workspace]
	if w == nil {
		w = &workspaceQueue[T]{id: e.Key.Workspace, level: l, flows: map[model.CallerID]*flow[T]{}}
		w.node.value = w
		l.workspaces[w.id] = w
		l.roundRobin.pushBack(&w.node)
	}
	f := w.flows[e.Key.Caller]
	if f == nil {
		f = &flow[T]{id: e.Key.Caller, workspace: w}
		f.usage = a.acquire(callerKey{w.id, f.id})
		f.arrivalEntry.flow, f.usageEntry.flow = f, f
		w.flows[f.id] = f
		l.flowsByLength.add(f)
	}
	e.flow = f
	f.items.pushBack(&e.node)
	f.usage.addWaiting(1)
	if f.itemCount++; f.itemCount == 1 {
		f.isOverShare = a.exceedsShare(f.usage)
		w.addFlow(f)
	}
	l.itemCount++
	l.flowsByLength.fix(f.lengthIndex)
}

// nextEntry returns the oldest item of the callers within their share or, if none of these has items waiting, that of
// the caller over its share with the least attained usage. A workspace is served as many items as its weight before
// the next one of the level.
//
// Other policies let one caller with a full queue delay the small callers more. Plain round-robin serves it as often as each
// of the few small callers that have items waiting at the same time, which makes the p99 wait of small callers more than
// four times as long as without the large caller. Least attained service over all callers doubles that wait, and start-time
// fair queueing lengthens it by a factor of 1.6, because with both, similar callers overtake one another.
func (w *workspaceQueue[T]) nextEntry(weight float64, a *attainedUsage) *Entry[T] {
	if w.itemsLeftInTurn <= 0 {
		w.itemsLeftInTurn = int(weight)
	}
	e := w.selectFlow(a).items.head.value
	if w.itemsLeftInTurn--; w.itemsLeftInTurn == 0 {
		w.level.roundRobin.moveToBack(&w.node)
	}
	return e
}

// selectFlow moves the first flow of each heap to the other one, repeatedly, as long as its caller has come within or gone over
// its share, and returns the flow to serve.
func (w *workspaceQueue[T]) selectFlow(a *attainedUsage) *flow[T] {
	for len(w.overShare) > 0 && !a.exceedsShare(w.overShare[0].flow.usage) {
		w.setOverShare(w.overShare[0].flow, false)
	}
	for len(w.withinShare) > 0 && a.exceedsShare(w.withinShare[0].flow.usage) {
		w.setOverShare(w.withinShare[0].flow, true)
	}
	if len(w.withinShare) > 0 {
		return w.withinShare[0].flow
	}
	return w.overShare[0].flow
}

func (w *workspaceQueue[T]) setOverShare(f *flow[T], isOverShare bool) {
	w.removeFlow(f)
	f.isOverShare = isOverShare
	w.addFlow(f)
}

func (w *workspaceQueue[T]) addFlow(f *flow[T]) {
	if f.isOverShare {
		w.overShare.add(&f.usageEntry)
		return
	}
	w.withinShare.add(&f.arrivalEntry)
}

func (w *workspaceQueue[T]) removeFlow(f *flow[T]) {
	if f.isOverShare {
		w.overShare.removeAt(f.usageEntry.index)
		return
	}
	w.withinShare.removeAt(f.arrivalEntry.index)
}

// reorderFlow restores the heap order after the usage of the flow's caller or the oldest item of the flow has changed.
func (w *workspaceQueue[T]) reorderFlow(f *flow[T]) {
	if f.isOverShare {
		w.overShare.fix(f.usageEntry.index)
		return
	}
	w.withinShare.fix(f.arrivalEntry.index)
}

func (l *level[T]) remove(e *Entry[T], a *attainedUsage) {
	f := e.flow
	w := f.workspace
	e.flow = nil
	l.itemCount--
	f.usage.addWaiting(-1)
	if f.itemCount--; f.itemCount > 0 {
		f.items.remove(&e.node)
		w.reorderFlow(f)
		l.flowsByLength.fix(f.lengthIndex)
		return
	}
	w.removeFlow(f) // the heaps compare oldest items, so the flow must be removed from them before its last item is
	f.items.remove(&e.node)
	l.flowsByLength.removeAt(f.lengthIndex)
	a.release(f.usage)
	delete(w.flows, f.id)
	if len(w.flows) == 0 {
		l.roundRobin.remove(&w.node)
		delete(l.workspaces, w.id)
	}
}
