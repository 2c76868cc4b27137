package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopTime       = 200 * time.Millisecond
	gangWait       = 3 * time.Second
	maxHoldWait    = 2 * time.Second
	maxListedEnds  = 500
	checkpointStep = time.Second
	tickInterval   = 5 * time.Millisecond
	wholePercent   = 100
)

// Work tells runners how long the tasks of a job take; the job's task_spec names it.
type Work struct {
	Duration   time.Duration // work of one task
	GangSize   int           // members of the gang; 0 if the step is none
	Checkpoint bool          // the task checkpoints its progress
	Lasts      bool          // the task runs until it is stopped, and is at work after Duration
	Need       Room
}

// Room is a capacity, or what a task needs of it.
type Room struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Fleet is the runners of a service. All times are those of the real clock.
type Fleet struct {
	Store   *Store
	Record  *Record
	Service string
	Works   map[string]Work // by task_spec

	mu      sync.Mutex
	Runners []*Runner
	starts  []*Start
}

// Start is one start of a task by a runner, and how it ended.
type Start struct {
	Task   string
	Run    int64
	Runner string
	At     time.Time
	EndAt  time.Time // zero while the run is active
	How    string
}

// Runner is one machine. Its process can be crashed and started again.
type Runner struct {
	ID, Addr string
	Room     Room
	Labels   []string
	Zone     string

	fleet    *Fleet
	server   *http.Server
	up       bool
	quiet    bool          // writes no entry to the store
	silent   bool          // cut off: calls from entry hosts get no response
	distance time.Duration // one-way delay of the network to the entry hosts
	grey     bool          // all that starts here fails
	state    string
	born     time.Time
	seq      int64
	fence    int64
	until    time.Time // end of the lease
	runs     map[string]*activeRun
	highest  map[string]int64 // highest run ended or stopped here, by task
	ends     [][]any
	nextEnd  int64
}

type activeRun struct {
	*Start
	work     Work
	done     time.Duration // work done
	working  bool
	last     time.Time
	stopAt   time.Time
	fail     bool
	gangKey  string
	gangSize int
}

// Add starts a runner at an address.
func (f *Fleet) Add(id, addr, zone string, room Room, labels []string) (*Runner, error) {
	r := &Runner{ID: id, Addr: addr, Zone: zone, Room: room, Labels: labels, fleet: f, state: "ready"}
	f.mu.Lock()
	f.Runners = append(f.Runners, r)
	f.mu.Unlock()
	return r, r.Boot()
}

// Boot starts the process of a runner, which knows nothing of an earlier one.
func (r *Runner) Boot() error {
	f := r.fleet
	f.mu.Lock()
	r.born, r.seq, r.fence, r.until, r.nextEnd = time.Now(), 0, 0, time.Time{}, 0
	r.runs, r.highest, r.ends, r.up = map[string]*activeRun{}, map[string]int64{}, nil, true
	f.mu.Unlock()
	if err := r.listen(); err != nil {
		return err
	}
	f.Record.Printf("runner %s is up", r.ID)
	r.beat()
	return nil
}

