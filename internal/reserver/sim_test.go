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
	rng        *rand.Rand
	now        time.Time
	seq        int
	queue      simQueue
	workers    []*simWorker
	planners   []*simPlanner
	jobs       []*simJob
	loss, dup  int // percent
	slow       int // percent of messages that take up to the whole time of a call
	partial    map[model.GangID]time.Time
	finished   map[model.TaskID]bool // ever; a planner may know it when the worker has restarted since
	slack      time.Duration         // pauses so far; they may delay the planner's part of a bound
	counts     map[string]int
	faults     []string
	impossible bool // the test breaks a rule, so alarms are right
}

func newSim(seed uint64, workers, planners int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_000_000, 0),
		partial: map[model.GangID]time.Time{}, finished: map[model.TaskID]bool{}, counts: map[string]int{}, slow: 5,
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
	inv := Inventory{Racks: map[model.RackID]Resources{"r": {Accelerators: 8}}}
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
		case GangPartial, WorkerOver:
			if s.impossible {
				continue
			}
			s.fault("false alarm: %+v", rep)
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
		if s.rng.IntN(100) < s.slow {
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
	running := map[model.GangID]int{}
	for _, w := range s.workers {
		w.advance(s.now)
		for _, t := range w.tasks {
			if t.State == workerclient.TaskFinished {
				s.finished[t.ID] = true
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
		}
	}
	for g := range s.partial {
		if running[g] == 0 {
			delete(s.partial, g)
		}
	}
	for g := range running {
		missing := s.job(model.JobID(g[:strings.IndexByte(string(g), '/')])).size
		for i := range missing {
			if id := model.TaskID(fmt.Sprintf("%s/%d", g, i)); where[id] != "" || s.finished[id] {
				missing--
			}
		}
		if missing == 0 {
			delete(s.partial, g)
		} else if since, ok := s.partial[g]; !ok {
			s.partial[g] = s.now
		} else if bound := 22*time.Second + s.slack; s.now.Sub(since) > bound {
			s.fault("gang %s is partial for more than %s", g, bound)
		}
	}
}
