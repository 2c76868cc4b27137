package reserver

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// simTask is a task on a modelled worker.
type simTask struct {
	workerclient.Task
	version uint64
	lease   time.Time
	due     time.Time // end of the run, or of the checkpoint
	begun   time.Time
}

// simWorker models a worker: terms, leases and idempotent operations.
type simWorker struct {
	host    hostclient.Host
	boots   int
	term    model.Term
	version uint64
	tasks   []*simTask // in the order of their reservation
	fails   bool       // every task fails
}

func (w *simWorker) find(id model.TaskID) *simTask {
	for _, t := range w.tasks {
		if t.ID == id {
			return t
		}
	}
	return nil
}

func (w *simWorker) set(t *simTask, s workerclient.TaskState) {
	w.version++
	t.State, t.version = s, w.version
}

// advance lets leases lapse and tasks end, in that order.
func (w *simWorker) advance(now time.Time) {
	for _, t := range w.tasks {
		switch {
		case !t.State.Holds():
		case !now.Before(t.lease) && (t.State == workerclient.TaskReserved || t.lease.Before(t.due)):
			w.set(t, workerclient.TaskLapsed)
		case t.State == workerclient.TaskRunning && !now.Before(t.due):
			t.RunMS = millis(t.due.Sub(t.begun))
			if w.fails {
				w.set(t, workerclient.TaskFailed)
			} else {
				w.set(t, workerclient.TaskFinished)
			}
		case t.State == workerclient.TaskCheckpointing && !now.Before(t.due):
			w.set(t, workerclient.TaskCheckpointed)
		}
	}
}

func (w *simWorker) serve(s *sim, b workerclient.Batch) workerclient.Reply {
	w.advance(s.now)
	rep := workerclient.Reply{Worker: w.host.ID, Boot: model.BootID(fmt.Sprint(w.boots)), Term: w.term}
	if b.Term.Compare(w.term) < 0 {
		rep.Error = model.KindStaleTerm
		return rep
	}
	w.term, rep.Term = b.Term, b.Term
	for _, op := range b.Ops {
		rep.Results = append(rep.Results, w.apply(s, op))
	}
	rep.Version, rep.Full = w.version, b.Since == 0 || b.Boot != rep.Boot
	for _, t := range w.tasks {
		if rep.Full || t.version > b.Since {
			rep.Tasks = append(rep.Tasks, t.Task)
		}
	}
	return rep
}

func (w *simWorker) apply(s *sim, op workerclient.Op) workerclient.Result {
	ttl := time.Duration(op.TTL) * time.Millisecond
	if op.Kind == workerclient.OpRenewAll {
		for _, t := range w.tasks {
			if t.State.Holds() && t.State != workerclient.TaskReserved && !slices.Contains(op.Except, t.Gang) {
				t.lease = s.now.Add(ttl)
			}
		}
		return workerclient.Result{}
	}
	t := w.find(op.Task)
	if op.Kind == workerclient.OpReserve {
		return w.reserve(s, t, op, ttl)
	}
	if t == nil {
		return workerclient.Result{Task: op.Task, Error: model.KindUnknownTask}
	}
	ok := true
	switch op.Kind {
	case workerclient.OpStart:
		if t.State == workerclient.TaskReserved {
			w.set(t, workerclient.TaskRunning)
			t.lease, t.begun = s.now.Add(ttl), s.now
			t.due = s.now.Add(time.Duration(500+s.rng.IntN(30_000)) * time.Millisecond)
		}
		ok = t.State == workerclient.TaskRunning
	case workerclient.OpCheckpoint:
		if ok = t.State == workerclient.TaskRunning; ok {
			w.set(t, workerclient.TaskCheckpointing)
			t.due = s.now.Add(time.Duration(200+s.rng.IntN(1500)) * time.Millisecond)
		}
	case workerclient.OpStop:
		if t.State.Holds() {
			w.set(t, workerclient.TaskStopped)
		}
		ok = t.State == workerclient.TaskStopped
	case workerclient.OpRelease, workerclient.OpForget:
		want := op.Kind == workerclient.OpRelease
		ok = want == (t.State == workerclient.TaskReserved) && want == t.State.Holds()
		if ok {
			w.tasks = slices.DeleteFunc(w.tasks, func(x *simTask) bool { return x == t })
		}
	}
	res := workerclient.Result{Task: op.Task, State: t.State}
	if !ok {
		res.Error = model.KindWrongState
	}
	return res
}

func (w *simWorker) reserve(s *sim, t *simTask, op workerclient.Op, ttl time.Duration) workerclient.Result {
	res := workerclient.Result{Task: op.Task, State: workerclient.TaskReserved}
	used := op.Accelerators
	for _, x := range w.tasks {
		if x.State.Holds() && x != t {
			used += x.Accelerators
		}
	}
	switch {
	case t != nil && t.State != workerclient.TaskReserved:
		return workerclient.Result{Task: op.Task, State: t.State, Error: model.KindWrongState}
	case used > 8:
		return workerclient.Result{Task: op.Task, Error: model.KindNoCapacity}
	case t == nil:
		t = &simTask{Task: workerclient.Task{
			ID: op.Task, Gang: op.Gang, Job: op.Job, Workspace: op.Workspace,
			Members: op.Members, Accelerators: op.Accelerators,
		}}
		w.tasks = append(w.tasks, t)
		w.set(t, workerclient.TaskReserved)
	}
	t.lease = s.now.Add(ttl)
	return res
}