// listen serves the calls to a runner.
func (r *Runner) listen() error {
	l, err := net.Listen("tcp4", r.Addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chestnutmux/run-start", r.handle(r.runStart))
	mux.HandleFunc("POST /chestnutmux/run-stop", r.handle(r.runStop))
	mux.HandleFunc("POST /chestnutmux/hold", r.handle(r.hold))
	srv := &http.Server{Handler: mux}
	r.fleet.mu.Lock()
	r.Addr, r.server = l.Addr().String(), srv
	r.fleet.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	return nil
}

// CutWithReset cuts a runner off from the entry hosts: its connections are reset and new ones refused. The runner works on.
func (r *Runner) CutWithReset() {
	f := r.fleet
	f.mu.Lock()
	srv := r.server
	f.mu.Unlock()
	_ = srv.Close()
	f.Record.Printf("runner %s is cut off, its connections are reset", r.ID)
}

// Heal ends CutWithReset.
func (r *Runner) Heal() error {
	if err := r.listen(); err != nil {
		return err
	}
	r.fleet.Record.Printf("runner %s is reached again", r.ID)
	return nil
}

// CutSilently cuts a runner off from the entry hosts: calls to it get no response.
func (r *Runner) CutSilently() {
	r.Set(func(r *Runner) { r.silent = true })
	r.fleet.Record.Printf("runner %s is cut off silently", r.ID)
}

// CrashBehindCut ends the process of a runner that is cut off: all that runs on it ends, and it writes no entry. Callers learn nothing
// before the cut ends.
func (r *Runner) CrashBehindCut() {
	f := r.fleet
	f.mu.Lock()
	r.up = false
	n := len(r.runs)
	for _, a := range r.runs {
		a.EndAt, a.How = time.Now(), "crashed"
	}
	r.runs = map[string]*activeRun{}
	f.mu.Unlock()
	f.Record.Printf("runner %s crashes with %d runs", r.ID, n)
}

// Succeed ends the cut of a runner that has crashed: another one serves its address.
func (f *Fleet) Succeed(old *Runner, id string) (*Runner, error) {
	f.mu.Lock()
	srv := old.server
	f.mu.Unlock()
	_ = srv.Close()
	return f.Add(id, old.Addr, old.Zone, old.Room, old.Labels)
}

// Remove deletes the entry of a runner that is down.
func (r *Runner) Remove() { r.fleet.Store.Put("keyed.servers", r.ID, nil) }

// Set changes the faults of a runner.
func (r *Runner) Set(change func(r *Runner)) {
	r.fleet.mu.Lock()
	change(r)
	r.fleet.mu.Unlock()
}

// SetGrey makes a runner fail all that it starts, or ends that.
func (r *Runner) SetGrey(on bool) {
	r.Set(func(r *Runner) { r.grey = on })
	r.fleet.Record.Printf("runner %s fails all that it starts: %v", r.ID, on)
}

// SetDistance sets the one-way delay of the network to a runner.
func (r *Runner) SetDistance(d time.Duration) { r.Set(func(r *Runner) { r.distance = d }) }

// Expire deletes the entry of a runner, which writes none until Return.
func (r *Runner) Expire() {
	r.Set(func(r *Runner) { r.quiet = true })
	r.Remove()
	r.fleet.Record.Printf("the entry of runner %s has expired", r.ID)
}

// Return writes the entry of a runner again.
func (r *Runner) Return() {
	r.Set(func(r *Runner) { r.quiet = false })
	r.beat()
	r.fleet.Record.Printf("the entry of runner %s is back", r.ID)
}

func (r *Runner) beat() {
	f := r.fleet
	f.mu.Lock()
	r.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": f.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "slots": 8, "state": r.state, "cold_left_ms": 0,
		"capacity": r.Room, "labels": r.Labels, "clock_ms": r.clock(time.Now()), "seq": r.seq, "born": r.born.UnixMilli(),
	})
	writes := r.up && !r.quiet
	f.mu.Unlock()
	if writes && !f.Store.isDown() {
		f.Store.Put("keyed.servers", r.ID, entry)
	}
}

func (r *Runner) clock(now time.Time) int64 { return now.Sub(r.born).Milliseconds() }

// Run drives the runners until done is closed.
func (f *Fleet) Run(done <-chan struct{}) {
	tick, beat := time.NewTicker(tickInterval), time.NewTicker(heartbeat)
	defer tick.Stop()
	defer beat.Stop()
	for {
		select {
		case <-done:
			return
		case <-beat.C:
			for _, r := range f.Runners {
				r.beat()
			}
		case now := <-tick.C:
			f.mu.Lock()
			f.advance(now)
			f.mu.Unlock()
		}
	}
}

// Close stops all runners.
func (f *Fleet) Close() {
	for _, r := range f.Runners {
		f.mu.Lock()
		up, srv := r.up, r.server
		f.mu.Unlock()
		if up && srv != nil {
			_ = srv.Close()
		}
	}
}

