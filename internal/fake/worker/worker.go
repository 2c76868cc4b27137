package worker

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Worker serves a lease table over HTTP.
type Worker struct {
	fault.Switch
	ledger *Ledger

	mu      sync.Mutex
	table   *Table
	timer   *time.Timer // advances the table at its next change
	batches int64
	stale   int64
}

// New returns a worker that has just started.
func New(cfg Config) *Worker {
	if cfg.Ledger == nil {
		cfg.Ledger = &Ledger{}
	}
	return &Worker{ledger: cfg.Ledger, table: NewTable(cfg, newBoot())}
}

// Handler serves the worker's interface, its fault switches, and the ledger at GET /admin/ledger.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/ops", w.ops)
	mux.HandleFunc("GET /admin/ledger", func(rw http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(rw, http.StatusOK, w.ledger.Report(time.Now()))
	})
	return w.Wrap(mux, w.stats)
}

// Restart loses all tasks and the term and changes the boot id.
func (w *Worker) Restart() {
	w.Drop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Restart(time.Now(), newBoot())
	w.schedule()
}

// Tasks returns the reports of all tasks, ordered by id.
func (w *Worker) Tasks() []workerclient.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Advance(time.Now())
	return w.table.Tasks()
}

func (w *Worker) ops(rw http.ResponseWriter, r *http.Request) {
	var b workerclient.Batch
	if !fault.ReadJSON(rw, r, &b) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.Get()
	w.table.SetFaults(f.Refuse, f.FailTasks)
	reply := w.table.Apply(time.Now(), b)
	w.batches++
	if reply.Error == model.KindStaleTerm {
		w.stale++
	}
	w.schedule()
	fault.WriteJSON(rw, http.StatusOK, reply)
}

// schedule advances the table in time, so that the ledger sees the events of all workers in order.
func (w *Worker) schedule() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if at, ok := w.table.Next(); ok {
		w.timer = time.AfterFunc(time.Until(at), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.table.Advance(time.Now())
			w.schedule()
		})
	}
}

func (w *Worker) stats() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Advance(time.Now())
	n := map[string]int64{"batches": w.batches, "stale-terms": w.stale, "starts": w.table.starts}
	for _, x := range w.table.tasks {
		n["tasks-"+string(x.report.State)]++
	}
	return n
}

func newBoot() model.BootID { return model.BootID(rand.Text()) }
