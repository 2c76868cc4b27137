package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
	"pgregory.net/rapid"
)

// world carries out decisions and keeps what really runs, to check them against.
type world struct {
	t     *rapid.T
	opts  Options
	s     *Scheduler
	set   *model.Set
	now   time.Time
	jobs  map[model.JobID]*model.Job // accepted, without an outcome
	gangs map[model.GangID]Running
	down  map[model.HostID]bool
	leave map[model.GangID]bool // being preempted
	next  int
}

const worldRacks = 2

func (w *world) fatalf(format string, args ...any) { w.t.Helper(); w.t.Fatalf(format, args...) }

func (w *world) boot() {
	w.s = New(w.opts)
	w.s.SetConfig(w.set, domain)
	addWorkers(w.s, worldRacks)
	for id := range w.down {
		w.s.RemoveWorker(id, w.now)
	}
}

func (w *world) pass() {
	for _, d := range slices.Clone(w.s.Pass(w.now)) {
		switch d := d.(type) {
		case Start:
			w.start(d)
		case Preempt:
			if _, ok := w.gangs[d.Gang]; !ok {
				w.fatalf("preempts gang %s, which does not run", d.Gang)
			}
			w.leave[d.Gang] = true
		case Reject:
			delete(w.jobs, d.Job)
		case Fail:
			delete(w.jobs, d.Job)
		}
	}
}

func (w *world) start(d Start) {
	j := w.jobs[d.Job]
	if j == nil {
		w.fatalf("starts job %s, which is not waiting", d.Job)
	}
	if d.Attempt <= j.Attempt {
		w.fatalf("attempt %d of job %s after attempt %d", d.Attempt, d.Job, j.Attempt)
	}
	j.Attempt = d.Attempt
	sh := j.Spec.Shape
	if len(d.Members) != sh.Workers {
		w.fatalf("gang %s has %d of %d members", d.Gang, len(d.Members), sh.Workers)
	}
	seen := map[model.HostID]bool{}
	for _, m := range d.Members {
		if seen[m] || w.down[m] {
			w.fatalf("gang %s has two members on worker %s or the worker is down", d.Gang, m)
		}
		seen[m] = true
	}
	for _, g := range w.gangs {
		if g.Job == d.Job {
			w.fatalf("job %s runs twice", d.Job)
		}
	}
	w.gangs[d.Gang] = Running{
		Job: d.Job, Attempt: d.Attempt, Gang: d.Gang, Workspace: j.Spec.Workspace,
		Shape: sh, Members: d.Members, StartedAt: w.now,
	}
	if w.next%2 == 0 {
		w.s.Started(d.Gang, w.now)
	}
	w.check(j.Spec.Workspace)
}

// check looks for over-committed workers and exceeded quotas.
func (w *world) check(started model.WorkspaceID) {
	acc := map[model.HostID]model.Accelerators{}
	cores := map[model.HostID]model.Cores{}
	used := map[model.WorkspaceID]model.Accelerators{}
	for _, g := range w.gangs {
		used[g.Workspace] += g.Shape.Total()
		for _, m := range g.Members {
			acc[m] += g.Shape.Accelerators
			cores[m] += g.Shape.Cores
		}
	}
	for m := range acc {
		if acc[m] > 8 || cores[m] > 32 {
			w.fatalf("worker %s runs %d accelerators and %d cores", m, acc[m], cores[m])
		}
	}
	if q := w.set.Workspaces[started].Quota; used[started] > q {
		w.fatalf("workspace %s uses %d of %d accelerators", started, used[started], q)
	}
}

func (w *world) submit(spec model.JobSpec) {
	w.next++
	spec.ID = model.JobID(fmt.Sprintf("j%d", w.next))
	if w.s.Admit(&spec, w.now) != nil {
		return
	}
	j := &model.Job{Spec: spec, State: model.JobQueued, AcceptedAt: w.now, Offset: model.Offset(w.next)}
	w.jobs[spec.ID] = j
	w.s.Submit(*j, w.now)
}

// end takes a gang off its workers and reports it.
func (w *world) end(id model.GangID, r Reason) {
	g := w.gangs[id]
	delete(w.gangs, id)
	delete(w.leave, id)
	e := End{Reason: r}
	switch r {
	case EndFinished, EndCanceled:
		delete(w.jobs, g.Job)
	case EndFailed:
		e.FailedOn, e.Error = g.Members[:1], "exit 1"
	}
	w.s.Ended(id, e, w.now)
	w.s.Ended(id, e, w.now) // reports may come twice
}