// advance lets all runs work until now. The caller holds f.mu.
func (f *Fleet) advance(now time.Time) {
	for _, r := range f.Runners {
		for _, a := range r.runs {
			f.advanceRun(r, a, now)
		}
	}
}

func (f *Fleet) advanceRun(r *Runner, a *activeRun, now time.Time) {
	passed := now.Sub(a.last)
	a.last = now
	switch {
	case now.After(r.until):
		r.end(a, "lapsed", now)
		return
	case !a.stopAt.IsZero() && now.After(a.stopAt):
		r.end(a, "stopped", now)
		return
	case !a.working && a.gangSize > 0 && now.Sub(a.At) > gangWait:
		r.end(a, "alone", now)
		return
	case a.working && a.fail && now.Sub(a.At) > 300*time.Millisecond:
		r.end(a, "failed", now)
		return
	}
	if a.working && passed > 0 {
		a.done += passed
	}
	if a.working && a.done >= a.work.Duration && !a.work.Lasts {
		r.end(a, "done", now)
	}
}

// end ends a run and lists its end; the other members of its gang end with it.
func (r *Runner) end(a *activeRun, how string, now time.Time) {
	if r.runs[a.Task] != a {
		return
	}
	delete(r.runs, a.Task)
	a.EndAt, a.How = now, how
	r.highest[a.Task] = max(r.highest[a.Task], a.Run)
	r.nextEnd++
	r.ends = append(r.ends, []any{r.nextEnd, a.Task, a.Run, how, a.checkpoint()})
	r.fleet.Record.Printf("runner %s: run %d of %s ends %s", r.ID, a.Run, a.Task, how)
	if a.gangSize == 0 {
		return
	}
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, o := range r.fleet.Runners {
		for _, b := range o.runs {
			if b.gangKey == a.gangKey && b.working {
				o.end(b, other, now)
			}
		}
	}
}

func (a *activeRun) checkpoint() string {
	if !a.work.Checkpoint || a.done < checkpointStep {
		return ""
	}
	return fmt.Sprintf("%016x", a.done.Truncate(checkpointStep).Milliseconds())
}

// handle wraps a call: it applies the faults and checks the incarnation.
func (r *Runner) handle(serve func(req *http.Request, body map[string]any) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var body map[string]any
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		f := r.fleet
		f.mu.Lock()
		silent, distance := r.silent, r.distance
		f.mu.Unlock()
		if silent {
			<-req.Context().Done()
			return
		}
		time.Sleep(distance)
		if want := req.Header.Get("Target-Instance"); want != "" && want != r.ID {
			writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		status, resp := serve(req, body)
		f.mu.Lock()
		resp["clock_ms"], resp["born"] = r.clock(time.Now()), r.born.UnixMilli()
		f.mu.Unlock()
		time.Sleep(distance)
		writeJSON(w, status, resp)
	}
}

func num(body map[string]any, key string) int64 {
	n, _ := body[key].(float64)
	return int64(n)
}

func text(body map[string]any, key string) string {
	s, _ := body[key].(string)
	return s
}

// extend moves the end of the lease to a time on the runner's clock. The caller holds the lock of the fleet.
func (r *Runner) extend(untilMS int64, now time.Time) {
	until := r.born.Add(time.Duration(untilMS) * time.Millisecond)
	if most := now.Add(maxHold); until.After(most) {
		until = most
	}
	if until.After(r.until) {
		r.until = until
	}
}

