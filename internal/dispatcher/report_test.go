package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// fixture is a dispatcher with one worker and a job of one task whose start order has been sent.
type fixture struct {
	*Dispatcher
	w   *worker
	t   *task
	now time.Time // of the pass of the dispatcher that handles the events
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	d := newDispatcher(t)
	f := &fixture{Dispatcher: d, now: time.Now()}
	f.w = d.addWorker(model.Worker{ID: "w0", State: model.WorkerReady, Capacity: model.Resources{Accelerators: 8}}, f.now)
	f.w.listed, f.w.settled, f.w.answers, f.w.clockAt, f.w.incarnation = true, true, true, f.now, 1
	s := submission("job", 1, 1)
	s.Queue.MaxAttempts = 3
	f.t = d.addJob(journaler.Job{Submission: s}, f.now).steps[0].tasks[0]
	f.start(1)
	return f
}

// addGang adds a job with a gang of two tasks and orders their first run.
func (f *fixture) addGang() *step {
	s := submission("gang", 1, 2)
	s.Steps[0].Gang = true
	gang := f.addJob(journaler.Job{Submission: s}, f.now).steps[0]
	for _, t := range gang.tasks {
		f.startRun(t, f.w, 1, f.now)
	}
	return gang
}

// start orders run n of the task.
func (f *fixture) start(n model.RunNumber) { f.startRun(f.t, f.w, n, f.now) }

func (f *fixture) run(n model.RunNumber) model.RunRef {
	return model.RunRef{Task: f.t.ref(), Number: n}
}

// after returns a time some milliseconds into the pass.
func (f *fixture) after(ms int) time.Time { return f.now.Add(time.Duration(ms) * time.Millisecond) }

// report applies a report that was asked for some milliseconds into the pass.
func (f *fixture) report(sent int, ends ...model.RunEnd) {
	e := &reported{worker: "w0", report: Report{Incarnation: 1, Ended: ends}, sentAt: f.after(sent), done: make(chan struct{})}
	e.apply(f.Dispatcher, f.now)
}

// Guards against a task that is started again while its first run goes on: a busy dispatcher handles many events with the
// time at which it began; a report that the worker wrote before the order reached it was taken as one from after it.
func TestReportFromBeforeAStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	(&started{worker: "w0", run: f.run(1), answeredAt: f.after(40)}).apply(f.Dispatcher, f.now)
	f.report(20)
	is.True(f.t.active != nil) // the report says nothing about the run
	f.report(50)
	is.True(f.t.active == nil) // the worker has lost it
}

// Guards against the same race for a stop: room was taken as free while the run was still being stopped.
func TestReportFromBeforeAStop(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.stopRun(f.t.active, "test", f.now)
	(&stopped{worker: "w0", run: f.run(1), answeredAt: f.after(40)}).apply(f.Dispatcher, f.now)
	f.report(20)
	is.True(f.t.active != nil)
	f.report(50)
	is.True(f.t.active == nil)
}

// Guards against work that is done twice: the lease of a worker lapsed after its run had ended, and the dispatcher learns
// of that end only once the task runs again.
func TestEndOfAFormerRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.lapse(f.w, f.now)
	f.start(2)
	f.report(20, model.RunEnd{Sequence: 1, Run: f.run(1), Kind: model.EndDone})
	is.True(f.t.done)
	is.True(f.jobs["job"] != nil) // until its last run has been stopped
	is.Equal(f.t.active.state, runStopping)
}

// Guards against an attempt too many: the failure of a run that the dispatcher took as lost counts as well.
func TestFailureOfAFormerRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.lapse(f.w, f.now)
	f.start(2)
	f.report(20, model.RunEnd{Sequence: 1, Run: f.run(1), Kind: model.EndFailed})
	is.Equal(len(f.t.failed), 1)
	is.Equal(f.t.active.state, runStarting) // the second attempt goes on
}

// Guards against a waiting job that is shown as running: the members of a gang wait for each other, and the order to one of
// them may fail.
func TestGangWaitsForAllMembers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	gang := f.addGang()
	(&started{worker: "w0", run: gang.tasks[0].active.id, answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobQueued)
	(&started{worker: "w0", run: gang.tasks[1].active.id, answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(gang.job.state, model.JobRunning)
}

// Guards against a job that runs and is shown as waiting: the report of a worker may overtake its answer to the order.
func TestReportOvertakesTheAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.running(f.w, model.RunProgress{Run: f.run(1)}, f.now)
	(&started{worker: "w0", run: f.run(1), answeredAt: f.now}).apply(f.Dispatcher, f.now)
	is.Equal(f.t.step.job.state, model.JobRunning)
}

// Guards against the results of a busy worker that are thrown away: its reports failed, but it answered orders, and its
// runs were taken as lost when the lease had ended.
func TestLapseOfASilentWorkerOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	late := f.w.leaseEnds.Add(time.Second)
	(&stopped{worker: "w0", run: f.run(1), answeredAt: late.Add(-time.Second)}).apply(f.Dispatcher, late)
	f.expire(late)
	is.True(f.t.active != nil)
	f.expire(late.Add(3 * time.Second))
	is.True(f.t.active == nil)
}

// Guards against a lease that ends while the worker answers: after a failed report no lease is asked for until the plan of
// the session says that the worker answers again.
func TestAnswerToAStopRenewsTheLease(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.w.answers = false
	f.updatePlan(f.w)
	(&stopped{worker: "w0", run: f.run(1), answeredAt: f.after(40)}).apply(f.Dispatcher, f.now)
	is.True(f.w.session.get().answers)
}

// Guards against sound runs that are stopped as stuck: answers to orders tell nothing about the progress of runs.
func TestNoProgressNeedsAReport(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.report(20)
	f.running(f.w, model.RunProgress{Run: f.run(1)}, f.now)
	late := f.now.Add(stallTime + time.Second)
	f.w.clockAt = late
	f.unstick(f.w, late)
	is.Equal(f.t.active.state, runRunning)
	(&reported{
		worker: "w0", report: Report{Incarnation: 1, Running: []model.RunProgress{{Run: f.run(1)}}}, answeredAt: late, done: make(chan struct{}),
	}).apply(f.Dispatcher, late)
	f.unstick(f.w, late)
	is.Equal(f.t.active.state, runStopping)
}
