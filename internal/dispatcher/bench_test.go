package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/estimator"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// unresponsiveClient blocks every call until its context ends, so that the benchmarks measure scheduling only.
type unresponsiveClient struct{}

func (unresponsiveClient) Start(ctx context.Context, _ model.Worker, _ StartRequest) (Response, error) {
	<-ctx.Done()
	return Response{}, ctx.Err()
}

func (unresponsiveClient) Stop(ctx context.Context, _ model.Worker, _ StopRequest) (Response, error) {
	<-ctx.Done()
	return Response{}, ctx.Err()
}

func (unresponsiveClient) RenewLease(ctx context.Context, _ model.Worker, _ RenewLeaseRequest) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

// newLoadedDispatcher returns a dispatcher with workers of 8 accelerators each, all in use, and with queued jobs.
func newLoadedDispatcher(b *testing.B, workers, queuedJobs int) *Dispatcher {
	d := &Dispatcher{
		// The log confirms the term during the whole test.
		Term: journaler.Term{Fence: 1}, ElectedAt: time.Now().Add(time.Hour), Workers: unresponsiveClient{}, Logger: hclog.NewNullLogger(), Metrics: NewMetrics(), LeaseDuration: time.Hour,
		OnViolation: func(asserter.Invariant, ...any) {}, formerRunsKnown: true,
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
		w.listed, w.openInLog, w.hasReported, w.isResponding, w.clockAt = true, true, true, true, now
		j := d.addJob(journaler.Job{Submission: newSubmission(fmt.Sprint("run", i), 2, 8)}, now)
		for n, t := range j.steps[0].tasks {
			r := &run{
				id: model.RunRef{Task: t.ref(), Number: 1}, task: t, worker: w, need: t.step.spec.Need, state: runRunning,
				startConfirmedAt: now, lastProgressAt: now, percentDone: n,
			}
			t.activeRun = r
			w.runs[r.id] = r
		}
		j.state = model.JobRunning
	}
	for i := range queuedJobs {
		d.addJob(journaler.Job{Submission: newSubmission(fmt.Sprint("wait", i), 2, 8)}, now)
	}
	return d
}

// newSubmission returns a job with one step of tasks that need one accelerator each.
func newSubmission(id string, p model.Priority, tasks int) *model.Submission {
	return &model.Submission{
		ID: model.JobID(id), Workspace: "w", Queue: model.Queue{ID: "q", Priority: p, TargetStretch: 3},
		Steps: []model.Step{{Count: tasks, Need: model.Resources{Accelerators: 1}, EstimatedRunMS: 10_000}},
	}
}

// BenchmarkPass measures a scheduling pass over a full fleet with queued jobs that do not fit.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{48, 350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := newLoadedDispatcher(b, n, 50)
			for b.Loop() {
				d.schedule(time.Now())
			}
		})
	}
}

// BenchmarkLearnedPass measures the same pass with learned run times, on workers of different speed.
func BenchmarkLearnedPass(b *testing.B) {
	for _, n := range []int{350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := newLoadedDispatcher(b, n, 0)
			d.LearnRunTimes = true
			for i := range 20 * n {
				took := time.Second * time.Duration(10+i%n%5)
				d.runTimes.estimator.RecordDone(&estimator.Run{Key: estimator.Key{Queue: "q"}, Worker: model.HostID(fmt.Sprint("w", i%n))}, took)
				if i%n == 0 {
					d.runTimes.estimator.Update()
				}
			}
			for i := range 50 {
				d.addJob(journaler.Job{Submission: newSubmission(fmt.Sprint("wait", i), 2, 8)}, time.Now())
			}
			for b.Loop() {
				d.schedule(time.Now())
			}
		})
	}
}

// BenchmarkPlanPreemption measures the preemption decision for an urgent gang that needs a whole rack of a full fleet.
func BenchmarkPlanPreemption(b *testing.B) {
	for _, n := range []int{48, 350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := newLoadedDispatcher(b, n, 0)
			s := newSubmission("urgent", 0, 8)
			s.Steps[0].Gang, s.Steps[0].OneRack = true, true
			s.Steps[0].Need.Accelerators = 8
			j := d.addJob(journaler.Job{Submission: s}, time.Now())
			for b.Loop() {
				p := newSchedulingPass(d, time.Now())
				p.planPreemption(&placementUnit{step: j.steps[0], tasks: j.steps[0].tasks})
			}
		})
	}
}

// newMixedDispatcher returns a dispatcher with a full fleet of less urgent tasks and queued gangs of different shapes.
func newMixedDispatcher(b *testing.B, workers, queuedGangs int) *Dispatcher {
	d := newLoadedDispatcher(b, workers, 0)
	for i := range queuedGangs {
		s := newSubmission(fmt.Sprint("gang", i), model.Priority(i%2), 4+i%13)
		s.Steps[0].Gang, s.Steps[0].OneRack = true, i%3 == 0
		s.Steps[0].Need = model.Resources{Cores: 13_000, MemoryMB: 53_000, Accelerators: model.Accelerators(1 << (i % 4))}
		d.addJob(journaler.Job{Submission: s}, time.Now())
	}
	for _, w := range d.workers {
		for _, r := range w.runs {
			r.state = runStopping // makes the runs non-preemptible, so that no gang finds a place
		}
	}
	return d
}

// BenchmarkMixedPass measures a scheduling pass with many queued gangs of different shapes.
func BenchmarkMixedPass(b *testing.B) {
	for _, n := range []int{48, 350, 1000} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := newMixedDispatcher(b, n, 40)
			for b.Loop() {
				d.schedule(time.Now())
			}
		})
	}
}

// BenchmarkDecisions measures a pass over a full fleet in which many gangs without a guarantee decide whether they preempt.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{350, 1000, 8800} {
		b.Run(fmt.Sprint("workers=", n), func(b *testing.B) {
			d := newLoadedDispatcher(b, n, 0)
			var waiting []*step
			for i := range 40 {
				s := newSubmission(fmt.Sprint("urgent", i), 0, 8)
				s.Steps[0].Gang, s.Steps[0].Need.Accelerators = true, 8
				waiting = append(waiting, d.addJob(journaler.Job{Submission: s}, time.Now()).steps[0])
			}
			for b.Loop() {
				for _, s := range waiting { // they wait for room
					s.preemption, s.heldUntil, s.job.seenAt = stepPreemption{}, time.Now().Add(time.Hour), time.Now()
				}
				d.schedule(time.Now())
			}
		})
	}
}
