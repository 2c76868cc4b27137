package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// learner is a dispatcher that learns run times, or not, with one worker and its own time.
type learner struct {
	*Dispatcher
	worker *worker
	now    time.Time
	jobs   int
	ends   int64
}

func newLearner(t *testing.T, learns bool) *learner {
	l := &learner{Dispatcher: newDispatcher(t), now: time.Now()}
	l.LearnRunTimes = learns
	l.worker = l.addWorker(model.Worker{ID: "w0", State: model.WorkerReady, Capacity: model.Resources{Accelerators: 1000}}, l.now)
	l.worker.listed, l.worker.openInLog, l.worker.hasReported, l.worker.isResponding, l.worker.clockAt = true, true, true, true, l.now
	return l
}

// start starts a task whose caller gives an estimate.
func (l *learner) start(estimate time.Duration, gang bool) *run {
	l.jobs++
	s := newSubmission(fmt.Sprint("j", l.jobs), 1, 1)
	s.Steps[0].EstimatedRunMS, s.Steps[0].Gang, s.Steps[0].Need = model.Millis(estimate.Milliseconds()), gang, model.Resources{Accelerators: 1}
	t := l.addJob(journaler.Job{Submission: s}, l.now).steps[0].tasks[0]
	l.startRun(t, l.worker, 1, l.now)
	l.markRunStarted(t.activeRun, l.now)
	return t.activeRun
}

// advance lets time pass, in which the worker reports the progress of the run.
func (l *learner) advance(r *run, d time.Duration, percent int) {
	l.now = l.now.Add(d)
	l.worker.lastReportAt = l.now
	l.learn(l.now)
	l.updateRun(l.worker, model.RunProgress{Run: r.id, PercentDone: percent}, l.now)
}

func (l *learner) end(r *run, kind model.EndKind) {
	l.ends++
	l.applyEnd(l.worker, model.RunEnd{Sequence: l.ends, Run: r.id, Kind: kind}, l.now)
}

// teach lets n tasks run to their end.
func (l *learner) teach(n int, estimate, runTime time.Duration, gang bool) {
	for range n {
		r := l.start(estimate, gang)
		l.now = l.now.Add(runTime)
		l.end(r, model.EndDone)
	}
	l.now = l.now.Add(learningInterval)
	l.learn(l.now)
}

func about(got, want time.Duration) bool {
	return got > want*85/100 && got < want*115/100
}

// Guards against a published load that is as wrong as the estimates of the callers, and against a setting that does not turn learning off.
func TestLoadFollowsLearnedRunTimes(t *testing.T) {
	for _, estimate := range []time.Duration{0, 400 * time.Millisecond, 4 * time.Second, 40 * time.Second} {
		for _, learns := range []bool{false, true} {
			is := is.New(t)
			l := newLearner(t, learns)
			l.teach(50, estimate, 4*time.Second, true)
			r := l.start(estimate, true)
			l.addStep("waiting", 1, model.Step{Count: 3, Need: model.Resources{Accelerators: 1}}, l.now).spec.EstimatedRunMS = model.Millis(estimate.Milliseconds())
			load := l.pendingLoad(l.now)
			total := time.Duration(load.Backlog[1] * float64(time.Second))
			_, corrected := load.RunTimes["q"]
			forecast := l.jobForecastOf(r)
			if !learns {
				is.Equal(total, 4*estimate)
				is.True(!corrected && forecast == nil)
				continue
			}
			is.True(about(total, 16*time.Second))
			is.Equal(corrected, estimate < 4*time.Second)
			is.True(about(time.Duration(forecast.RunMS)*time.Millisecond, 4*time.Second))
			is.Equal(forecast.Runs, 50)
		}
	}
}

func (l *learner) jobForecastOf(r *run) *model.JobForecast { return r.task.step.job.jobForecast(l.now) }

// Guards against a remaining time that ignores what the run reports, or that is 0 for a run which has outlasted its caller's estimate.
func TestRemainingTimeByProgress(t *testing.T) {
	is := is.New(t)
	l := newLearner(t, true)
	r := l.start(time.Second, false) // in truth 60 s
	l.advance(r, 3*time.Second, 0)
	is.True(r.estimateRemaining(l.now) >= time.Second)
	l.advance(r, 3*time.Second, 10)
	is.True(about(r.estimateRemaining(l.now), 54*time.Second))
	l.now = l.now.Add(2 * time.Second)
	is.True(about(r.estimateRemaining(l.now), 52*time.Second)) // the last report is 2 s old

	// A new leader learns of the run at 40%, and from its progress since then.
	r.state, r.task.activeRun = runStopping, nil
	delete(l.worker.runs, r.id)
	l.adoptRun(l.worker, model.RunProgress{Run: r.id, PercentDone: 40}, l.now)
	adopted := l.worker.runs[r.id]
	l.advance(adopted, 6*time.Second, 50)
	is.True(about(adopted.estimateRemaining(l.now), 30*time.Second))
	l.now = l.now.Add(30 * time.Second)
	l.end(adopted, model.EndDone)
	l.learn(l.now)
	is.Equal(l.runTimes.estimator.Runs(), int64(1))
}

