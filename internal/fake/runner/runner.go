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
	defaultRunTime = 20 * time.Millisecond
)

// Config describes a runner; zero fields take the defaults.
type Config struct {
	HostID         model.HostID
	Slots          int           // requests run at once
	DefaultRunTime time.Duration // of a request whose body gives none
}

// Runner answers service requests.
type Runner struct {
	fault.Injector
	cfg Config

	mu             sync.Mutex
	busy           int
	busiest        int
	leaving        bool
	reset          chan struct{} // closed when the requests in progress are lost
	runs           map[model.RequestID]int
	started        int64
	refused        int64
	startedLeaving int64
}

// RunResponse is the body of an answered request.
type RunResponse struct {
	Runner    model.HostID    `json:"runner"`
	RequestID model.RequestID `json:"request-id"`
	SHA256    string          `json:"sha256"` // hex digest of the request body
	RunMS     model.Millis    `json:"run-ms"`
}

// RunCounts is the body of GET /admin/runs.
type RunCounts struct {
	ByRequestID map[model.RequestID]int `json:"runs"`
}

// New returns a runner with all slots free.
func New(cfg Config) *Runner {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.DefaultRunTime == 0 {
		cfg.DefaultRunTime = defaultRunTime
	}
	return &Runner{cfg: cfg, reset: make(chan struct{}), runs: map[model.RequestID]int{}}
}

// Handler serves the runner's interface, its fault switches, the counts at GET /admin/runs,
// and POST /admin/leaving with the body {"leaving":true}.
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", r.run)
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

// Restart loses the requests in progress and keeps the counts.
func (r *Runner) Restart() {
	r.DropRequests()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reset)
	r.reset = make(chan struct{})
	r.busy = 0
}

// SetLeaving sets whether answers carry the header Leaving; a leaving runner still runs requests.
func (r *Runner) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// RunCounts returns how often each request id was run.
func (r *Runner) RunCounts() map[model.RequestID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

func (r *Runner) run(w http.ResponseWriter, req *http.Request) {
	id := model.RequestID(req.Header.Get("Request-Id"))
	body, err := io.ReadAll(req.Body)
	if err != nil || id == "" {
		w.Header().Set("Not-Run", "true")
		fault.WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "the header Request-Id is required")
		return
	}
	w.Header().Set("Request-Id", string(id))
	reset, ok := r.begin(id)
	if !ok {
		r.describe(w)
		w.Header().Set("Not-Run", "true")
		fault.WriteError(w, http.StatusServiceUnavailable, model.ErrorKindOverloaded, "all slots are busy or the runner refuses requests")
		return
	}
	d := r.runTime(body)
	select {
	case <-time.After(d):
	case <-reset:
		panic(http.ErrAbortHandler)
	}
	r.finish(reset)
	r.describe(w)
	sum := sha256.Sum256(body)
	fault.WriteJSON(w, http.StatusOK, RunResponse{
		Runner: r.cfg.HostID, RequestID: id, SHA256: hex.EncodeToString(sum[:]), RunMS: model.Millis(d.Milliseconds()),
	})
}

// begin takes a slot and counts the run.
func (r *Runner) begin(id model.RequestID) (<-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Faults().Refuse || r.busy >= r.cfg.Slots {
		r.refused++
		return nil, false
	}
	r.busy++
	r.busiest = max(r.busiest, r.busy)
	r.started++
	r.runs[id]++
	if r.leaving {
		r.startedLeaving++
	}
	return r.reset, true
}

// finish gives the slot back, unless a restart has already freed all.
func (r *Runner) finish(reset <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reset == r.reset {
		r.busy--
	}
}

func (r *Runner) describe(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Free-Slots", strconv.Itoa(r.cfg.Slots-r.busy))
	if r.leaving {
		w.Header().Set("Leaving", "true")
	}
}

// runTime reads run-ms from a body in JSON; any other body runs for the default time.
func (r *Runner) runTime(body []byte) time.Duration {
	var p struct {
		RunMS *model.Millis `json:"run-ms"`
	}
	if json.Unmarshal(body, &p) != nil || p.RunMS == nil {
		return r.cfg.DefaultRunTime
	}
	return time.Duration(*p.RunMS) * time.Millisecond
}

func (r *Runner) stats() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	repeated := int64(0)
	for _, n := range r.runs {
		if n > 1 {
			repeated++
		}
	}
	return map[string]int64{
		"runs": r.started, "refused": r.refused, "runs-while-leaving": r.startedLeaving,
		"busy": int64(r.busy), "busiest": int64(r.busiest), "repeated-ids": repeated,
	}
}
