package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// silent answers no order; the benchmarks measure decisions only.
type silent struct{}

func (silent) Start(ctx context.Context, _ model.Worker, _ StartRequest) (Reply, error) {
	<-ctx.Done()
	return Reply{}, ctx.Err()
}

func (silent) Stop(ctx context.Context, _ model.Worker, _ StopRequest) (Reply, error) {
	<-ctx.Done()
	return Reply{}, ctx.Err()
}

func (silent) RenewLease(ctx context.Context, _ model.Worker, _ RenewLeaseRequest) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

// loaded returns a dispatcher with workers of 8 accelerators that are all in use, and jobs that wait.
func loaded(b *testing.B, workers, waiting int) *Dispatcher {
	d := &Dispatcher{
		Term: journaler.Term{Fence: 1}, Workers: silent{}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(), LeaseDuration: time.Hour,
		OnViolation: func(asserter.Invariant, ...any) {}, settled: true,
	}
	d.Init()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	d.ctx = ctx
	now := time.Now()
	for i := range workers {
		w := d.addWorker(model.Worker{
			ID: model.HostID(fmt.Sprint("w", i)), Rack: model.RackID(fmt.Sprint("r", i/8)), State: model.WorkerReady,
			Capacity: model.Resources{Cores: 32000, MemoryMB: 131072, Accelerators: 8},
		}, now)
		w.listed, w.settled, w.answers, w.clockAt = true, true, true, now
		j := d.addJob(journaler.Job{Submission: submission(fmt.Sprint("run", i), 2, 8)}, now)
		for n, t := range j.steps[0].tasks {
			r := &run{
				id: model.RunRef{Task: t.ref(), Number: 1}, task: t, worker: w, need: t.step.spec.Need, state: runRunning, answeredAt: now, percentAt: now,
				percent: n,
			}
			t.active = r
			w.runs[r.id] = r
		}
		j.state = model.JobRunning
	}
	for i := range waiting {
		d.addJob(journaler.Job{Submission: submission(fmt.Sprint("wait", i), 2, 8)}, now)
	}
	return d
}

func submission(id string, p model.Priority, tasks int) *model.Submission {
	return &model.Submission{
		ID: model.JobID(id), Workspace: "w", Queue: model.Queue{ID: "q", Priority: p, TargetStretch: 3},
		Steps: []model.Step{{Count: tasks, Need: model.Resources{Accelerators: 1}, EstimatedRunMS: 10_000}},
	}
}

// BenchmarkPass measures a planning pass over a full fleet with waiting jobs that find no room.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{48, 350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := loaded(b, n, 50)
			for b.Loop() {
				d.plan(time.Now())
			}
		})
	}
}

// BenchmarkReclaim measures the decision on an urgent gang of a whole rack over a full fleet.
func BenchmarkReclaim(b *testing.B) {
	for _, n := range []int{48, 350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := loaded(b, n, 0)
			s := submission("urgent", 0, 8)
			s.Steps[0].Gang, s.Steps[0].OneRack = true, true
			s.Steps[0].Need.Accelerators = 8
			j := d.addJob(journaler.Job{Submission: s}, time.Now())
			for b.Loop() {
				p := newPlan(d, time.Now())
				p.reclaimable(&unit{step: j.steps[0], tasks: j.steps[0].tasks})
			}
		})
	}
}

// mixed returns a dispatcher with a full fleet of less urgent tasks and gangs of many shapes that wait.
func mixed(b *testing.B, workers, waiting int) *Dispatcher {
	d := loaded(b, workers, 0)
	for i := range waiting {
		s := submission(fmt.Sprint("gang", i), model.Priority(i%2), 4+i%13)
		s.Steps[0].Gang, s.Steps[0].OneRack = true, i%3 == 0
		s.Steps[0].Need = model.Resources{Cores: 13_000, MemoryMB: 53_000, Accelerators: model.Accelerators(1 << (i % 4))}
		d.addJob(journaler.Job{Submission: s}, time.Now())
	}
	for _, w := range d.workers {
		for _, r := range w.runs {
			r.state = runStopping // nothing gives way: each gang looks for room in vain
		}
	}
	return d
}

// BenchmarkMixedPass measures a planning pass with many gangs of different shapes that wait for room.
func BenchmarkMixedPass(b *testing.B) {
	for _, n := range []int{48, 350, 1000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := mixed(b, n, 40)
			for b.Loop() {
				d.plan(time.Now())
			}
		})
	}
}
