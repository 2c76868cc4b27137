package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// fixture is a dispatcher with one worker, and with a job of one task that is starting on it.
type fixture struct {
	*Dispatcher
	worker *worker
	task   *task
	now    time.Time // start time of run 1, and the time at which the dispatcher handles events unless a test says otherwise
}

// renewalClient blocks every call like unresponsiveClient, and signals that a lease renewal has begun.
type renewalClient struct {
	unresponsiveClient
	renewing chan<- struct{}
}

func (c renewalClient) RenewLease(ctx context.Context, w model.Worker, req RenewLeaseRequest) (Report, error) {
	select {
	case c.renewing <- struct{}{}:
	default: // the fixture waits for the first renewal only
	}
	return c.unresponsiveClient.RenewLease(ctx, w, req)
}

// newFixture returns a fixture in which the start request of run 1 of the task has been sent.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	d := newDispatcher(t)
	renewing := make(chan struct{}, 1)
	d.Workers = renewalClient{renewing: renewing}
	f := &fixture{Dispatcher: d, now: time.Now()}
	f.worker = d.addWorker(model.Worker{ID: "w0", State: model.WorkerReady, Capacity: model.Resources{Accelerators: 8}}, f.now)
	<-renewing // the session waits for the response to a call that grants no lease, and makes no other during the test
	f.worker.listed, f.worker.openInLog, f.worker.hasReported, f.worker.isResponding = true, true, true, true
	f.worker.clockAt, f.worker.incarnation = f.now, 1
	s := newSubmission("job", 1, 1)
	s.Queue.MaxAttempts = 3
	f.task = d.addJob(journaler.Job{Submission: s}, f.now).steps[0].tasks[0]
	f.startTask(1)
	return f
}

// addGang adds a job with a gang of two tasks and sends the start requests of their first runs.
func (f *fixture) addGang() *step {
	s := newSubmission("gang", 1, 2)
	s.Steps[0].Gang = true
	gang := f.addJob(journaler.Job{Submission: s}, f.now).steps[0]
	for _, t := range gang.tasks {
		f.startRun(t, f.worker, 1, f.now)
	}
	return gang
}

// startTask sends the start request of run n of the task.
func (f *fixture) startTask(n model.RunNumber) { f.startRun(f.task, f.worker, n, f.now) }

// runID returns the reference of run n of the task.
func (f *fixture) runID(n model.RunNumber) model.RunRef {
	return model.RunRef{Task: f.task.ref(), Number: n}
}

// later returns the time ms milliseconds after f.now.
func (f *fixture) later(ms int) time.Time { return f.now.Add(time.Duration(ms) * time.Millisecond) }

// applyReport applies a report that was requested sent milliseconds after f.now.
func (f *fixture) applyReport(sent int, ends ...model.RunEnd) {
	e := &reportEvent{worker: "w0", report: Report{Incarnation: 1, Ended: ends}, sentAt: f.later(sent), handled: make(chan struct{})}
	e.apply(f.Dispatcher, f.now)
}

// Guards against a second start of a task whose first run is still active. A busy dispatcher handles many events with the time of
// the first one, so a report that was written before the worker received the start request was taken for a later one.
func TestReportSentBeforeStartResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	(&startEvent{worker: "w0", run: f.runID(1), respondedAt: f.later(40)}).apply(f.Dispatcher, f.now)
	f.applyReport(20)
	is.True(f.task.activeRun != nil) // the report may be older than the run
	f.applyReport(50)
	is.True(f.task.activeRun == nil) // the worker has lost the run
}

// Guards against resources that are considered free while a run is still being stopped. A report that was requested before the
// worker confirmed the stop request must not remove the run.
func TestReportSentBeforeStopResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.stopRun(f.task.activeRun, "test", f.now)
	(&stopEvent{worker: "w0", run: f.runID(1), respondedAt: f.later(40)}).apply(f.Dispatcher, f.now)
	f.applyReport(20)
	is.True(f.task.activeRun != nil)
	f.applyReport(50)
	is.True(f.task.activeRun == nil)
}