func (w *world) settle() {
	for _, id := range slices.Sorted(maps.Keys(w.leave)) {
		delete(w.leave, id)
		delete(w.gangs, id)
		w.s.Preempted(id, w.now)
	}
}

func (w *world) pick(name string) (model.GangID, bool) {
	ids := slices.Sorted(maps.Keys(w.gangs))
	if len(ids) == 0 {
		return "", false
	}
	return rapid.SampledFrom(ids).Draw(w.t, name), true
}

// takeover replaces the planner; the new one learns jobs and gangs in any order.
func (w *world) takeover(seed uint64) {
	w.boot()
	w.leave = map[model.GangID]bool{}
	var steps []func()
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		steps = append(steps, func() { w.s.Submit(*w.jobs[id], w.now) })
	}
	for _, id := range slices.Sorted(maps.Keys(w.gangs)) {
		steps = append(steps, func() { w.s.Adopt(w.gangs[id], w.now) })
	}
	w.s.HoldBefore(model.Offset(w.next + 1))
	rand.New(rand.NewPCG(seed, 0)).Shuffle(len(steps), func(i, k int) { steps[i], steps[k] = steps[k], steps[i] })
	for i, f := range steps {
		f()
		if i%3 == 0 {
			w.pass()
		}
	}
	w.s.HoldBefore(0)
}

// probe submits urgent work within the guarantee and expects it to start after one round of preemption.
func (w *world) probe(members int) {
	for _, j := range w.jobs {
		if j.Spec.Workspace == "a" && j.Spec.Class == "urgent" {
			return
		}
	}
	if len(w.down) > 0 || w.s.Stats(w.now).Quarantined > 0 {
		return
	}
	w.pass()
	w.settle()
	w.submit(model.JobSpec{Workspace: "a", Caller: "p", Class: "urgent", Shape: model.Shape{Workers: members, Accelerators: 8, Cores: 32, Span: model.SpanRack}})
	id := model.JobID(fmt.Sprintf("j%d", w.next))
	for range 2 {
		w.pass()
		w.settle()
	}
	w.pass()
	if w.s.Explain(id, w.now).Wait != WaitRunning {
		w.fatalf("urgent work within its guarantee waits: %+v", w.s.Explain(id, w.now))
	}
}

func (w *world) drawSpec() model.JobSpec {
	sh := model.Shape{
		Workers:      rapid.SampledFrom([]int{1, 1, 1, 2, 4, 8, 12}).Draw(w.t, "workers"),
		Accelerators: rapid.SampledFrom([]model.Accelerators{0, 1, 2, 3, 8}).Draw(w.t, "acc"),
		Cores:        rapid.SampledFrom([]model.Cores{0, 4, 16}).Draw(w.t, "cores"),
		Span:         rapid.SampledFrom([]model.Span{"", model.SpanRack}).Draw(w.t, "span"),
	}
	return model.JobSpec{
		Workspace: rapid.SampledFrom([]model.WorkspaceID{"a", "b", "b"}).Draw(w.t, "ws"),
		Caller:    rapid.SampledFrom([]model.CallerID{"c", "d"}).Draw(w.t, "caller"),
		Class:     rapid.SampledFrom([]model.ClassID{"urgent", "standard", "batch"}).Draw(w.t, "class"),
		Shape:     sh,
		RunMS:     rapid.SampledFrom([]model.Millis{0, 1000, 600_000}).Draw(w.t, "run"),
	}
}

func newWorld(t *rapid.T, opts Options) *world {
	set := config(worldRacks, 16, 3)
	set.Workspaces["a"] = model.Workspace{Quota: 64}
	set.Workspaces["b"] = model.Workspace{Quota: rapid.SampledFrom([]model.Accelerators{40, 96, 128}).Draw(t, "quota")}
	// Gangs leave only when a rule of the machine settles, so that claims may wait for any time.
	opts.ClaimMargin, opts.Violated = 1000*time.Hour, (&asserter.Asserter{Fatal: true}).Violated
	w := &world{
		t: t, opts: opts, set: set, now: start, jobs: map[model.JobID]*model.Job{}, gangs: map[model.GangID]Running{},
		down: map[model.HostID]bool{}, leave: map[model.GangID]bool{},
	}
	w.boot()
	return w
}

