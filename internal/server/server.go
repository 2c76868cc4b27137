package server

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxJSON bounds the JSON bodies of callers and operators; a full configuration of 120 teams is below 1 MiB.
	maxJSON = 8 << 20
	// maxWait bounds a long poll, so that connections behind a balancer do not pile up.
	maxWait = 30 * time.Second

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// Server routes the HTTP requests of callers and operators to a backend.
type Server struct {
	Backend Backend
	Logger  hclog.Logger
	Metrics http.Handler // serves /debug/vars
}

// HTTP returns an http.Server with the limits that slow or oversized clients need.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /debug/vars", s.Metrics)
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
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"state": "up"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Backend.Ready(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
}
