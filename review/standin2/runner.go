package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxHold     = 10 * time.Second       // max_hold_ms
	stopTime    = 100 * time.Millisecond // under stop_ms
	heartbeat   = 1500 * time.Millisecond
	tick        = 5 * time.Millisecond
	lastsSpec   = "lasts"                // task_spec of a task that lasts
	startupTime = 300 * time.Millisecond // time until such a task is at work
	missed      = 3                      // heartbeats after which the entry of a silent runner is removed
)

// fleet is what all runners share.
type fleet struct {
	store  *store
	record *record

	mu     sync.Mutex // guards all runners
	starts []start
	ends   []end
}

// start is a run that a runner has begun.
type start struct {
	at     time.Time
	task   string
	run    int64
	runner *runner
	labels []string // of the runner at that time
	room   int      // accelerators of the runner at that time
}

// end is a run that has ended on a runner that was up.
type end struct {
	at   time.Time
	task string
	run  int64
	how  string
}

// runner is a stand-in of a runner. Its process can crash and start again under the same id.
type runner struct {
	fleet *fleet
	id    string
	addr  string
	rack  string

	// guarded by fleet.mu
	kind     string
	gpus     int
	server   *http.Server
	up       bool
	bootedAt time.Time
	downAt   time.Time
	seq      int64
	fence    int64
	leaseEnd time.Duration // on the clock of the runner
	runs     map[string]*run
	ended    []endRow
	lastEnd  int64
	highest  map[string]int64 // highest run stopped or ended, by task
	changed  chan struct{}
	late     *lateStart // the start that the network holds back, shared by all runners; nil if there is none
	heldBack bool       // it was sent to this runner
}

// lateStart says which start request to a runner the network holds back. The caller gets no answer, and the request arrives later.
type lateStart struct {
	taskPrefix string
	delay      time.Duration
	heldAt     time.Time // zero while no request was held back
	delivered  bool
}

// run is a task at work.
type run struct {
	task      string
	number    int64
	startedAt time.Time
	work      time.Duration // not used for a task that lasts
	lasts     bool          // the task works until it is stopped
	stopAt    time.Time
}

// percent returns the progress. A task that lasts is at work after a short startup.
func (u *run) percent() int {
	since := time.Since(u.startedAt)
	if u.lasts {
		return int(min(100, 100*since/startupTime))
	}
	return int(min(100, 100*float64(since)/float64(max(u.work, 1))))
}

type endRow struct {
	seq  int64
	task string
	run  int64
	how  string
}

// boot starts the process of the runner: it writes its entry and then accepts calls.
func (r *runner) boot() error {
	f := r.fleet
	f.mu.Lock()
	r.up, r.bootedAt, r.seq, r.fence, r.leaseEnd = true, time.Now(), 0, 0, 0
	r.runs, r.ended, r.lastEnd, r.highest = map[string]*run{}, nil, 0, map[string]int64{}
	r.changed = make(chan struct{})
	born := r.bootedAt
	mux := http.NewServeMux()
	handle := func(path string, serve func(w http.ResponseWriter, body callBody)) {
		mux.HandleFunc("POST /chestnutmux/"+path, func(w http.ResponseWriter, req *http.Request) {
			raw, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			if r.holdBack(path, req, raw) {
				return
			}
			var body callBody
			if json.Unmarshal(raw, &body) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if target := req.Header.Get("Target-Instance"); target != "" && target != r.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			serve(w, body)
		})
	}
	handle("run-start", r.serveStart)
	handle("run-stop", r.serveStop)
	handle("hold", r.serveHold)
	r.server = &http.Server{Handler: mux}
	srv := r.server
	r.writeEntry()
	f.record.printf("runner %s (kind %s, %d gpus) starts at %s", r.id, r.kind, r.gpus, r.addr)
	f.mu.Unlock()
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	go func() { _ = srv.Serve(l) }()
	go r.beat(born)
	return nil
}