// TestMachine guards against over-committed workers, exceeded quotas, partial
// or doubled gangs, guarantees that cannot be reclaimed and jobs that wait
// forever, after any history of submissions, ends, failures and takeovers.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		baseline := rapid.IntRange(0, 4).Draw(t, "baseline") == 0
		opts := Options{AgingAfter: time.Minute, Baseline: baseline}
		w := newWorld(t, opts)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				w.t = t
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
				w.pass()
			},
			"submit": func(t *rapid.T) { w.submit(w.drawSpec()) },
			"flood": func(t *rapid.T) {
				spec := w.drawSpec()
				for range 20 {
					w.submit(spec)
				}
			},
			"end": func(t *rapid.T) {
				if id, ok := w.pick("gang"); ok {
					w.end(id, rapid.SampledFrom([]Reason{EndFinished, EndFinished, EndFailed, EndLost}).Draw(t, "reason"))
				}
			},
			"refuse": func(t *rapid.T) {
				if id, ok := w.pick("gang"); ok {
					delete(w.gangs, id)
					delete(w.leave, id)
					w.s.Refused(id, w.now)
				}
			},
			"settle": func(t *rapid.T) { w.settle() },
			"cancel": func(t *rapid.T) {
				ids := slices.Sorted(maps.Keys(w.jobs))
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "job")
				delete(w.jobs, id)
				if g, ok := w.s.Cancel(id, w.now); ok {
					w.end(g, EndCanceled)
				}
			},
			"fail": func(t *rapid.T) {
				id := workerID(rapid.IntRange(0, worldRacks-1).Draw(t, "rack"), rapid.IntRange(0, 7).Draw(t, "worker"))
				w.down[id] = true
				w.s.RemoveWorker(id, w.now)
				for _, g := range slices.Sorted(maps.Keys(w.gangs)) {
					if slices.Contains(w.gangs[g].Members, id) {
						w.end(g, EndLost)
					}
				}
			},
			"recover": func(t *rapid.T) {
				clear(w.down)
				addWorkers(w.s, worldRacks)
			},
			"takeover": func(t *rapid.T) { w.takeover(rapid.Uint64().Draw(t, "order")) },
			"republish": func(t *rapid.T) {
				set := *w.set
				set.Guarantees = config(worldRacks, 16, rapid.IntRange(3, 4).Draw(t, "count")).Guarantees
				w.set = &set
				w.s.SetConfig(w.set, domain)
			},
			"probe": func(t *rapid.T) {
				if !baseline {
					w.probe(rapid.IntRange(1, 2).Draw(t, "members"))
				}
			},
		})
		w.t = t
		w.drain()
	})
}

// drain lets everything run to its end; every job must get an outcome.
func (w *world) drain() {
	clear(w.down)
	addWorkers(w.s, worldRacks)
	for range 2000 {
		if len(w.jobs) == 0 {
			return
		}
		w.now = w.now.Add(10 * time.Second)
		w.pass()
		w.settle()
		ids := slices.Sorted(maps.Keys(w.gangs))
		for _, id := range ids[:(len(ids)+1)/2] {
			w.end(id, EndFinished)
		}
	}
	for id := range w.jobs {
		w.fatalf("job %s still waits: %+v", id, w.s.Explain(id, w.now))
	}
}

// TestWideGangIsNotStarved guards against an endless stream of small jobs, with
// run times far beyond the declared ones, that keeps a wide gang from starting.
func TestWideGangIsNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, Options{AgingAfter: time.Minute, Policy: allocator.BestFit})
		w.submit(model.JobSpec{Workspace: "b", Caller: "c", Class: "batch", Shape: model.Shape{Workers: 4, Accelerators: 8, Span: model.SpanRack}})
		ends := map[model.GangID]time.Time{}
		for range 400 {
			if w.jobs["j1"] == nil || w.jobs["j1"].Attempt > 0 {
				return
			}
			for range 12 {
				w.submit(model.JobSpec{Workspace: "b", Caller: "d", Class: "urgent", RunMS: 1000, Shape: model.Shape{Workers: 1, Accelerators: 4}})
			}
			w.pass()
			w.now = w.now.Add(5 * time.Second)
			for _, id := range slices.Sorted(maps.Keys(w.gangs)) {
				if ends[id].IsZero() {
					ends[id] = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second)
				}
				if !w.now.Before(ends[id]) {
					w.end(id, EndFinished)
				}
			}
		}
		w.fatalf("the gang still waits: %+v", w.s.Explain("j1", w.now))
	})
}
