package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// fixture is a dispatcher with one worker and a job of one task whose start request has been sent.
type fixture struct {
	*Dispatcher
	worker *worker
	task   *task
	now    time.Time // time at which the dispatcher starts to handle events
}

// newFixture returns a fixture with run 1 of its task sent.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	d := newDispatcher(t)
	f := &fixture{Dispatcher: d, now: time.Now()}
	f.worker = d.addWorker(model.Worker{ID: "w0", State: model.WorkerReady, Capacity: model.Resources{Accelerators: 8}}, f.now)
	f.worker.listed, f.worker.hasReported, f.worker.isResponding, f.worker.clockAt, f.worker.incarnation = true, true, true, f.now, 1
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

// Guards against a second start of a task whose first run is still active. A busy dispatcher handles many events with the time
// of the first one, so a report written before the start request arrived at the worker was taken for a later one.
func TestReportSentBeforeStartAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	(&startEvent{worker: "w0", run: f.runID(1), answeredAt: f.later(40)}).apply(f.Dispatcher, f.now)
	f.applyReport(20)
	is.True(f.task.activeRun != nil) // the report may be older than the run
	f.applyReport(50)
	is.True(f.task.activeRun == nil) // the worker has lost the run
}

// Guards against the same race for a stop: resources were considered free while the run was still being stopped.
func TestReportSentBeforeStopAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.stopRun(f.task.activeRun, "test", f.now)
	(&stopEvent{worker: "w0", run: f.runID(1), answeredAt: f.later(40)}).apply(f.Dispatcher, f.now)
	f.applyReport(20)
	is.True(f.task.activeRun != nil)
	f.applyReport(50)
	is.True(f.task.activeRun == nil)
}

// Guards against work that is done twice: the lease of a worker expired after its run had succeeded, and the dispatcher learns
// of the result only when the task is already running again.
func TestSupersededRunCompletesTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.dropExpiredRuns(f.worker, f.now)
	f.startTask(2)
	f.applyReport(20, model.RunEnd{Sequence: 1, Run: f.runID(1), Kind: model.EndDone})
	is.True(f.task.done)
	is.True(f.jobs["job"] != nil) // kept until its last run has been stopped
	is.Equal(f.task.activeRun.state, runStopping)
}

// Guards against more attempts than allowed: the failure of a run that was considered lost counts as an attempt, too.
func TestSupersededRunFailureCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.dropExpiredRuns(f.worker, f.now)
	f.startTask(2)
	f.applyReport(20, model.RunEnd{Sequence: 1, Run: f.runID(1), Kind: model.EndFailed})
	is.Equal(len(f.task.failedRuns), 1)
	is.Equal(f.task.activeRun.state, runStarting) // the second attempt continues
}

// Guards against a queued job that is shown as running: the members of a gang wait for each other, and the start of one of
// them may fail.
func TestGangRunsOnceAllMembersStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	gang := f.addGang()
	(&startEvent{worker: "w0", run: gang.tasks[0].activeRun.id, answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobQueued)
	(&startEvent{worker: "w0", run: gang.tasks[1].activeRun.id, answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobRunning)
}

// Guards against a running job that is shown as queued: a report may arrive before the response to the start request.
func TestReportArrivesBeforeStartAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.updateRun(f.worker, model.RunProgress{Run: f.runID(1)}, f.now)
	(&startEvent{worker: "w0", run: f.runID(1), answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(f.task.step.job.state, model.JobRunning)
}

// Guards against lost results of a busy worker: its reports failed although it answered other requests, and its runs were
// dropped when the lease had expired.
func TestRunsExpireOnlyOnSilentWorkers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	late := f.worker.startLeasesEndAt.Add(time.Second)
	(&stopEvent{worker: "w0", run: f.runID(1), answeredAt: late.Add(-time.Second)}).apply(f.Dispatcher, late)
	f.expireLeases(late)
	is.True(f.task.activeRun != nil)
	f.expireLeases(late.Add(3 * time.Second))
	is.True(f.task.activeRun == nil)
}

// Guards against a lease that expires although the worker responds: after a failed report, no lease is requested until the
// plan of the session says that the worker responds again.
func TestStopAnswerResumesLeaseRenewal(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.worker.isResponding = false
	f.updateSession(f.worker)
	(&stopEvent{worker: "w0", run: f.runID(1), answeredAt: f.later(40)}).apply(f.Dispatcher, f.now)
	is.True(f.worker.session.takePlan().isResponding)
}

// Guards against healthy runs that are stopped as stalled: responses to start and stop requests carry no progress of runs.
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
		worker: "w0", report: Report{Incarnation: 1, Running: []model.RunProgress{{Run: f.runID(1)}}}, answeredAt: late, handled: make(chan struct{}),
	}).apply(f.Dispatcher, late)
	f.stopStalledRuns(f.worker, late)
	is.Equal(f.task.activeRun.state, runStopping)
}
