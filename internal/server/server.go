package server

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxConfig bounds a publish; a full configuration of 120 teams is below 1 MiB.
	maxConfig = 8 << 20
	// maxJSON bounds all other JSON bodies; jobs are kept in memory by all entry hosts and in the log.
	maxJSON = 256 << 10
	// maxWait bounds a long poll, so that connections behind a balancer do not pile up.
	maxWait = 30 * time.Second
	// writeTime bounds the writing of one answer to a client that reads slowly.
	writeTime = 30 * time.Second

	maxHeaderBytes = 16 << 10
)

// limits bound the time that a client may hold a connection.
type limits struct {
	header, read, write, idle time.Duration
}

// defaultLimits leave a request the longest deadline of a service request plus the time for its answer.
var defaultLimits = limits{
	header: 5 * time.Second, read: time.Minute, write: maxDeadline + writeTime, idle: 2 * time.Minute,
}

// Server routes the HTTP requests of callers and operators to a backend.
type Server struct {
	Backend        Backend
	Logger         hclog.Logger
	MetricsHandler http.Handler // serves /debug/vars
}

// HTTP returns an http.Server with the limits that slow or oversized clients need; serve it on Listen's listener.
func (s *Server) HTTP() *http.Server { return s.bounded(defaultLimits) }

func (s *Server) bounded(l limits) *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: l.header,
		ReadTimeout:       l.read,
		WriteTimeout:      l.write,
		IdleTimeout:       l.idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /status", s.page)
	mux.HandleFunc("GET /debug/vars", s.operator(s.metrics))
	mux.HandleFunc("POST /v1/jobs", s.caller(s.submit))
	mux.HandleFunc("GET /v1/jobs", s.caller(s.jobs))
	mux.HandleFunc("GET /v1/jobs/{id}", s.caller(s.job))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.caller(s.cancel))
	mux.HandleFunc("GET /v1/jobs/{id}/explain", s.caller(s.explain))
	mux.HandleFunc("POST /v1/services/{service}/call", s.caller(s.call))
	mux.HandleFunc("GET /v1/config", s.operator(s.config))
	mux.HandleFunc("POST /v1/config", s.operator(s.publish))
	mux.HandleFunc("GET /v1/status", s.operator(s.status))
	mux.HandleFunc("PUT /v1/log-level", s.operator(s.logLevel))
	mux.HandleFunc("POST /v1/drain", s.operator(s.drain))
	return typed(mux)
}

// typed gives requests without a route a typed error.
func typed(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		// The handler of the mux tells a wrong method from a wrong path and lists the methods.
		d := discard{header: http.Header{}}
		h.ServeHTTP(&d, r)
		e := &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotFound,
			Message: "there is no such path", Remedy: "use the paths of docs/api.md",
		}
		status := http.StatusNotFound
		if allow := d.header.Get("Allow"); allow != "" {
			status = http.StatusMethodNotAllowed
			w.Header().Set("Allow", allow)
			e.Kind, e.Message, e.Remedy = model.ErrorKindInvalid, "the path does not take the method "+r.Method, "use "+allow
		}
		writeErrorAs(w, status, e)
	})
}

// discard is a response of which only the header is kept.
type discard struct{ header http.Header }

// Header returns the header.
func (d *discard) Header() http.Header { return d.header }

// Write drops the body.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d *discard) WriteHeader(int) {}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"state": "up"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Backend.CheckReady(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
}

// metrics takes an operator's token, since the labels name workspaces and show their loads.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request, _ Identity) {
	boundWrite(w)
	s.MetricsHandler.ServeHTTP(w, r)
}