// holdBack plays the network in front of the runner: it keeps a start request that is to arrive late, and delivers it to the process that
// serves the address by then. The connection of the caller stays silent.
func (r *runner) holdBack(path string, req *http.Request, raw []byte) bool {
	f := r.fleet
	f.mu.Lock()
	l := r.late
	if l == nil || path != "run-start" || !l.heldAt.IsZero() || !bytes.Contains(raw, []byte(l.taskPrefix)) {
		f.mu.Unlock()
		return false
	}
	l.heldAt, r.heldBack = time.Now(), true
	f.record.printf("network: a start request to %s is held back: %s", r.id, raw)
	f.mu.Unlock()
	go func() {
		time.Sleep(l.delay)
		again, err := http.NewRequest(http.MethodPost, "http://"+r.addr+req.URL.Path, bytes.NewReader(raw))
		if err != nil {
			return
		}
		again.Header = req.Header.Clone()
		status := 0
		if resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(again); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		f.mu.Lock()
		l.delivered = true
		f.record.printf("network: the start request arrives at %s; its answer, %d, is lost", r.id, status)
		f.mu.Unlock()
	}()
	<-req.Context().Done()
	return true
}

// crash ends the process: its runs end unseen, and its connections are closed.
func (r *runner) crash() {
	f := r.fleet
	f.mu.Lock()
	r.up, r.downAt = false, time.Now()
	for _, u := range r.runs {
		f.record.printf("runner %s crashes under %s run %d", r.id, u.task, u.number)
	}
	r.runs = map[string]*run{}
	srv := r.server
	f.record.printf("runner %s is down", r.id)
	f.mu.Unlock()
	_ = srv.Close()
}

// beat writes the entry at intervals until the process ends, and removes it after the third interval of silence.
func (r *runner) beat(born time.Time) {
	for {
		time.Sleep(heartbeat)
		f := r.fleet
		f.mu.Lock()
		alive := r.up && r.bootedAt.Equal(born)
		if alive {
			r.writeEntry()
		}
		f.mu.Unlock()
		if !alive {
			break
		}
	}
	time.Sleep((missed - 1) * heartbeat)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if !r.up && r.bootedAt.Equal(born) {
		r.fleet.store.put("keyed.servers", r.id, nil)
		r.fleet.record.printf("store: the entry of %s has lapsed", r.id)
	}
}

// writeEntry writes the runner's report about itself. The caller holds fleet.mu.
func (r *runner) writeEntry() {
	r.seq++
	data, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": r.addr, "zone": zoneNames[0], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": 32000, "mem_mb": 131072, "gpu": r.gpus}, "labels": r.labels(),
		"clock_ms": r.clock().Milliseconds(), "seq": r.seq, "born": r.bootedAt.UnixMilli(),
	})
	r.fleet.store.put("keyed.servers", r.id, data)
}

func (r *runner) labels() []string { return []string{r.kind, r.rack} }

// clock returns the time on the steady clock of the runner.
func (r *runner) clock() time.Duration { return time.Since(r.bootedAt) }

// callBody holds the fields of all calls to a runner.
type callBody struct {
	Task   string `json:"task"`
	Run    int64  `json:"run"`
	Spec   string `json:"task_spec"`
	Until  int64  `json:"until_ms"`
	Fence  int64  `json:"fence"`
	Cursor int64  `json:"ack_cursor"`
	WaitMS int64  `json:"wait_ms"`
}

// checkFence refuses a call with a lower fence than the highest seen. The caller holds fleet.mu.
func (r *runner) checkFence(w http.ResponseWriter, fence int64) bool {
	if fence < r.fence {
		r.refuse(w, "fence")
		return false
	}
	r.fence = fence
	return true
}

// refuse answers that the call is refused. The caller holds fleet.mu.
func (r *runner) refuse(w http.ResponseWriter, reason string) {
	r.fleet.record.printf("runner %s refuses a call: %s", r.id, reason)
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": r.clock().Milliseconds(), "reason": reason})
}

// extendLease extends the lease to a time on the clock of the runner, at most by maxHold. The caller holds fleet.mu.
func (r *runner) extendLease(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, r.clock()+maxHold)
	r.leaseEnd = max(r.leaseEnd, until)
}