// Guards against a job of hours whose runs are stopped because a percent takes longer than a few seconds, and against a run of seconds that keeps its worker although it makes no progress.
func TestStalledRunIsToldFromLongOne(t *testing.T) {
	for _, c := range []struct {
		learns            bool
		learned, estimate time.Duration
		progressAfter     time.Duration // time until the run reports its first percents; 0 means that it reports none
		idle              time.Duration // longest time without progress for which it is not stopped
	}{
		{learns: false, estimate: time.Hour, idle: 2 * time.Second},
		{learns: true, estimate: time.Hour, idle: 140 * time.Second},
		{learns: true, estimate: 1000 * time.Hour, idle: 9 * time.Minute},
		{learns: true, learned: 5 * time.Second, estimate: time.Hour, idle: 2 * time.Second},
		{learns: true, learned: 2 * time.Hour, idle: 4 * time.Minute},
		{learns: true, learned: 2 * time.Second, estimate: 2 * time.Second, progressAfter: time.Minute, idle: 100 * time.Second},
	} {
		is := is.New(t)
		l := newLearner(t, c.learns)
		if c.learned > 0 {
			l.teach(20, c.estimate, c.learned, false)
		}
		r := l.start(c.estimate, false)
		if c.progressAfter > 0 {
			r.recordProgress(2, l.now.Add(c.progressAfter))
			l.now = l.now.Add(c.progressAfter)
		}
		l.now = l.now.Add(c.idle)
		l.worker.lastReportAt = l.now
		l.stopStalledRuns(l.worker, l.now)
		is.Equal(r.state, runRunning)
		l.now = l.now.Add(max(c.idle, 2*time.Second))
		l.worker.lastReportAt = l.now
		l.stopStalledRuns(l.worker, l.now)
		is.Equal(r.state, runStopping)
	}
}

// Guards against a worker that was cut off for a while, whose runs count as long ones because their ends are known late.
func TestLateEndsTeachNothing(t *testing.T) {
	is := is.New(t)
	l := newLearner(t, true)
	l.teach(20, 0, 2*time.Second, false)
	for range 50 {
		r := l.start(0, false)
		l.advance(r, time.Second, 0)
		l.now = l.now.Add(20 * time.Second)
		l.learn(l.now)
		l.worker.reportGap = 20 * time.Second
		l.end(r, model.EndDone)
		l.worker.reportGap = 0
	}
	is.True(about(l.start(0, false).task.step.forecast().Total(0), 2*time.Second))
}

// Guards against a leader that learns only from what it lets run to its end, which is the short part of its work.
func TestStoppedRunsCountAsLonger(t *testing.T) {
	is := is.New(t)
	l := newLearner(t, true)
	for range 40 {
		short, long := l.start(0, false), l.start(0, false)
		l.advance(short, 2*time.Second, 0)
		l.end(short, model.EndDone)
		l.advance(long, 8*time.Second, 0)
		l.stopRun(long, "preempted", l.now)
		l.end(long, model.EndStopped)
	}
	l.now = l.now.Add(learningInterval)
	l.learn(l.now)
	f := l.start(0, false).task.step.forecast()
	is.True(f.Total(0) > 6*time.Second)
	is.True(about(f.Quantile(0.3, 0), 2*time.Second))
	is.Equal(f.Runs, 40)
}

// Guards against short jobs that wait behind long ones whose targets are far off, against long jobs that are passed over for good, against callers who get ahead by too short estimates, and against another order than that of arrival where the setting is off.
func TestWorkStartsByDueTime(t *testing.T) {
	for _, learns := range []bool{false, true} {
		is := is.New(t)
		l := newLearner(t, learns)
		l.entitlements.Guaranteed = map[model.WorkspaceID]model.Accelerators{"w": 16}
		l.teach(50, time.Second, 5*time.Second, false) // the callers of this kind estimate a fifth
		add := func(id string, p model.Priority, spec model.Step, estimate model.Millis, at time.Duration) {
			s := l.addStep(id, p, spec, l.now.Add(at))
			s.spec.EstimatedRunMS = estimate
			if spec.Gang {
				s.job.submission.Queue.ID = "other" // of which nothing is known
			}
		}
		single, gang := model.Step{Count: 1, Need: model.Resources{Accelerators: 1}}, model.Step{Count: 1, Gang: true, Need: model.Resources{Accelerators: 8}}
		add("long", 1, gang, 20_000, 0) // due after 60 s
		add("long-2", 1, gang, 20_000, 0)
		add("short", 1, gang, 4_000, time.Second)          // due after 13 s
		add("claims-less", 1, single, 1_000, time.Second)  // due after 16 s
		add("short-later", 1, gang, 19_000, 4*time.Second) // due after 61 s
		add("urgent", 0, gang, 20_000, 5*time.Second)      // another rank
		add("urgent-short", 0, gang, 1_000, 5*time.Second) // within the guarantee as well
		add("less-urgent", 2, single, 1_000, 5*time.Second)
		var got []model.JobID
		for _, u := range l.placementUnits(l.jobRanks(), l.now.Add(6*time.Second)) {
			got = append(got, u.step.ref.Job)
		}
		if learns {
			is.Equal(got, []model.JobID{"urgent", "urgent-short", "short", "claims-less", "long", "long-2", "short-later", "less-urgent"})
		} else {
			is.Equal(got, []model.JobID{"urgent", "urgent-short", "long", "long-2", "short", "claims-less", "short-later", "less-urgent"})
		}
	}
}
