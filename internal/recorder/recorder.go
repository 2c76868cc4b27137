package recorder

import (
	"encoding/json"
	"expvar"
	"net/http"

	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Recorder holds the metrics of one entry host.
//
// They are not in the global registry of expvar, so that tests can run several hosts in one process.
type Recorder struct {
	vars expvar.Map

	RequestWaitTime    *HistogramSet // in the queue of the router, per workspace and class
	RequestServiceTime *HistogramSet // from send to answer, per workspace and class

	Outcomes        *expvar.Map // requests by workspace, class and outcome
	ShedRequests    *expvar.Map // refused work by workspace and class
	Retries         *expvar.Map // retried requests by workspace
	ControlBytes    *expvar.Map // control traffic by peer kind and direction
	ControlMessages *expvar.Map // control messages by peer kind and direction
}

// New returns a recorder with all metrics registered.
func New() *Recorder {
	r := &Recorder{}
	r.vars.Init()
	for name, h := range map[string]**HistogramSet{"request-wait": &r.RequestWaitTime, "request-service": &r.RequestServiceTime} {
		*h = NewCoarseHistogramSet()
		r.vars.Set(name, *h)
	}
	for name, m := range map[string]**expvar.Map{
		"outcomes": &r.Outcomes, "shed": &r.ShedRequests, "retries": &r.Retries,
		"control-bytes": &r.ControlBytes, "control-messages": &r.ControlMessages,
	} {
		*m = new(expvar.Map).Init()
		r.vars.Set(name, *m)
	}
	r.RegisterGauge("process", processVars)
	return r
}

// SeriesKey joins a workspace and a class to the label of a histogram.
func SeriesKey(ws model.WorkspaceID, class model.ClassID) string {
	return string(ws) + "/" + string(class)
}

// Register registers a metric.
func (r *Recorder) Register(name string, v expvar.Var) {
	r.vars.Set(name, v)
}

// RegisterGauge registers a metric that is computed when it is read.
func (r *Recorder) RegisterGauge(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// ServeHTTP writes all metrics as one JSON object.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(r.vars.String()))
}

// Snapshot returns all metrics as JSON.
func (r *Recorder) Snapshot() json.RawMessage {
	return json.RawMessage(r.vars.String())
}

func processVars() any { return meter.ReadProcess() }