// simJob is a job record as all planners read it.
type simJob struct {
	id       model.JobID
	accepted time.Time
	size     int
	attempt  int
	done     bool
}

// simPlanner is an entry host: a reserver with a simple scheduler.
type simPlanner struct {
	*Reserver
	id      model.HostID
	gen     int // counts restarts
	paused  time.Time
	retake  time.Time // when to take over again, zero for never
	up      []model.HostID
	gangs   map[model.JobID]model.GangID
	retryAt map[model.JobID]time.Time
	cut     map[model.HostID]bool // workers it can't reach
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].seq < q[j].seq
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	n := len(*q) - 1
	x := (*q)[n]
	*q = (*q)[:n]
	return x
}

// sim runs planners against modelled workers over a network with loss, duplication,
// delay and reordering, in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	seq       int
	queue     simQueue
	workers   []*simWorker
	planners  []*simPlanner
	jobs      []*simJob
	loss, dup int // percent
	partial   map[model.GangID]time.Time
	slack     time.Duration // pauses so far; they may delay the planner's part of a bound
	counts    map[string]int
	faults    []string
}

func newSim(seed uint64, workers, planners int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0),
		partial: map[model.GangID]time.Time{}, counts: map[string]int{},
	}
	for i := range workers {
		s.workers = append(s.workers, &simWorker{host: hostclient.Host{
			ID: model.HostID(fmt.Sprintf("w%02d", i)), Role: hostclient.RoleWorker, Domain: "d",
			Rack: "r", Index: i, State: hostclient.StateLive,
		}})
	}
	for i := range planners {
		p := &simPlanner{id: model.HostID(fmt.Sprintf("p%d", i)), cut: map[model.HostID]bool{}}
		s.planners = append(s.planners, p)
		s.restart(p)
		s.tick(p)
	}
	return s
}

// restart replaces the planner's process by a new one that knows nothing.
func (s *sim) restart(p *simPlanner) {
	p.gen++
	p.Reserver = New(Config{Host: p.id, Domain: "d", Rand: s.rng})
	p.gangs, p.retryAt, p.up = map[model.JobID]model.GangID{}, map[model.JobID]time.Time{}, nil
	inv := Inventory{}
	for _, w := range s.workers {
		inv.Positions = append(inv.Positions, Position{w.host.Rack, w.host.Index})
	}
	s.handle(p, inv)
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

// to runs f in the planner's process, once it is not paused and unless it was restarted.
func (s *sim) to(p *simPlanner, d time.Duration, f func()) {
	gen := p.gen
	s.after(d, func() {
		switch {
		case p.gen != gen:
		case s.now.Before(p.paused):
			s.to(p, p.paused.Sub(s.now), f)
		default:
			f()
		}
	})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		s.check()
	}
	s.now = end
}

// tick is the planner's periodic work; it goes on over restarts.
func (s *sim) tick(p *simPlanner) {
	s.after(tickEvery, func() { s.tick(p) })
	if s.now.Before(p.paused) {
		return
	}
	if !p.retake.IsZero() && !s.now.Before(p.retake) && !p.active() {
		s.handle(p, TakeOver{})
	}
	if s.rng.IntN(10) == 0 {
		ev := Hosts{ReadAt: s.now}
		for _, w := range s.workers {
			ev.Hosts = append(ev.Hosts, w.host)
		}
		s.handle(p, ev)
	}
	s.handle(p, Tick{})
	s.plan(p)
}

// plan starts every job that has no gang at this planner on random workers.
func (s *sim) plan(p *simPlanner) {
	for _, j := range s.jobs {
		ok, _ := p.Status().Accounted(s.now, j.accepted)
		if j.done || p.gangs[j.id] != "" || !ok || s.now.Before(p.retryAt[j.id]) || len(p.up) < j.size {
			continue
		}
		up := slices.Clone(p.up)
		s.rng.Shuffle(len(up), func(a, b int) { up[a], up[b] = up[b], up[a] })
		g := model.GangID(fmt.Sprintf("%s/%d", j.id, j.attempt+1))
		p.gangs[j.id] = g
		s.handle(p, StartGang{Gang: g, Job: j.id, AcceptedAt: j.accepted, Workers: up[:j.size], Accelerators: 4})
	}
}

func (s *sim) job(id model.JobID) *simJob {
	return s.jobs[slices.IndexFunc(s.jobs, func(j *simJob) bool { return j.id == id })]
}

func attempt(g model.GangID) (n int) {
	_, _ = fmt.Sscan(string(g[strings.LastIndexByte(string(g), '/')+1:]), &n)
	return n
}

