package server

import (
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxConfigBytes limits the body of a publish request. A configuration of 120 workspaces is smaller than 1 MiB.
	maxConfigBytes = 8 << 20
	// maxJSONBytes limits all other JSON bodies, because the log stores jobs and all entry hosts keep them in memory.
	maxJSONBytes = 256 << 10
	// maxPollWait limits the duration of a long poll, so that connections through a load balancer do not accumulate.
	maxPollWait = 30 * time.Second
	// writeTimeout limits the time for writing a response to a client that reads slowly.
	writeTimeout = 30 * time.Second

	maxHeaderBytes = 16 << 10
)

// timeouts limit how long a client can occupy a connection.
type timeouts struct {
	header, read, write, idle time.Duration
}

// defaultTimeouts allow a service request to use the longest timeout and then the time for writing its response.
var defaultTimeouts = timeouts{
	header: 5 * time.Second, read: time.Minute, write: maxCallTimeout + writeTimeout, idle: 2 * time.Minute,
}

// Server serves the HTTP interface for callers and operators and forwards their requests to a backend.
type Server struct {
	Backend        Backend
	Logger         hclog.Logger
	MetricsHandler http.Handler       // serves /debug/vars
	Bodies         *bodyreader.Reader // reads the bodies of requests; nil means without bounds
	MemoryBytes    int64              // memory of the process, of which lists take a part; 0 sets no bound

	lists    *lists
	decoding *semaphore.Weighted // large bodies that are being decoded
}

// ListsRefused returns the number of lists of jobs that found no room.
func (s *Server) ListsRefused() int64 { return s.lists.refused.Value() }

// HTTPServer returns an http.Server with timeouts against slow clients and a limit of the header size. Its Serve method must be
// called with a listener from WrapListener.
func (s *Server) HTTPServer() *http.Server { return s.newHTTPServer(defaultTimeouts) }

func (s *Server) newHTTPServer(t timeouts) *http.Server {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: t.header,
		ReadTimeout:       t.read,
		WriteTimeout:      t.write,
		IdleTimeout:       t.idle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.Logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	connlimiter.Attach(h)
	return h
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	if s.Bodies == nil {
		s.Bodies = &bodyreader.Reader{}
	}
	s.lists = newLists(s.MemoryBytes)
	s.decoding = semaphore.NewWeighted(1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.handleHealth)
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /status", s.handleStatusPage)
	mux.HandleFunc("GET /debug/vars", s.requireOperator(s.handleMetrics))
	mux.HandleFunc("POST /v1/jobs", s.requireCaller(s.handleSubmit))
	mux.HandleFunc("GET /v1/jobs", s.requireCaller(s.handleListJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", s.requireCaller(s.handleGetJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.requireCaller(s.handleCancel))
	mux.HandleFunc("GET /v1/jobs/{id}/explain", s.requireCaller(s.handleExplain))
	mux.HandleFunc("POST /v1/services/{service}/call", s.requireCaller(s.handleCall))
	mux.HandleFunc("GET /v1/config", s.requireOperator(s.handleConfig))
	mux.HandleFunc("POST /v1/config", s.requireOperator(s.handlePublish))
	mux.HandleFunc("GET /v1/status", s.requireOperator(s.handleStatus))
	mux.HandleFunc("PUT /v1/log-level", s.requireOperator(s.handleLogLevel))
	mux.HandleFunc("POST /v1/drain", s.requireOperator(s.handleDrain))
	return discardBodies(withTypedErrors(mux))
}

// discardBodies limits the time for the rest of a body that a handler has not read.
func discardBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(w, r)
		if !body.wasRead {
			connlimiter.OfRequest(r).Discard()
		}
	})
}

// trackedBody records whether a handler has read the body, or has begun to.
type trackedBody struct {
	io.ReadCloser
	wasRead bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.wasRead = true
	return b.ReadCloser.Read(p)
}

// withTypedErrors responds to requests that match no route with a *model.Error instead of the plain text of net/http.
func withTypedErrors(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		// The error handler of the mux sets the header Allow if the path exists and only the method is wrong.
		errorHeader := headerRecorder{header: http.Header{}}
		h.ServeHTTP(&errorHeader, r)
		e := &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNotFound,
			Message: "there is no such path", Remedy: "use the paths of docs/api.md",
		}
		status := http.StatusNotFound
		if allow := errorHeader.header.Get("Allow"); allow != "" {
			status = http.StatusMethodNotAllowed
			w.Header().Set("Allow", allow)
			e.Kind, e.Message, e.Remedy = model.ErrorKindInvalid, "the path does not take the method "+r.Method, "use "+allow
		}
		writeErrorWithStatus(w, status, e)
	})
}

// headerRecorder is an http.ResponseWriter that keeps the header and discards the status and the body.
type headerRecorder struct{ header http.Header }

// Header implements http.ResponseWriter.
func (h *headerRecorder) Header() http.Header { return h.header }

// Write discards the body.
func (h *headerRecorder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (h *headerRecorder) WriteHeader(int) {}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"state": "up"})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Backend.CheckReady(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"state": "ready"})
}

// handleMetrics serves the metrics. It requires an operator's token, because the labels reveal the workspaces and their load.
func (s *Server) handleMetrics(w http.ResponseWriter, r *http.Request, _ Identity) {
	setWriteDeadline(w)
	s.MetricsHandler.ServeHTTP(w, r)
}