// Guards against a second run of a task whose first start is carried out late, by a process that has not seen the stop request.
func TestRestartedWorkerMustConfirmStop(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	(&startEvent{worker: "w0", run: f.runID(1), err: context.DeadlineExceeded}).apply(f.Dispatcher, f.now)
	stop := func(sent int) {
		(&stopEvent{worker: "w0", run: f.runID(1), sentAt: f.later(sent), respondedAt: f.later(sent + 10)}).apply(f.Dispatcher, f.now)
	}
	report := func(sent int) {
		(&reportEvent{
			worker: "w0", report: Report{Incarnation: 2}, sentAt: f.later(sent), respondedAt: f.later(sent + 5), handled: make(chan struct{}),
		}).apply(f.Dispatcher, f.now)
	}
	stop(10)
	report(30)
	is.True(f.task.activeRun != nil) // the former process has confirmed the stop, the new one has not
	stop(20)                         // sent before the restart was known
	report(50)
	is.True(f.task.activeRun != nil)
	stop(60)
	report(80)
	is.True(f.task.activeRun == nil)
}

// Guards against work that is done twice. The lease of a worker expired after its run had completed, and the dispatcher learns of
// that only when the task is already running again.
func TestSupersededRunCompletesTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.dropLostRuns(f.worker, f.now)
	f.startTask(2)
	f.applyReport(20, model.RunEnd{Sequence: 1, Run: f.runID(1), Kind: model.EndDone})
	is.True(f.task.done)
	is.True(f.jobs["job"] != nil) // kept until its last run has been stopped
	is.Equal(f.task.activeRun.state, runStopping)
}

// Guards against more attempts than allowed. The failure of a run that was considered lost also counts as a failed attempt.
func TestSupersededRunFailureCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.dropLostRuns(f.worker, f.now)
	f.startTask(2)
	f.applyReport(20, model.RunEnd{Sequence: 1, Run: f.runID(1), Kind: model.EndFailed})
	is.Equal(len(f.task.failedRuns), 1)
	is.Equal(f.task.activeRun.state, runStarting) // the second attempt continues
}

// Guards against a queued job that is shown as running. The members of a gang wait for each other, and the start of one of them may
// fail.
func TestGangJobRunsOnceAllMembersStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	gang := f.addGang()
	(&startEvent{worker: "w0", run: gang.tasks[0].activeRun.id, respondedAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobQueued)
	(&startEvent{worker: "w0", run: gang.tasks[1].activeRun.id, respondedAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobRunning)
}

// Guards against a running job that is shown as queued, because a report arrives before the response to the start request.
func TestReportArrivesBeforeStartResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.updateRun(f.worker, model.RunProgress{Run: f.runID(1)}, f.now)
	(&startEvent{worker: "w0", run: f.runID(1), respondedAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(f.task.step.job.state, model.JobRunning)
}

// Guards against lost results of a busy worker. Its reports failed although it responded to other requests, and its runs were
// dropped when the lease had expired.
func TestRunsExpireOnlyOnSilentWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	late := f.worker.leaseEndsAt().Add(time.Second)
	(&stopEvent{worker: "w0", run: f.runID(1), respondedAt: late.Add(-time.Second)}).apply(f.Dispatcher, late)
	f.checkWorkers(late)
	is.True(f.task.activeRun != nil)
	f.checkWorkers(late.Add(3 * time.Second))
	is.True(f.task.activeRun != nil) // a worker that is listed may still report
	f.worker.listed = false
	f.checkWorkers(late.Add(3 * time.Second))
	is.True(f.task.activeRun == nil)
}

// Guards against a lease that expires although the worker responds. After a failed report, the lease is not renewed until the
// renewal state of the session says that the worker responds again.
func TestStopResponseResumesLeaseRenewal(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.worker.isResponding = false
	f.updateSession(f.worker)
	(&stopEvent{worker: "w0", run: f.runID(1), respondedAt: f.later(40)}).apply(f.Dispatcher, f.now)
	is.True(f.worker.session.takeRenewalState().isResponding)
}

// Guards against healthy runs that are stopped as stalled. Responses to start and stop requests contain no progress of runs, so they
// must not count as recent reports.
func TestStallDetectionNeedsRecentReport(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.applyReport(20)
	f.updateRun(f.worker, model.RunProgress{Run: f.runID(1)}, f.now)
	late := f.now.Add(stallTimeout + time.Second)
	f.worker.clockAt = late
	f.stopStalledRuns(f.worker, late)
	is.Equal(f.task.activeRun.state, runRunning)
	(&reportEvent{
		worker: "w0", report: Report{Incarnation: 1, Running: []model.RunProgress{{Run: f.runID(1)}}}, respondedAt: late, handled: make(chan struct{}),
	}).apply(f.Dispatcher, late)
	f.stopStalledRuns(f.worker, late)
	is.Equal(f.task.activeRun.state, runStopping)
}
