package runner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	defaultSlots   = 8
	defaultRunTime = 20 * time.Millisecond // run time of a request
)

// Config configures a runner; zero fields take the defaults.
type Config struct {
	HostID         model.HostID
	Slots          int           // number of requests that can run concurrently
	DefaultRunTime time.Duration // run time of a request whose body has no run-ms
}

// Runner is a fake runner. It runs a service request by waiting for its run time.
type Runner struct {
	fault.Injector
	cfg Config

	mu               sync.Mutex
	busySlots        int
	maxBusySlots     int // highest value of busySlots so far
	leaving          bool
	restarted        chan struct{}           // closed at the next restart, which aborts the requests in progress
	runsByID         map[model.RequestID]int // number of runs of each request id
	runsStarted      int64
	requestsRefused  int64
	runsWhileLeaving int64 // runs started while leaving was set
}

// RunResponse is the body of a successful response to POST /v1/run.
type RunResponse struct {
	Runner    model.HostID    `json:"runner"`
	RequestID model.RequestID `json:"request-id"`
	SHA256    string          `json:"sha256"` // hex digest of the request body
	RunMS     model.Millis    `json:"run-ms"`
}

// RunCounts is the body of the response to GET /admin/runs.
type RunCounts struct {
	ByRequestID map[model.RequestID]int `json:"runs"` // number of runs of each request id
}

// New returns a runner with all slots free.
func New(cfg Config) *Runner {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.DefaultRunTime == 0 {
		cfg.DefaultRunTime = defaultRunTime
	}
	return &Runner{cfg: cfg, restarted: make(chan struct{}), runsByID: map[model.RequestID]int{}}
}

// Handler returns the HTTP handler for the runner's API and for its fault injection under /admin/, which also serves
// GET /admin/runs and POST /admin/leaving with the body {"leaving":true}.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", r.serveRun)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, RunCounts{ByRequestID: r.RunCounts()})
	})
	mux.HandleFunc("POST /admin/leaving", func(w http.ResponseWriter, req *http.Request) {
		var body struct {
			Leaving bool `json:"leaving"`
		}
		if fault.ReadJSON(w, req, &body) {
			r.SetLeaving(body.Leaving)
			fault.WriteJSON(w, http.StatusOK, body)
		}
	})
	return r.Wrap(mux, r.stats)
}

// Restart aborts the requests in progress, frees all slots and keeps the counters.
func (r *Runner) Restart() {
	r.DropRequests()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.restarted)
	r.restarted = make(chan struct{})
	r.busySlots = 0
}

// SetLeaving sets whether responses have the header Leaving; a leaving runner still runs requests.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// RunCounts returns the number of runs of each request id.
func (r *Runner) RunCounts() map[model.RequestID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runsByID)
}

// serveRun handles POST /v1/run. A refused request gets the header Not-Run; one that a restart aborts gets no response.
func (r *Runner) serveRun(w http.ResponseWriter, req *http.Request) {
	id := model.RequestID(req.Header.Get("Request-Id"))
	body, err := io.ReadAll(req.Body)
	if err != nil || id == "" {
		w.Header().Set("Not-Run", "true")
		fault.WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "the header Request-Id is required")
		return
	}
	w.Header().Set("Request-Id", string(id))
	restarted, ok := r.acquireSlot(id)
	if !ok {
		r.setStatusHeaders(w)
		w.Header().Set("Not-Run", "true")
		fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "all slots are busy or the runner refuses requests")
		return
	}
	runTime := r.runTime(body)
	select {
	case <-time.After(runTime):
	case <-restarted:
		panic(http.ErrAbortHandler)
	}
	r.releaseSlot(restarted)
	r.setStatusHeaders(w)
	digest := sha256.Sum256(body)
	fault.WriteJSON(w, http.StatusOK, RunResponse{
		Runner: r.cfg.HostID, RequestID: id, SHA256: hex.EncodeToString(digest[:]), RunMS: model.Millis(runTime.Milliseconds()),
	})
}

// acquireSlot takes a slot and counts the run, or returns false if the request is refused. The returned channel is closed
// when a restart aborts the request.
func (r *Runner) acquireSlot(id model.RequestID) (<-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Faults().Refuse || r.busySlots >= r.cfg.Slots {
		r.requestsRefused++
		return nil, false
	}
	r.busySlots++
	r.maxBusySlots = max(r.maxBusySlots, r.busySlots)
	r.runsStarted++
	r.runsByID[id]++
	if r.leaving {
		r.runsWhileLeaving++
	}
	return r.restarted, true
}

// releaseSlot frees the slot, unless a restart has already freed all slots.
func (r *Runner) releaseSlot(restarted <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restarted == r.restarted {
		r.busySlots--
	}
}

// setStatusHeaders sets the headers Free-Slots and Leaving.
func (r *Runner) setStatusHeaders(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Free-Slots", strconv.Itoa(r.cfg.Slots-r.busySlots))
	if r.leaving {
		w.Header().Set("Leaving", "true")
	}
}

// runTime returns the run time of a request: run-ms of its JSON body, or the default if the body has none or is not JSON.
func (r *Runner) runTime(body []byte) time.Duration {
	var payload struct {
		RunMS *model.Millis `json:"run-ms"`
	}
	if json.Unmarshal(body, &payload) != nil || payload.RunMS == nil {
		return r.cfg.DefaultRunTime
	}
	return time.Duration(*payload.RunMS) * time.Millisecond
}

func (r *Runner) stats() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	repeatedIDs := int64(0)
	for _, n := range r.runsByID {
		if n > 1 {
			repeatedIDs++
		}
	}
	return map[string]int64{
		"runs": r.runsStarted, "refused": r.requestsRefused, "runs-while-leaving": r.runsWhileLeaving,
		"busy": int64(r.busySlots), "busiest": int64(r.maxBusySlots), "repeated-ids": repeatedIDs,
	}
}
