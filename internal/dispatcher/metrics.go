package dispatcher

import (
	"expvar"
	"time"

	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Metrics counts what the leader does; the maps are keyed by outcome.
type Metrics struct {
	Jobs           *expvar.Map // by state
	Runs           *expvar.Map // started, and by how they ended
	Refusals       *expvar.Map // refused starts by reason
	Appends        *expvar.Map
	StartLatency   *recorder.HistogramSet // from acceptance to the start of a job's first step, by queue
	CompletionTime *recorder.HistogramSet // from acceptance to the end, by queue
	PassDuration   *recorder.HistogramSet // length of planning passes
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	m := &Metrics{StartLatency: recorder.NewCoarseHistogramSet(), CompletionTime: recorder.NewCoarseHistogramSet(), PassDuration: recorder.NewCoarseHistogramSet()}
	for _, p := range []**expvar.Map{&m.Jobs, &m.Runs, &m.Refusals, &m.Appends} {
		*p = new(expvar.Map).Init()
	}
	return m
}

// Vars returns the metrics by name.
func (m *Metrics) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"jobs": m.Jobs, "runs": m.Runs, "start-refusals": m.Refusals, "leader-appends": m.Appends,
		"job-start": m.StartLatency, "job-complete": m.CompletionTime, "planning": m.PassDuration,
	}
}

func (m *Metrics) begun(s *step, now time.Time) {
	if s.ref.Step == 0 {
		m.StartLatency.Record(label(s.job), now.Sub(s.job.seenAt))
	}
}

func (m *Metrics) ended(j *job, now time.Time) {
	m.Jobs.Add(string(j.state), 1)
	if j.state == model.JobFinished {
		m.CompletionTime.Record(label(j), now.Sub(j.seenAt))
	}
}

func label(j *job) string {
	return string(j.sub.Workspace) + "/" + string(j.sub.Queue.ID)
}