// handle passes an event to the planner and acts on what comes out.
func (s *sim) handle(p *simPlanner, ev Event) {
	p.Handle(s.now, ev)
	sends, reports := p.Drain()
	for _, x := range sends {
		s.transmit(p, x)
	}
	for _, rep := range reports {
		s.counts[fmt.Sprintf("%T", rep)[len("reserver."):]]++
		switch rep := rep.(type) {
		case RoleChanged:
			if rep.Role != RolePlanner {
				clear(p.gangs)
				p.up = nil
			}
			if rep.Role == RoleSteppedDown && !p.retake.IsZero() {
				p.retake = s.now.Add(time.Duration(2000+s.rng.IntN(30_000)) * time.Millisecond)
			}
		case WorkerUp:
			if !slices.Contains(p.up, rep.Host.ID) {
				p.up = append(p.up, rep.Host.ID)
			}
		case WorkerDown:
			p.up = slices.DeleteFunc(p.up, func(id model.HostID) bool { return id == rep.Worker })
		case GangStarted:
			j := s.job(rep.Job)
			j.attempt = max(j.attempt, attempt(rep.Gang))
		case GangAdopted:
			p.gangs[rep.Job] = rep.Gang
			j := s.job(rep.Job)
			j.attempt = max(j.attempt, attempt(rep.Gang))
		case GangRefused:
			p.retryAt[rep.Job] = rep.RetryAt
			if p.gangs[rep.Job] == rep.Gang {
				delete(p.gangs, rep.Job)
			}
		case GangEnded:
			j := s.job(rep.Job)
			if rep.Started {
				j.attempt = max(j.attempt, attempt(rep.Gang))
			}
			j.done = j.done || rep.Outcome == OutcomeFinished
			if p.gangs[rep.Job] == rep.Gang {
				delete(p.gangs, rep.Job)
			}
			s.to(p, time.Duration(s.rng.IntN(300))*time.Millisecond, func() { s.handle(p, Acknowledge{rep.Gang}) })
		}
	}
}

// transmit delivers a batch zero, one or two times and its answer at most once, all before the deadline.
func (s *sim) transmit(p *simPlanner, x Send) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.host.ID == x.Worker })]
	answered := false
	limit := x.Deadline.Sub(s.now)
	s.to(p, limit, func() {
		if !answered {
			s.handle(p, SendFailed{Worker: x.Worker, Seq: x.Seq})
		}
	})
	delay := func() time.Duration {
		if s.rng.IntN(20) == 0 {
			return time.Duration(s.rng.Int64N(int64(limit)))
		}
		return time.Duration(1+s.rng.IntN(5)) * time.Millisecond
	}
	deliver := func() {
		if p.cut[x.Worker] {
			return
		}
		rep := w.serve(s, x.Batch)
		if s.rng.IntN(100) >= s.loss {
			s.to(p, delay(), func() {
				if !answered || s.rng.IntN(2) == 0 {
					answered = answered || !s.now.After(x.Deadline)
					s.handle(p, Replied{Worker: x.Worker, Seq: x.Seq, Reply: rep})
				}
			})
		}
	}
	if s.rng.IntN(100) >= s.loss {
		s.after(delay(), deliver)
	}
	if s.rng.IntN(100) < s.dup {
		s.after(delay(), deliver)
	}
}

func (s *sim) fault(format string, args ...any) {
	s.faults = append(s.faults, s.now.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// check looks for a task id or two attempts of a job that run at once, and for partial gangs beyond their bound.
func (s *sim) check() {
	where := map[model.TaskID]model.HostID{}
	gangs := map[model.JobID]model.GangID{}
	running, present := map[model.GangID]int{}, map[model.GangID]int{}
	for _, w := range s.workers {
		w.advance(s.now)
		for _, t := range w.tasks {
			if t.State == workerclient.TaskFinished {
				present[t.Gang]++
			}
			if t.State != workerclient.TaskRunning && t.State != workerclient.TaskCheckpointing {
				continue
			}
			if at := where[t.ID]; at != "" {
				s.fault("task %s runs on %s and %s", t.ID, at, w.host.ID)
			}
			if g := gangs[t.Job]; g != "" && g != t.Gang {
				s.fault("job %s runs as %s and %s", t.Job, g, t.Gang)
			}
			where[t.ID], gangs[t.Job] = w.host.ID, t.Gang
			running[t.Gang]++
			present[t.Gang]++
		}
	}
	for g := range s.partial {
		if running[g] == 0 {
			delete(s.partial, g)
		}
	}
	for g := range running {
		if present[g] == s.job(model.JobID(g[:strings.IndexByte(string(g), '/')])).size {
			delete(s.partial, g)
		} else if since, ok := s.partial[g]; !ok {
			s.partial[g] = s.now
		} else if bound := 22*time.Second + s.slack; s.now.Sub(since) > bound {
			s.fault("gang %s is partial for more than %s", g, bound)
		}
	}
}
