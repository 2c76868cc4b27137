package dispatcher

import (
	"expvar"
	"fmt"
	"math"
	"strconv"
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Metrics holds the counters and histograms of the leader. The times of jobs are measured from the moment at which its host learned of
// them, which for older jobs than its process is the load of its first snapshot.
type Metrics struct {
	Jobs           *expvar.Map            // number of accepted jobs, and of ended jobs by final state
	Runs           *expvar.Map            // number of events of runs, such as started, adopted or stop, and of run ends by kind
	Stops          *expvar.Map            // number of runs that were stopped by reason
	LostWork       *expvar.Map            // core-seconds thrown away, by the reason of a stop or the kind of another end
	Decisions      *expvar.Map            // number of decisions whether a step preempts, by reason
	Refusals       *expvar.Map            // number of refused start requests by reason
	RunTimes       *expvar.Map            // number of learned runs and kinds of runs, and by which factor callers' estimates and forecasts are off
	Appends        *expvar.Map            // number of appends to the log by outcome
	Evacuated      *expvar.Map            // number of evacuated failure domains, and of workers and runs left there; 0 while this host does not lead
	Waiting        *expvar.Map            // number of tasks that wait for workers in the last pass by usefulness, without guaranteed work
	Workspaces     *expvar.Map            // number of workspaces with waiting work, and of those that use more than their share, without guaranteed work
	Backlog        *expvar.Map            // milliseconds for which the work of each priority and more urgent work fill the workers, as published; empty while this host does not lead
	Withheld       *expvar.Map            // number of workers withheld in the last pass, by service and the priority that waited; 0 while this host does not lead
	StartLatency   *recorder.HistogramSet // time from learning of a job until all tasks of its first step have started, by queue
	CompletionTime *recorder.HistogramSet // time from learning of a job until it has finished, by queue
	PassDuration   *recorder.HistogramSet // duration of scheduling passes
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		StartLatency: recorder.NewCoarseHistogramSet(), CompletionTime: recorder.NewCoarseHistogramSet(), PassDuration: recorder.NewCoarseHistogramSet(),
	}
	for _, p := range []**expvar.Map{&m.Jobs, &m.Runs, &m.Stops, &m.LostWork, &m.Decisions, &m.Refusals, &m.RunTimes, &m.Appends, &m.Evacuated, &m.Waiting, &m.Workspaces, &m.Backlog, &m.Withheld} {
		*p = new(expvar.Map).Init()
	}
	return m
}

// Vars returns the metrics by their published names.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"jobs": m.Jobs, "runs": m.Runs, "stops": m.Stops, "lost-core-seconds": m.LostWork, "preemption-decisions": m.Decisions, "start-refusals": m.Refusals, "leader-appends": m.Appends, "evacuated": m.Evacuated, "run-times": m.RunTimes, "waiting-tasks": m.Waiting, "waiting-workspaces": m.Workspaces, "backlog-ms": m.Backlog, "withheld-workers": m.Withheld,
		"job-start": m.StartLatency, "job-complete": m.CompletionTime, "planning": m.PassDuration,
	}
}

// recordStart records the start latency of the job if s is its first step. Each occurrence of a periodic job is recorded.
func (m *Metrics) recordStart(s *step, now time.Time) {
	if s.ref.Step == 0 {
		m.StartLatency.Record(queueLabel(s.job), now.Sub(s.job.seenAt))
	}
}

// recordLostWork adds the work that a run loses which ends without success for the given cause.
func (m *Metrics) recordLostWork(r *run, cause string, now time.Time) {
	stopped := r.stoppable(now)
	m.LostWork.AddFloat(cause, float64(stopped.LostWork()))
}

// recordEnd counts an ended job, and records its completion time if it has finished.
func (m *Metrics) recordEnd(j *job, now time.Time) {
	m.Jobs.Add(string(j.state), 1)
	if j.state == model.JobFinished {
		m.CompletionTime.Record(queueLabel(j), now.Sub(j.seenAt))
	}
}

// recordRunTimes sets the metrics of learned run times.
func (m *Metrics) recordRunTimes(l *runTimes) {
	for name, v := range map[string]float64{
		"runs": float64(l.estimator.Runs()), "kinds": float64(l.estimator.Kinds()), "caller-error-factor": math.Exp2(l.callerError),
		"forecast-error-factor": math.Exp2(l.forecastError),
	} {
		f := new(expvar.Float)
		f.Set(v)
		m.RunTimes.Set(name, f)
	}
}

// queueLabel returns the histogram label of the job's queue in the form WORKSPACE/QUEUE.
func queueLabel(j *job) string {
	return string(j.submission.Workspace) + "/" + string(j.submission.Queue.ID)
}

// withheldKey identifies the workers that are withheld from a priority of a service.
type withheldKey struct {
	service  model.ServiceID
	priority model.Priority
}

// setWithheld sets the numbers of withheld workers. Those that are not given become 0.
func (m *Metrics) setWithheld(workers map[withheldKey]int) {
	m.Withheld.Do(func(kv expvar.KeyValue) { kv.Value.(*expvar.Int).Set(0) })
	for key, n := range workers {
		label := fmt.Sprintf("%s/%d", key.service, min(key.priority, maxPriorities-1))
		m.Withheld.Add(label, 0)
		m.Withheld.Get(label).(*expvar.Int).Set(int64(n))
	}
}

// setEvacuated sets the numbers of evacuated failure domains, and of the workers and runs left there.
func (m *Metrics) setEvacuated(domains, workers, runs int) {
	for name, n := range map[string]int{"domains": domains, "workers": workers, "runs": runs} {
		v := new(expvar.Int)
		v.Set(int64(n))
		m.Evacuated.Set(name, v)
	}
}

// setWaiting sets the numbers of waiting tasks.
func (m *Metrics) setWaiting(tasks map[sequencer.Usefulness]int) {
	for _, u := range []sequencer.Usefulness{sequencer.InTime, sequencer.Late, sequencer.Expired} {
		v := new(expvar.Int)
		v.Set(int64(tasks[u]))
		m.Waiting.Set(string(u), v)
	}
}

// setWorkspaces sets the numbers of workspaces with waiting work.
func (m *Metrics) setWorkspaces(waiting, beyondShare int) {
	for name, n := range map[string]int{"waiting": waiting, "beyond-share": beyondShare} {
		v := new(expvar.Int)
		v.Set(int64(n))
		m.Workspaces.Set(name, v)
	}
}

// setBacklog sets the published backlog.
func (m *Metrics) setBacklog(load journaler.Load) {
	m.Backlog.Init()
	total := 0.0
	for p, work := range load.Backlog {
		if load.Capacity > 0 {
			total += work / float64(load.Capacity)
		}
		v := new(expvar.Int)
		v.Set(int64(total * 1000))
		m.Backlog.Set(strconv.Itoa(p), v)
	}
}
