package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// holder answers for one worker that holds a task of an earlier planner.
type holder struct{ task workerclient.Task }

func (h holder) Send(_ context.Context, _ string, b workerclient.Batch) (workerclient.Reply, error) {
	return workerclient.Reply{
		Worker: "w", Boot: "boot", Term: b.Term, Version: 1, Full: true,
		Results: make([]workerclient.Result, len(b.Ops)), Tasks: []workerclient.Task{h.task},
	}, nil
}

// journal keeps nothing; an entry is durable at once.
type journal struct{}

func (journal) Append(context.Context, reducer.JobEntry) error { return nil }

// fixture is a planner whose task does not run, so that a test decides when reports are read.
type fixture struct {
	*Planner
	is *is.I
}

func newFixture(t *testing.T, state workerclient.TaskState) (context.Context, *fixture) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	shape := model.Shape{Workers: 1, Accelerators: 8, Span: model.SpanDomain}
	spec := model.JobSpec{ID: "job", Workspace: "ws", Class: "c", Shape: shape}
	raw, err := json.Marshal(spec)
	f := &fixture{is: is.New(t)}
	f.is.NoErr(err)
	driver := reserver.NewDriver(reserver.New(reserver.Config{
		Host: "e1", Domain: "d", Poll: time.Second, TaskLease: time.Minute,
	}), holder{task: workerclient.Task{
		ID: "job/1/0", Gang: "job/1", Job: "job", Workspace: "ws", Members: 1, Accelerators: 8, State: state, RunMS: 5, Spec: raw,
	}})
	go driver.Run(ctx)
	f.Planner = New(Config{
		Host: "e1", Domain: "d", Driver: driver, Journal: journal{}, Recorder: recorder.New(),
		Asserter: &asserter.Asserter{Fatal: true}, Logger: hclog.NewNullLogger(),
	})
	set := &model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{"d": {Racks: map[model.RackID]model.Rack{
			"r": {Workers: 1, Accelerators: 8, Cores: 8, MemoryMB: 1024},
		}}},
		Workspaces: map[model.WorkspaceID]model.Workspace{"ws": {Quota: 8}},
		Classes:    map[model.ClassID]model.Class{"c": {Urgency: model.UrgencyStandard}},
	}
	job := reducer.Job{Job: model.Job{Spec: spec, Home: "d", State: model.JobQueued, AcceptedAt: time.Now(), Offset: 1}}
	f.handle(ctx, ConfigChanged{Set: set})
	f.handle(ctx, JobChanged{Event: reducer.JobEvent{Kind: reducer.JobAccepted, Job: job}})
	f.handle(ctx, JobsCaughtUp{CaughtUp: true, Next: 2})
	f.handle(ctx, Chosen{Self: true})
	f.step(ctx) // takes the term
	f.read(ctx)
	w := hostclient.Host{
		ID: "w", Role: hostclient.RoleWorker, Addr: "w", Domain: "d", Rack: "r", State: hostclient.StateLive,
	}
	f.handle(ctx, HostsListed{Hosts: []hostclient.Host{w}, ReadAt: time.Now()})
	return ctx, f
}

// read handles the next reports.
func (f *fixture) read(ctx context.Context) {
	for _, r := range <-f.cfg.Driver.Reports() {
		f.report(ctx, r)
	}
}

// Guards against jobs that are planned again because the status of the driver was ahead of its reports: the gang that
// an earlier planner started is known to the driver, but its report still waits.
func TestEarlierJobsWaitForReports(t *testing.T) {
	for _, state := range []workerclient.TaskState{workerclient.TaskRunning, workerclient.TaskFinished} {
		t.Run(string(state), func(t *testing.T) {
			ctx, f := newFixture(t, state)
			for ok := false; !ok; time.Sleep(time.Millisecond) {
				ok, _ = f.cfg.Driver.Status().Accounted(time.Now(), time.Time{})
			}
			f.workers["w"] = hostclient.Host{ID: "w", Rack: "r"} // as if an earlier part of the reports had been read
			f.upsert(f.workers["w"])
			f.step(ctx)
			f.is.True(f.held)           // the reports may name gangs of earlier jobs
			f.is.Equal(len(f.gangs), 0) // nothing was started
			for f.held {
				f.read(ctx)
				f.step(ctx)
			}
			f.step(ctx)
			f.is.Equal(len(f.gangs), 1)
			f.is.Equal(f.gangs["job/1"].attempt, 1)
			f.is.Equal(f.gangs["job/1"].ended, state == workerclient.TaskFinished)
		})
	}
}

// Guards against jobs that never get an outcome: the fold refuses the late outcome of an earlier attempt, while the
// planner stops the later attempt for it and starts no other.
func TestLateOutcomeOfEarlierAttempt(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprintf("start-recorded-%t", recorded), func(t *testing.T) {
			ctx, f := newFixture(t, workerclient.TaskRunning)
			for f.held {
				f.read(ctx)
				f.step(ctx)
			}
			if recorded {
				j := f.jobs["job"]
				j.Attempt = 2
				f.handle(ctx, JobChanged{Event: reducer.JobEvent{Kind: reducer.JobStarted, Job: j}})
			}
			f.gangs["job/2"] = &gang{job: "job", attempt: 2, startedAt: time.Now()}
			f.report(ctx, reserver.GangEnded{Gang: "job/1", Job: "job", Outcome: reserver.OutcomeFinished})
			f.is.Equal(f.decided["job"], false)        // no outcome that the fold would refuse
			f.is.Equal(f.gangs["job/1"], (*gang)(nil)) // the workers may forget it
			f.is.Equal(f.gangs["job/2"].ended, false)  // the later attempt goes on
			f.report(ctx, reserver.GangEnded{Gang: "job/2", Job: "job", Outcome: reserver.OutcomeFinished})
			f.is.True(f.decided["job"]) // its outcome counts
		})
	}
}

// Guards against a job that ended or moved in records which a snapshot replaced, and that would still be started here.
func TestSnapshotEndsJobs(t *testing.T) {
	ctx, f := newFixture(t, workerclient.TaskRunning)
	for f.held {
		f.read(ctx)
		f.step(ctx)
	}
	f.is.Equal(f.sched.Explain("job", time.Now()).Wait, scheduler.WaitRunning)
	f.handle(ctx, JobsReplaced{})
	f.is.Equal(len(f.jobs), 0)
	f.is.Equal(f.sched.Explain("job", time.Now()).Wait, scheduler.WaitUnknown)
}

// Guards against a standby that wakes every millisecond for a pass that it never makes.
func TestStandbyIsIdle(t *testing.T) {
	p := New(Config{Pass: 100 * time.Millisecond})
	p.dirty = true
	is.New(t).Equal(p.wait(), idleTick)
}