func (r *runner) serveStart(w http.ResponseWriter, b callBody) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.up || !r.checkFence(w, b.Fence) {
		return
	}
	r.advance()
	key := runKey(b.Task, b.Run)
	switch {
	case r.runs[key] != nil:
	case b.Run <= r.highest[b.Task]:
		r.refuse(w, "old")
		return
	case time.Duration(b.Until)*time.Millisecond <= r.clock():
		r.refuse(w, "late")
		return
	default:
		u := &run{task: b.Task, number: b.Run, startedAt: time.Now(), lasts: b.Spec == lastsSpec}
		ms, _ := strconv.Atoi(b.Spec)
		u.work = time.Duration(ms) * time.Millisecond
		r.runs[key] = u
		f.starts = append(f.starts, start{at: time.Now(), task: b.Task, run: b.Run, runner: r, labels: r.labels(), room: r.gpus})
		f.record.printf("runner %s (kind %s) starts %s run %d, fence %d", r.id, r.kind, b.Task, b.Run, b.Fence)
	}
	r.extendLease(b.Until)
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds()})
}

func (r *runner) serveStop(w http.ResponseWriter, b callBody) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.up || !r.checkFence(w, b.Fence) {
		return
	}
	r.advance()
	r.highest[b.Task] = max(r.highest[b.Task], b.Run)
	f.record.printf("runner %s confirms a stop of %s run %d, fence %d", r.id, b.Task, b.Run, b.Fence)
	if u := r.runs[runKey(b.Task, b.Run)]; u != nil && u.stopAt.IsZero() {
		u.stopAt = time.Now().Add(stopTime)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": r.clock().Milliseconds()})
}

func (r *runner) serveHold(w http.ResponseWriter, b callBody) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.up || !r.checkFence(w, b.Fence) {
		return
	}
	r.advance()
	for len(r.ended) > 0 && r.ended[0].seq <= b.Cursor {
		f.record.printf("runner %s: the end of %s run %d is taken note of", r.id, r.ended[0].task, r.ended[0].run)
		r.ended = r.ended[1:]
	}
	if b.Until > 0 {
		r.extendLease(b.Until)
	}
	born := r.bootedAt
	for deadline := time.Now().Add(time.Duration(b.WaitMS) * time.Millisecond); len(r.ended) == 0 && time.Now().Before(deadline); {
		changed := r.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
		f.mu.Lock()
		if !r.up || !r.bootedAt.Equal(born) {
			return // the process has ended, and its connections with it
		}
		r.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, u := range r.runs {
		running = append(running, []any{u.task, u.number, "", u.percent(), 0})
	}
	for _, e := range r.ended {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clock_ms": r.clock().Milliseconds(), "born": r.bootedAt.UnixMilli(), "running": running, "ended": ended,
	})
}

// advance ends the runs whose time has come. The caller holds fleet.mu.
func (r *runner) advance() {
	now := time.Now()
	for key, u := range r.runs {
		how := ""
		switch {
		case r.clock() >= r.leaseEnd:
			how = "lapsed"
		case !u.lasts && now.Sub(u.startedAt) >= u.work:
			how = "done"
		case !u.stopAt.IsZero() && !now.Before(u.stopAt):
			how = "stopped"
		default:
			continue
		}
		delete(r.runs, key)
		r.lastEnd++
		r.highest[u.task] = max(r.highest[u.task], u.number)
		r.ended = append(r.ended, endRow{seq: r.lastEnd, task: u.task, run: u.number, how: how})
		r.fleet.ends = append(r.fleet.ends, end{at: now, task: u.task, run: u.number, how: how})
		r.fleet.record.printf("runner %s: %s run %d ends %s", r.id, u.task, u.number, how)
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// advanceAll lets all runners work until the case ends.
func (f *fleet) advanceAll(runners []*runner) {
	for {
		f.mu.Lock()
		for _, r := range runners {
			if r.up {
				r.advance()
			}
		}
		f.mu.Unlock()
		time.Sleep(tick)
	}
}

// running returns the runs of a job by runner.
func (f *fleet) running(runners []*runner, job string) map[*runner]*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[*runner]*run{}
	for _, r := range runners {
		for _, u := range r.runs {
			if len(u.task) > len(job) && u.task[:len(job)] == job {
				out[r] = u
			}
		}
	}
	return out
}

func runKey(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }
