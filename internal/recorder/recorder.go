package recorder

import (
	"expvar"
	"net/http"

	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Recorder holds the metrics of one entry host.
//
// The metrics are not registered in the global registry of expvar, so that tests can run several hosts in one process.
type Recorder struct {
	vars expvar.Map

	RequestWaitTime    *HistogramSet // time that requests wait in the router's queue, by workspace and class
	RequestServiceTime *HistogramSet // time from sending a request until its response, by workspace and class

	Outcomes     *expvar.Map // number of requests by workspace, class and outcome
	ShedRequests *expvar.Map // number of requests refused under overload, by workspace, class and kind of error
	Retries      *expvar.Map // number of retries by workspace and class
	// ControlBytes is the number of bytes exchanged with workers, the log and the host list, by kind of peer and direction. Under
	// "link/", it is the body size of requests and responses between regions, by workspace and class.
	ControlBytes *expvar.Map
	// ControlMessages is the number of messages exchanged with workers, the log and the host list, by kind of peer and direction.
	ControlMessages *expvar.Map
}

// New returns a recorder in which the metrics of its fields and the statistics of the process are registered.
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
	r.RegisterGauge("process", processStats)
	return r
}

// SeriesKey returns the key of a workspace and a class in a HistogramSet or an expvar.Map.
func SeriesKey(ws model.WorkspaceID, class model.ClassID) string {
	return string(ws) + "/" + string(class)
}

// Register adds a metric, or replaces the one with the same name.
func (r *Recorder) Register(name string, v expvar.Var) {
	r.vars.Set(name, v)
}

// RegisterGauge adds a metric whose value f computes when the metric is read.
func (r *Recorder) RegisterGauge(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// ServeHTTP writes all metrics as one JSON object.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(r.vars.String()))
}

func processStats() any { return meter.ReadProcessStats() }
