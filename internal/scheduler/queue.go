package scheduler

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// level is the rank of an urgency, most urgent first.
type level int

const levels = 3

func levelOf(u model.Urgency) level {
	switch u {
	case model.UrgencyUrgent:
		return 0
	case model.UrgencyBatch:
		return 2
	}
	return 1
}

type callerKey struct {
	workspace model.WorkspaceID
	caller    model.CallerID
}

type classKey struct {
	workspace model.WorkspaceID
	class     model.ClassID
}

// job is an accepted job without an outcome.
type job struct {
	spec      model.JobSpec
	accepted  time.Time
	offset    model.Offset
	attempt   int
	level     level
	known     bool // submitted, not only adopted
	entitled  bool // fits the workspace's guarantee
	queued    bool
	gang      *gang
	notBefore time.Time // end of the back-off
	refusals  int
	failures  int
	lastError string
	lane      *lane

	wait     Wait // as of the last pass
	ahead    int
	behind   model.JobID
	expected time.Time

	waited      time.Duration // for its cells, also over claims that replaced each other, while this process ran
	watched     uint64        // call of watchClaims that last found it
	refusedCell bool          // that it got no cell was reported
	late        bool          // that its cells were not left in time was reported
}

// older orders jobs by age.
func older(a, b *job) int {
	return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.offset, b.offset), cmp.Compare(a.spec.ID, b.spec.ID))
}

// lane is the queue of one caller at one level, oldest first.
type lane struct {
	caller *account
	jobs   []*job
	cursor int
	key    float64
}

// band holds the lanes of one workspace at one level.
type band struct {
	workspace model.WorkspaceID
	account   *account
	lanes     map[model.CallerID]*lane
	heap      []*lane
	key       float64
}

func (l *lane) insert(j *job) {
	i, _ := slices.BinarySearchFunc(l.jobs, j, older)
	l.jobs = slices.Insert(l.jobs, i, j)
	j.lane = l
}

func (l *lane) remove(j *job) {
	if i, ok := slices.BinarySearchFunc(l.jobs, j, older); ok {
		l.jobs = slices.Delete(l.jobs, i, i+1)
		if l.cursor > i {
			l.cursor--
		}
	}
	j.lane = nil
}

func (l *lane) rank() float64 { return l.key }
func (b *band) rank() float64 { return b.key }

// siftDown restores the heap order below position i.
func siftDown[T interface{ rank() float64 }](h []T, i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].rank() < h[c].rank() {
			c++
		}
		if h[i].rank() <= h[c].rank() {
			return
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}

func heapify[T interface{ rank() float64 }](h []T) {
	for i := len(h)/2 - 1; i >= 0; i-- {
		siftDown(h, i)
	}
}

func pop[T interface{ rank() float64 }](h []T) []T {
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	siftDown(h, 0)
	return h
}

// each offers the waiting jobs of a level in order: the workspace with the
// least weighted service, within it the callers within their share by age,
// then the others by service. A job that try takes must have left its lane.
func (s *Scheduler) each(lv level, now time.Time, try func(*job) bool) {
	h := s.heap[:0]
	for _, b := range s.order[lv] {
		b.heap = b.heap[:0]
		for _, l := range b.lanes {
			if len(l.jobs) > 0 {
				l.cursor, l.key = 0, s.laneKey(l, l.jobs[0], now)
				b.heap = append(b.heap, l)
			}
		}
		if len(b.heap) == 0 {
			continue
		}
		slices.SortFunc(b.heap, func(x, y *lane) int { return cmp.Or(cmp.Compare(x.key, y.key), older(x.jobs[0], y.jobs[0])) })
		b.key = b.account.key(now)
		h = append(h, b)
	}
	s.heap = h
	heapify(h)
	for len(h) > 0 && !s.pass.stop {
		b := h[0]
		l := b.heap[0]
		if l.cursor >= len(l.jobs) {
			if b.heap = pop(b.heap); len(b.heap) == 0 {
				h = pop(h)
			}
			continue
		}
		if !try(l.jobs[l.cursor]) {
			l.cursor++
			continue
		}
		if l.cursor < len(l.jobs) {
			l.key = s.laneKey(l, l.jobs[l.cursor], now)
		}
		siftDown(b.heap, 0)
		b.key = b.account.key(now)
		siftDown(h, 0)
	}
}

func (s *Scheduler) enqueue(j *job) {
	ws, caller, lv := j.spec.Workspace, j.spec.Caller, j.level
	if s.opts.Baseline {
		ws, caller, lv = "", "", 0
	}
	b := s.bands[lv][ws]
	if b == nil {
		b = &band{workspace: ws, account: s.workspace(ws), lanes: map[model.CallerID]*lane{}}
		s.bands[lv][ws] = b
		s.order[lv] = append(s.order[lv], b)
		slices.SortFunc(s.order[lv], func(x, y *band) int { return cmp.Compare(x.workspace, y.workspace) })
	}
	l := b.lanes[caller]
	if l == nil {
		l = &lane{caller: s.caller(ws, caller)}
		b.lanes[caller] = l
	}
	l.insert(j)
	j.queued = true
	j.wait = WaitNextPass
	s.count(j, 1)
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	j.lane.remove(j)
	s.count(j, -1)
}

func (s *Scheduler) count(j *job, n int) {
	s.waiting += n
	s.workspace(j.spec.Workspace).waiting += n
	s.caller(j.spec.Workspace, j.spec.Caller).waiting += n
	s.classWaiting[classKey{j.spec.Workspace, j.spec.Class}] += n
	s.asked(j.spec.Shape).waiting += n
	s.mixChanged = true
	s.dirty = true
}

// oldest returns the waiting job accepted first among those that ok accepts, of workspaces and callers within their share.
func (s *Scheduler) oldest(now time.Time, ok func(*job) bool) *job {
	var best *job
	for lv := range s.order {
		for _, b := range s.order[lv] {
			if s.beyondShare(b.workspace, 0) {
				continue
			}
			for _, l := range b.lanes {
				if len(l.jobs) == 0 || s.over(l.caller, l.jobs[0], now) {
					continue
				}
				for _, j := range l.jobs {
					if best != nil && older(best, j) < 0 {
						break
					}
					if ok(j) {
						best = j
						break
					}
				}
			}
		}
	}
	return best
}
