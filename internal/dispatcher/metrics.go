package dispatcher

import (
	"expvar"
	"time"

	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Metrics holds the counters and histograms of the leader.
type Metrics struct {
	Jobs           *expvar.Map            // accepted jobs, and ended jobs by state
	Runs           *expvar.Map            // started runs, and runs by how they ended
	Refusals       *expvar.Map            // refused start requests by reason
	Appends        *expvar.Map            // appends to the log by outcome
	StartLatency   *recorder.HistogramSet // from acceptance of a job until all tasks of its first step have started, by queue
	CompletionTime *recorder.HistogramSet // from acceptance of a job until it has finished, by queue
	PassDuration   *recorder.HistogramSet // duration of scheduling passes
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{
		StartLatency: recorder.NewCoarseHistogramSet(), CompletionTime: recorder.NewCoarseHistogramSet(), PassDuration: recorder.NewCoarseHistogramSet(),
	}
	for _, p := range []**expvar.Map{&m.Jobs, &m.Runs, &m.Refusals, &m.Appends} {
		*p = new(expvar.Map).Init()
	}
	return m
}

// Vars returns the metrics by the names under which they are published.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"jobs": m.Jobs, "runs": m.Runs, "start-refusals": m.Refusals, "leader-appends": m.Appends,
		"job-start": m.StartLatency, "job-complete": m.CompletionTime, "planning": m.PassDuration,
	}
}

// recordStart records the start latency of a job when its first step has started.
func (m *Metrics) recordStart(s *step, now time.Time) {
	if s.ref.Step == 0 {
		m.StartLatency.Record(queueLabel(s.job), now.Sub(s.job.seenAt))
	}
}

// recordEnd counts an ended job, and records the completion time of a finished one.
func (m *Metrics) recordEnd(j *job, now time.Time) {
	m.Jobs.Add(string(j.state), 1)
	if j.state == model.JobFinished {
		m.CompletionTime.Record(queueLabel(j), now.Sub(j.seenAt))
	}
}

// queueLabel returns the histogram label of the queue of a job, WORKSPACE/QUEUE.
func queueLabel(j *job) string {
	return string(j.submission.Workspace) + "/" + string(j.submission.Queue.ID)
}
