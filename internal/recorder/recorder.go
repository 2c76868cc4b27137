package recorder

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Recorder holds the metrics of one entry host.
//
// They are not in the global registry of expvar, so that tests can run several hosts in one process.
type Recorder struct {
	vars expvar.Map

	JobWait        *Histograms // from acceptance to start, per workspace and class
	JobCompletion  *Histograms // from acceptance to end, per workspace and class
	UrgentStart    *Histograms // wait of urgent jobs within their guarantee, per workspace
	RequestWait    *Histograms // in the queue of the router, per workspace and class
	RequestService *Histograms // from send to answer, per workspace and class
	PassTime       *Histograms // planning passes

	Outcomes *expvar.Map // requests by workspace, class and outcome
	Shed     *expvar.Map // refused work by workspace and class
	Retries  *expvar.Map // retried requests by workspace
	Appends  *expvar.Map // log appends by stream
	Bytes    *expvar.Map // control traffic by peer kind and direction
	Messages *expvar.Map // control messages by peer kind and direction
}

// New returns a recorder with all metrics registered.
func New() *Recorder {
	r := &Recorder{}
	r.vars.Init()
	for name, h := range map[string]**Histograms{
		"job-wait": &r.JobWait, "job-completion": &r.JobCompletion, "urgent-start": &r.UrgentStart,
		"request-wait": &r.RequestWait, "request-service": &r.RequestService, "pass-time": &r.PassTime,
	} {
		// The two fine ones have targets, and few labels.
		*h = &Histograms{coarse: name != "urgent-start" && name != "pass-time"}
		r.vars.Set(name, *h)
	}
	for name, m := range map[string]**expvar.Map{
		"outcomes": &r.Outcomes, "shed": &r.Shed, "retries": &r.Retries,
		"log-appends": &r.Appends, "control-bytes": &r.Bytes, "control-messages": &r.Messages,
	} {
		*m = new(expvar.Map).Init()
		r.vars.Set(name, *m)
	}
	r.Gauge("process", processVars)
	return r
}

// Labels joins a workspace and a class to the label of a histogram.
func Labels(ws model.WorkspaceID, class model.ClassID) string {
	return string(ws) + "/" + string(class)
}

// Gauge registers a metric that is computed when it is read.
func (r *Recorder) Gauge(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// JobStarted records the wait of a job.
func (r *Recorder) JobStarted(j model.Job, at time.Time) {
	r.JobWait.Record(Labels(j.Spec.Workspace, j.Spec.Class), at.Sub(j.AcceptedAt))
}

// JobEnded records the completion time of a job.
func (r *Recorder) JobEnded(j model.Job) {
	r.JobCompletion.Record(Labels(j.Spec.Workspace, j.Spec.Class), j.EndedAt.Sub(j.AcceptedAt))
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