func (r *Runner) checkFence(body map[string]any) bool {
	fence := num(body, "fence")
	if fence < r.fence {
		return false
	}
	r.fence = fence
	return true
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *Runner) runStart(_ *http.Request, body map[string]any) (int, map[string]any) {
	f, now := r.fleet, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	task, run := text(body, "task"), num(body, "run")
	if !r.checkFence(body) {
		return refuse("fence")
	}
	f.advance(now)
	if a := r.runs[task]; a != nil && a.Run == run {
		return http.StatusOK, map[string]any{}
	}
	if run <= r.highest[task] {
		r.extend(num(body, "until_ms"), now)
		return refuse("old")
	}
	if num(body, "until_ms") <= r.clock(now) {
		return refuse("late")
	}
	spec := text(body, "task_spec")
	work, ok := f.Works[spec]
	if !ok {
		return http.StatusBadRequest, map[string]any{}
	}
	r.extend(num(body, "until_ms"), now)
	a := &activeRun{Start: &Start{Task: task, Run: run, Runner: r.ID, At: now}, work: work, last: now, fail: r.grey, gangSize: work.GangSize}
	if c := text(body, "checkpoint"); c != "" {
		var ms int64
		_, _ = fmt.Sscanf(c, "%x", &ms)
		a.done = time.Duration(ms) * time.Millisecond
	}
	f.starts = append(f.starts, a.Start)
	r.runs[task] = a
	f.Record.Printf("runner %s: run %d of %s starts (fence %d)", r.ID, run, task, num(body, "fence"))
	f.join(a, now)
	return http.StatusOK, map[string]any{}
}

// join starts the work of a run, or of its gang once all members are present. The caller holds f.mu.
func (f *Fleet) join(a *activeRun, now time.Time) {
	if a.gangSize == 0 {
		a.working = true
		return
	}
	a.gangKey = fmt.Sprintf("%s/%d", a.Task[:len(a.Task)-len(lastPart(a.Task))], a.Run)
	var members []*activeRun
	for _, r := range f.Runners {
		for _, b := range r.runs {
			if b.gangKey == a.gangKey {
				members = append(members, b)
			}
		}
	}
	if len(members) < a.gangSize {
		return
	}
	for _, b := range members {
		b.working, b.last = true, now
	}
}

func lastPart(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '.' {
			return task[i+1:]
		}
	}
	return task
}

func (r *Runner) runStop(_ *http.Request, body map[string]any) (int, map[string]any) {
	f, now := r.fleet, time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.checkFence(body) {
		return refuse("fence")
	}
	task, run := text(body, "task"), num(body, "run")
	r.highest[task] = max(r.highest[task], run)
	if a := r.runs[task]; a != nil && a.Run == run && a.stopAt.IsZero() {
		a.stopAt = now.Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (r *Runner) hold(req *http.Request, body map[string]any) (int, map[string]any) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !r.checkFence(body) {
		return refuse("fence")
	}
	f.advance(now)
	for len(r.ends) > 0 && r.ends[0][0].(int64) <= num(body, "ack_cursor") {
		r.ends = r.ends[1:]
	}
	if until := num(body, "until_ms"); until > 0 {
		r.extend(until, now)
	}
	deadline := now.Add(min(time.Duration(num(body, "wait_ms"))*time.Millisecond, maxHoldWait))
	for len(r.ends) == 0 && time.Now().Before(deadline) && req.Context().Err() == nil {
		f.mu.Unlock()
		time.Sleep(tickInterval)
		f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range r.runs {
		percent := int(min(wholePercent*a.done/max(a.work.Duration, 1), wholePercent))
		running = append(running, []any{a.Task, a.Run, a.checkpoint(), percent, a.work.Need.CPU})
	}
	ended = append(ended, r.ends[:min(len(r.ends), maxListedEnds)]...)
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// Starts returns a copy of all starts so far.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Start
	for _, s := range f.starts {
		out = append(out, *s)
	}
	return out
}

// Running returns how many runs are active, and how many runners are up, answer and fail nothing.
func (f *Fleet) Running() (runs, sound int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.Runners {
		runs += len(r.runs)
		if r.up && !r.grey && !r.silent {
			sound++
		}
	}
	return runs, sound
}

// running returns how many runs of a job are active, and how many runners are sound.
func (f *Fleet) running(job string) (runs, sound int) {
	_, sound = f.Running()
	for _, s := range f.Starts() {
		if s.EndAt.IsZero() && strings.HasPrefix(s.Task, job+".") {
			runs++
		}
	}
	return runs, sound
}

// empty returns how many runners have no run.
func (f *Fleet) empty() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.Runners {
		if len(r.runs) == 0 {
			n++
		}
	}
	return n
}
