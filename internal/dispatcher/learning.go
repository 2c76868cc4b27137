package dispatcher

import (
	"math"
	"time"

	"chestnutmux.example/chestnutmux/internal/estimator"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// learningInterval is the interval at which active runs are observed and forecasts follow what was observed.
	learningInterval = time.Second
	// learningLogInterval is the interval of the log lines on what was learned.
	learningLogInterval = time.Minute
	// maxAdoptedPercent is the progress of a run at its first report up to which its run time is derived from the rest. Progress is reported
	// in whole percents.
	maxAdoptedPercent = 80
	// errorWeight is the weight of the newest run in the moving averages of errors.
	errorWeight = 0.02
	// maxPublishedQueues limits the part of the load that is published with each term record, to about 1 KB.
	maxPublishedQueues = 32
)

// runTimes learns the run times of tasks during one term. The goroutine of the dispatcher owns it; jobs refer to it while it is in use.
type runTimes struct {
	estimator     estimator.Estimator
	published     map[model.QueueID]journaler.LearnedRunTime // see journaler.Load; replaced at each update
	usualWork     map[model.ServiceID]*placer.UsualWork
	updatedAt     time.Time
	loggedAt      time.Time
	loggedRuns    int64   // number of runs at the last log line
	callerError   float64 // moving average of how much the callers' estimates are off, in octaves
	forecastError float64 // the same of the forecasts
}

// observeStart begins to learn from a run. Members of a gang end together, so the first task stands for all.
func (r *run) observeStart() {
	if r.task == nil || !r.task.step.usesForecast() || r.task.step.spec.Gang && r.task.index > 0 {
		return
	}
	s := r.task.step
	r.observation = &estimator.Run{Key: s.runTimesKey(), Estimate: s.callerEstimate()}
	if !s.spec.Gang {
		r.observation.Worker = r.worker.info.ID
	}
}

// beganAtZero reports whether this leader has seen the run begin without former progress.
func (r *run) beganAtZero() bool { return !r.adopted && !r.fromCheckpoint }

// observe records that the run has not ended by itself. On a worker that does not report, it may have ended since the last report.
func (r *run) observe(now time.Time) {
	if r.observation == nil || r.state != runRunning || !r.beganAtZero() {
		return
	}
	if now.Sub(r.worker.lastReportAt) > maxReportAge {
		now = r.worker.lastReportAt
	}
	r.task.step.job.runTimes.estimator.Observe(r.observation, now.Sub(r.startConfirmedAt))
}

// observeDone records that the run has ended done, unless its worker has not reported for so long that it is not known when.
func (d *Dispatcher) observeDone(r *run, now time.Time) {
	o := r.observation
	if o == nil || r.startConfirmedAt.IsZero() || r.worker.reportGap > maxReportAge {
		return
	}
	if r.beganAtZero() {
		total := now.Sub(r.startConfirmedAt)
		d.runTimes.recordErrors(r.task.step, total)
		d.runTimes.estimator.RecordDone(o, total)
		return
	}
	if r.paceFrom.IsZero() || r.paceFromPercent > maxAdoptedPercent {
		return
	}
	total := now.Sub(r.paceFrom) * 100 / time.Duration(100-r.paceFromPercent)
	o.Skip(total * time.Duration(r.paceFromPercent) / 100)
	d.runTimes.estimator.RecordDone(o, total)
}

// recordErrors compares the run time of a task with the caller's estimate and the forecast.
func (l *runTimes) recordErrors(s *step, total time.Duration) {
	estimate, forecast := s.callerEstimate(), s.forecast().Total(0)
	if estimate <= 0 || forecast <= 0 || total <= 0 {
		return
	}
	l.callerError += errorWeight * (octavesBetween(total, estimate) - l.callerError)
	l.forecastError += errorWeight * (octavesBetween(total, forecast) - l.forecastError)
}

func octavesBetween(a, b time.Duration) float64 { return math.Abs(math.Log2(float64(a) / float64(b))) }

// learn observes the active runs at intervals, and updates the forecasts.
func (d *Dispatcher) learn(now time.Time) {
	if !d.LearnRunTimes || now.Sub(d.runTimes.updatedAt) < learningInterval {
		return
	}
	l := &d.runTimes
	l.updatedAt = now
	for _, w := range d.workers {
		for _, r := range w.runs {
			r.observe(now)
		}
	}
	l.estimator.Update()
	l.published = map[model.QueueID]journaler.LearnedRunTime{}
	for _, c := range l.estimator.Corrections(maxPublishedQueues) {
		l.published[c.Queue] = journaler.LearnedRunTime{MS: toMillis(c.RunTime), Factor: math.Round(c.Factor*100) / 100}
	}
	d.Metrics.recordRunTimes(l)
	if n := l.estimator.Runs(); n != l.loggedRuns && now.Sub(l.loggedAt) >= learningLogInterval {
		l.loggedAt, l.loggedRuns = now, n
		fastest, slowest := l.estimator.SlownessRange()
		d.Logger.Info("run times learned", "runs", n, "kinds", l.estimator.Kinds(), "caller-error-factor", math.Exp2(l.callerError),
			"forecast-error-factor", math.Exp2(l.forecastError), "fastest-worker-slowness", fastest, "slowest-worker-slowness", slowest)
	}
}

// maxReportedKinds is the maximum number of kinds of tasks in the status.
const maxReportedKinds = 50

// statuses returns what is known of the kinds of tasks of which most runs are known.
func (l *runTimes) statuses() []model.RunTimeStatus {
	var out []model.RunTimeStatus
	for _, s := range l.estimator.Summaries(maxReportedKinds) {
		out = append(out, model.RunTimeStatus{
			Workspace: s.Key.Workspace, Queue: s.Key.Queue, Step: s.Key.Step, Need: s.Key.Need, Gang: s.Key.Gang, Runs: s.Runs,
			MeanMS: toMillis(s.Mean), MedianMS: toMillis(s.Median), P99MS: toMillis(s.P99),
		})
	}
	return out
}

// jobForecast returns what is expected of a job, and nil if the leader does not learn run times.
func (j *job) jobForecast(now time.Time) *model.JobForecast {
	if j.runTimes == nil {
		return nil
	}
	out := &model.JobForecast{RunMS: toMillis(j.criticalPath()), RemainingMS: toMillis(j.remainingPath(now))}
	for i, s := range j.steps[len(j.steps)-len(j.submission.Steps):] {
		runs := 0
		if s.usesForecast() {
			runs = s.forecast().Runs
		}
		if i == 0 || runs < out.Runs {
			out.Runs = runs
		}
	}
	return out
}

func toMillis(d time.Duration) model.Millis { return model.Millis(d.Milliseconds()) }
