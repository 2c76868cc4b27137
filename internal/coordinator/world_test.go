package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	testLease = 6 * time.Second
	testKeep  = 10 * time.Minute
)

// world is a deployment without a network: hosts, a log and workers, on the virtual time of synctest.
type world struct {
	t     *testing.T
	log   *log.Log
	fleet *worker.Fleet
	rng   *rand.Rand

	logs    logBuffer
	mu      sync.Mutex
	list    []model.Worker
	hosts   []*testHost
	workers map[model.HostID]worker.DirectFault // for all hosts
	logAll  log.DirectFault
}

// testHost is an entry host and what is wrong with it.
type testHost struct {
	w      *world
	id     model.HostID
	c      *Coordinator
	cancel context.CancelFunc

	mu    sync.Mutex
	log   log.DirectFault
	loose map[model.HostID]worker.DirectFault // between this host and a worker
}

func newWorld(t *testing.T, seed uint64, hosts, racks, perRack int) *world {
	w := &world{
		t: t, log: log.New(log.Options{AppendsPerSecond: 1000}), rng: rand.New(rand.NewPCG(seed, 1)),
		fleet:   worker.NewFleet(worker.Options{StopTime: 200 * time.Millisecond, GangWait: 3 * time.Second, MaxLease: 10 * time.Second}),
		workers: map[model.HostID]worker.DirectFault{},
	}
	capacity := model.Resources{Cores: 32000, MemoryMB: 131072, Accelerators: 8}
	for r := range racks {
		for i := range perRack {
			info := model.Worker{
				ID: model.HostID(fmt.Sprintf("w%d-%d", r, i)), Address: "-", Rack: model.RackID(fmt.Sprint("r", r)), Capacity: capacity,
				State: model.WorkerReady,
			}
			w.list = append(w.list, info)
			w.fleet.Add(info.ID, capacity, time.Now())
		}
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &testHost{w: w, id: model.HostID(fmt.Sprint("h", i))})
		w.hosts[i].start()
	}
	return w
}

// start starts a new process of the host.
func (h *testHost) start() {
	h.mu.Lock()
	h.loose = map[model.HostID]worker.DirectFault{}
	h.log = log.DirectOK
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	logger := hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: &h.w.logs}).With("host", h.id)
	h.c = New(Config{
		Host: h.id, Log: &log.Direct{Log: h.w.log, Name: "jobs", Fault: h.logFault},
		Workers:  &worker.Direct{Fleet: h.w.fleet, Fault: h.workerFault},
		Registry: h.w, Limits: func() dispatcher.Limits { return dispatcher.Limits{} },
		Logger: logger, Metrics: dispatcher.NewMetrics(), Asserter: &asserter.Asserter{Logger: logger},
		Lease: testLease, StopTimeout: 200 * time.Millisecond, JobRetention: testKeep,
	})
	go h.c.Run(ctx)
}

func (h *testHost) logFault() log.DirectFault {
	h.w.mu.Lock()
	all := h.w.logAll
	h.w.mu.Unlock()
	if all != log.DirectOK {
		return all
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log
}

func (h *testHost) workerFault(id model.HostID) worker.DirectFault {
	h.w.mu.Lock()
	all := h.w.workers[id]
	h.w.mu.Unlock()
	if all != worker.DirectOK {
		return all
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loose[id]
}

// Follow implements Registry.
func (w *world) Follow(ctx context.Context, update func([]model.Worker)) {
	for ctx.Err() == nil {
		w.mu.Lock()
		list := append([]model.Worker(nil), w.list...)
		w.mu.Unlock()
		update(list)
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
	}
}

// submit writes a job into the log as an entry host does.
func (w *world) submit(s *model.Submission) {
	w.t.Helper()
	r, err := journaler.NewSubmissionRecord(s)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.Append("jobs", []journaler.Record{r}, journaler.AppendCondition{}); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) cancelJob(id model.JobID) {
	w.t.Helper()
	r, err := journaler.NewCancellationRecord(id, "w")
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.Append("jobs", []journaler.Record{r}, journaler.AppendCondition{}); err != nil {
		w.t.Fatal(err)
	}
}

// job returns a job of one step.
func job(id string, priority model.Priority, run time.Duration, st model.Step) *model.Submission {
	st.EstimatedRunMS = model.Millis(run.Milliseconds())
	return &model.Submission{
		ID: model.JobID(id), Workspace: "w", Payload: fmt.Sprintf(`{"run-ms":%d}`, run.Milliseconds()), Steps: []model.Step{st},
		Queue: model.Queue{ID: "q", Priority: priority, MaxAttempts: 2, TargetStretch: 3, TargetOffsetMS: 1000},
	}
}

// state returns the state of a job as the log shows it.
func (w *world) state(id model.JobID) model.JobState {
	f := &journaler.Replica{}
	var all []journaler.Record
	after := ""
	for {
		p := w.log.Newest("jobs", after)
		all = append(all, p.Records...)
		if !p.HasMore {
			break
		}
		after = p.Records[len(p.Records)-1].Key
	}
	f.LoadSnapshot(all, 0)
	st, _, _ := f.JobState(id)
	return st
}

// leader returns the host that leads, or nil.
func (w *world) leader() *testHost {
	for _, h := range w.hosts {
		if h.c.IsLeader() {
			return h
		}
	}
	return nil
}

// awaitLeader waits until a host leads.
func (w *world) awaitLeader() *testHost {
	w.t.Helper()
	for range 200 {
		if l := w.leader(); l != nil {
			return l
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatal("no host leads")
	return nil
}

// awaitEnd waits until all jobs have ended and returns how long that took.
func (w *world) awaitEnd(bound time.Duration, ids ...model.JobID) time.Duration {
	w.t.Helper()
	begun := time.Now()
	for _, id := range ids {
		for !w.state(id).IsFinal() {
			if time.Since(begun) > bound {
				w.t.Fatalf("job %s is %s after %s", id, w.state(id), bound)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(begun)
}

// check fails the test for everything that the workers should never have seen.
func (w *world) check() {
	w.t.Helper()
	for _, f := range w.fleet.Report().Faults {
		w.t.Error(f)
	}
}

// logBuffer keeps the logs of all hosts.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// close stops all hosts and, after a failure, shows their logs if asked to.
func (w *world) close() {
	if w.t.Failed() && *showLogs {
		w.logs.mu.Lock()
		_, _ = os.Stderr.Write(w.logs.buf.Bytes())
		w.logs.mu.Unlock()
	}
	for _, h := range w.hosts {
		h.cancel()
	}
	time.Sleep(5 * time.Second) // calls in flight end by themselves
}
