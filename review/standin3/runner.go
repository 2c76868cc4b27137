package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Bounds of a runner as the pages give them.
const (
	maxHoldMS     = 10_000
	stopMS        = 200
	maxListedEnds = 500
	maxHoldWait   = 2 * time.Second
	heartbeat     = 1500 * time.Millisecond
)

// run is a run of a task on a runner.
type run struct {
	task       string
	number     int64
	startedAt  time.Time
	endsAt     time.Time
	stopping   bool
	checkpoint string
	waiting    bool // the run is a member of a gang that waits for the others
}

// end is an entry of the list of ends.
type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// runner is a stand-in of a runner. A crash and a restart replace its process: all that process holds is lost.
type runner struct {
	site    *site
	id      string
	zone    string
	oneWay  time.Duration // delay of the link to the entries, one way
	address string
	labels  []string
	cpu     int64

	mu       sync.Mutex
	alive    bool
	l        net.Listener
	server   *http.Server
	bornAt   time.Time
	fence    int64
	untilMS  int64
	runs     map[string]*run
	highest  map[string]int64 // highest run that was stopped or has ended here, by task
	ends     []end
	nextEnd  int64
	changed  chan struct{} // closed and replaced when a run ends
	seq      int
	draining bool
}

// start starts a process of the runner at its address.
func (r *runner) start() error {
	addr := r.address
	if addr == "" {
		addr = r.site.ip + ":0"
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address, r.l, r.alive, r.bornAt = l.Addr().String(), l, true, time.Now()
	r.fence, r.untilMS, r.ends, r.nextEnd, r.seq = 0, 0, nil, 1, 0
	r.runs, r.highest, r.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	r.server = &http.Server{Handler: r}
	server, born := r.server, r.bornAt
	r.mu.Unlock()
	r.site.note("runner %s starts, born %d", r.id, born.UnixMilli())
	go func() { _ = server.Serve(l) }()
	go r.live(born)
	return nil
}

// crash ends the process at once: its connections are closed, and its runs are gone.
func (r *runner) crash() {
	r.mu.Lock()
	r.alive = false
	server := r.server
	running := len(r.runs)
	r.mu.Unlock()
	_ = server.Close()
	r.site.note("runner %s crashes with %d runs", r.id, running)
}

// live announces the process and ends runs until the process ends.
func (r *runner) live(born time.Time) {
	r.announce()
	announcedAt := time.Now()
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if !r.alive || !r.bornAt.Equal(born) {
			r.mu.Unlock()
			return
		}
		r.step(time.Now())
		r.mu.Unlock()
		if time.Since(announcedAt) >= heartbeat {
			r.announce()
			announcedAt = time.Now()
		}
	}
}

// announce writes the entry of the runner to the store.
func (r *runner) announce() {
	r.mu.Lock()
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": r.seq,
		"capacity": map[string]any{"cpu": r.cpu, "mem_mb": 131072, "gpu": 8}, "labels": r.labels, "born": r.bornAt.UnixMilli(),
	}
	r.mu.Unlock()
	data, _ := json.Marshal(entry)
	r.site.store.put("keyed.servers", r.id, data)
}

// clockMS returns the steady clock of the process. The caller holds r.mu.
func (r *runner) clockMS(now time.Time) int64 { return now.Sub(r.bornAt).Milliseconds() }

// step ends the runs that are due, or all if the lease has expired. The caller holds r.mu.
func (r *runner) step(now time.Time) {
	if len(r.runs) == 0 {
		return
	}
	lapsed := r.clockMS(now) >= r.untilMS
	for _, x := range r.runs {
		how, since := r.site.gangOf(x, now)
		switch {
		case x.stopping || lapsed:
		case how == "":
			if x.waiting = false; x.startedAt.Before(since) {
				x.startedAt, x.endsAt = since, r.site.endOf(x.task, since)
			}
		case how != waits:
			r.end(x, how, now)
			continue
		default:
			continue
		}
		switch {
		case !now.Before(x.endsAt) && x.stopping:
			r.end(x, "stopped", now)
		case !now.Before(x.endsAt):
			r.end(x, "done", now)
		case lapsed:
			r.end(x, "lapsed", now)
		}
	}
}

// end ends a run. The caller holds r.mu.
func (r *runner) end(x *run, how string, now time.Time) {
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.ends = append(r.ends, end{n: r.nextEnd, task: x.task, run: x.number, how: how})
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
	r.site.runEnded(r, x, how, now)
}

// order is the body of a call to a runner.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	TaskSpec   string `json:"task_spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Target-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if strings.HasSuffix(req.URL.Path, "/run-start") && r.site.holdsBack(r, o) {
		<-req.Context().Done() // the order gets no answer
		return
	}
	time.Sleep(r.oneWay)
	defer time.Sleep(r.oneWay) // the response is sent when the handler returns
	switch strings.TrimPrefix(req.URL.Path, "/chestnutmux/") {
	case "run-start":
		r.serveStart(w, o)
	case "run-stop":
		r.serveStop(w, o)
	case "hold":
		r.serveHold(w, req, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer is the body of a response. The caller holds r.mu.
func (r *runner) answer(reason string) map[string]any {
	out := map[string]any{"clock_ms": r.clockMS(time.Now()), "born": r.bornAt.UnixMilli()}
	if reason != "" {
		out["reason"] = reason
	}
	return out
}

// checkFence notes the fence and reports whether the call may be carried out. The caller holds r.mu.
func (r *runner) checkFence(fence int64) bool {
	if fence < r.fence {
		return false
	}
	r.fence = fence
	return true
}

// extend extends the lease; it never shortens. The caller holds r.mu.
func (r *runner) extend(untilMS int64) {
	if untilMS > 0 {
		r.untilMS = max(r.untilMS, min(untilMS, r.clockMS(time.Now())+maxHoldMS))
	}
}

func (r *runner) serveStart(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.step(now)
	x := r.runs[o.Task]
	switch {
	case !r.checkFence(o.Fence):
		reply(w, http.StatusConflict, r.answer("fence"))
	case x != nil && x.number == o.Run:
		r.extend(o.UntilMS)
		reply(w, http.StatusOK, r.answer(""))
	case o.Run <= r.highest[o.Task]:
		r.extend(o.UntilMS)
		reply(w, http.StatusConflict, r.answer("old"))
	case o.UntilMS <= r.clockMS(now):
		reply(w, http.StatusConflict, r.answer("late"))
	case x != nil: // a second run of the task here
		r.extend(o.UntilMS)
		reply(w, http.StatusConflict, r.answer("old"))
	default:
		r.extend(o.UntilMS)
		x := &run{task: o.Task, number: o.Run, startedAt: now, endsAt: r.site.endOf(o.Task, now), checkpoint: o.Checkpoint, waiting: r.site.isGang(o.Task)}
		r.runs[o.Task] = x
		r.site.runStarted(r, x, o, now)
		reply(w, http.StatusOK, r.answer(""))
	}
}

// carryOutLate carries out a start that got no answer, at the process that runs now.
func (r *runner) carryOutLate(o order) {
	r.site.note("%s gets the start of %s run %d late", r, o.Task, o.Run)
	w := httptest.NewRecorder()
	r.serveStart(w, o)
	r.site.note("%s carries it out: %d %s", r, w.Code, w.Body)
}

func (r *runner) serveStop(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.step(now)
	if !r.checkFence(o.Fence) {
		reply(w, http.StatusConflict, r.answer("fence"))
		return
	}
	if x := r.runs[o.Task]; x != nil && x.number == o.Run && !x.stopping {
		x.stopping = true
		x.endsAt = now.Add(stopMS / 2 * time.Millisecond)
		r.site.note("runner %s stops %s run %d", r.id, o.Task, o.Run)
	} else if x == nil {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	}
	reply(w, http.StatusOK, r.answer(""))
}

func (r *runner) serveHold(w http.ResponseWriter, req *http.Request, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(time.Now())
	if !r.checkFence(o.Fence) {
		reply(w, http.StatusConflict, r.answer("fence"))
		return
	}
	r.extend(o.UntilMS)
	for len(r.ends) > 0 && r.ends[0].n <= o.AckCursor {
		r.site.endAcked(r, r.ends[0])
		r.ends = r.ends[1:]
	}
	wait := time.NewTimer(min(time.Duration(o.WaitMS)*time.Millisecond, maxHoldWait))
	defer wait.Stop()
	for waiting := o.WaitMS > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	now := time.Now()
	out := r.answer("")
	running := [][]any{}
	for _, x := range r.runs {
		if x.waiting {
			running = append(running, []any{x.task, x.number, x.checkpoint, 0, 0})
			continue
		}
		percent := int64(100 * now.Sub(x.startedAt) / max(1, x.endsAt.Sub(x.startedAt)))
		running = append(running, []any{x.task, x.number, x.checkpoint, min(percent, 99), 1000})
	}
	ended := [][]any{}
	for _, e := range r.ends {
		if len(ended) == maxListedEnds {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	out["running"], out["ended"] = running, ended
	reply(w, http.StatusOK, out)
}

// String names the runner in the record.
func (r *runner) String() string { return fmt.Sprintf("runner %s", r.id) }
