package coordinator

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// leaderSilence is how long a leader may write nothing: three renewals of 350 ms, and a slow log.
	leaderSilence = 1200 * time.Millisecond
	// handicapPerRoundTrip delays hosts far from the log, so that one near it leads.
	handicapPerRoundTrip = 4
	// handicapJitter keeps hosts at the same distance apart.
	handicapJitter = 40 * time.Millisecond
	// standTimeout bounds the append by which a host stands.
	standTimeout = 800 * time.Millisecond
	// lostPause is the pause after a lost election.
	lostPause = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for the fold to reach the end of the log.
	catchUpTimeout = time.Second
	// leaderGCPercent is how far the heap of a leader grows between collections, in percent of what is in use; a leader
	// allocates much more than it keeps. The memory limit of the process still holds.
	leaderGCPercent = 400
	// seqRange is the range of the random number of a term's first append.
	seqRange = 1 << 40
)

// Registry follows the platform's list of workers.
type Registry interface {
	// Follow calls update with each new list until the context ends.
	Follow(ctx context.Context, update func([]model.Worker))
}

// Config holds what the coordinator needs.
type Config struct {
	Host          model.HostID
	Log           journaler.Log
	Workers       dispatcher.WorkerClient
	Registry      Registry
	DirectLogDown func() bool              // reports whether the log is reached through peers only; may be nil
	Limits        func() dispatcher.Limits // of the configuration in force
	Logger        hclog.Logger
	Asserter      *asserter.Asserter
	Metrics       *dispatcher.Metrics
	Lease         time.Duration // of runs
	StopTimeout   time.Duration // that a worker may take to stop a run
	JobRetention  time.Duration // that the state of an ended job is kept
}

// Coordinator is one host's part in the election and, while it leads, its dispatcher.
type Coordinator struct {
	cfg      Config
	fold     *journaler.Replica
	follower *journaler.Follower
	nonce    string

	mu        sync.Mutex
	elector   elector.Elector
	reachable bool
	loaded    bool
	leading   *lead
	lastFence model.FencingToken // of the last term of this host; a term that ended early is not begun again
	resigned  bool
	poke      chan struct{} // something changed
	advanced  chan struct{} // closed and replaced when the fold advances
}

// lead is a term of this host.
type lead struct {
	fence  model.FencingToken
	d      *dispatcher.Dispatcher
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a coordinator that does nothing before Run.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg: cfg, fold: &journaler.Replica{Logger: cfg.Logger}, nonce: newNonce(),
		poke: make(chan struct{}, 1), advanced: make(chan struct{}),
	}
	c.elector.ElectionTimeout = leaderSilence
	c.follower = &journaler.Follower{
		Log: cfg.Log, Replica: c.fold, Logger: cfg.Logger, MinReadInterval: c.readGap,
		OnChange: c.changed, OnReadResult: c.contact, OnSnapshotLoaded: c.onLoad,
	}
	return c
}

func newNonce() string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	b := make([]byte, 12)
	for i := range b {
		b[i] = digits[rand.IntN(len(digits))]
	}
	return string(b)
}

// Replica returns the state of all jobs.
func (c *Coordinator) Replica() *journaler.Replica { return c.fold }

// Loaded reports whether the state of all jobs has been read once.
func (c *Coordinator) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// LogReachable reports whether the last call to the log succeeded.
func (c *Coordinator) LogReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable && c.loaded
}

// AwaitLog reports whether the log can be reached, and waits at most that long until it can.
func (c *Coordinator) AwaitLog(ctx context.Context, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !c.LogReachable() {
		c.mu.Lock()
		wait := c.advanced
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return c.LogReachable()
		}
	}
	return true
}

// CatchUp returns once the fold holds everything that was in the log when it was called.
func (c *Coordinator) CatchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := c.cfg.Log.Read(ctx, c.fold.NextOffset(), 0)
	var trimmed *journaler.TrimmedError
	if err != nil && !errors.As(err, &trimmed) {
		return errors.Wrap(err, "coordinator: reading the end of the log")
	}
	for {
		c.mu.Lock()
		wait := c.advanced
		c.mu.Unlock()
		if trimmed == nil && c.fold.NextOffset() >= b.EndOffset {
			return nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "coordinator: the jobs are not up to date")
		}
	}
}

func (c *Coordinator) contact(ok bool) {
	c.mu.Lock()
	c.reachable = ok
	now := time.Now()
	c.elector.ReportLogCall(ok, now)
	c.observe(now)
	close(c.advanced)
	c.advanced = make(chan struct{})
	c.mu.Unlock()
	c.wake()
}

const (
	// leaderGap is the least time between reads of the leader, which acts on new records.
	leaderGap = 15 * time.Millisecond
	// gapPerHost is what each known entry host adds to that time on the others: each record wakes all of them, and the
	// log bears a number of reads for the whole deployment.
	gapPerHost = 6 * time.Millisecond
	// maxGap bounds how late other hosts see a record.
	maxGap = 300 * time.Millisecond
)

// readGap returns the least time between two reads of the log.
func (c *Coordinator) readGap() time.Duration {
	if c.IsLeader() {
		return leaderGap
	}
	return min(leaderGap+gapPerHost*time.Duration(len(c.fold.HostAddresses())), maxGap)
}

// observe tells the elector what the log shows; the caller holds the lock.
func (c *Coordinator) observe(now time.Time) {
	t, seen := c.fold.Term()
	// A term of this host's former life ended with that process.
	formerLife := t.Host == c.cfg.Host && t.Nonce != c.nonce
	c.elector.ObserveLeader(seen, t.Fence == 0 || t.Resigned || formerLife, now)
}

func (c *Coordinator) wake() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}

func (c *Coordinator) onLoad() {
	c.mu.Lock()
	c.loaded = true
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return
	}
	for _, j := range c.fold.Jobs() {
		l.d.UpdateJob(j)
	}
}

func (c *Coordinator) changed(ch journaler.Change) {
	if ch.Term != nil {
		c.onTerm(*ch.Term, ch.Offset)
		return
	}
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return
	}
	if j, ok := c.fold.Job(ch.JobID); ok {
		l.d.UpdateJob(j)
	}
}

// onTerm begins or ends this host's lead by what the log says.
func (c *Coordinator) onTerm(t journaler.Term, at model.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leading != nil && t.Fence > c.leading.fence {
		c.cfg.Logger.Warn("another host leads", "fence", t.Fence, "host", t.Host, "own", c.leading.fence)
		c.leading.cancel()
		c.leading = nil
	}
	if t.Nonce != c.nonce || t.Resigned || c.leading != nil || c.resigned || t.Fence <= c.lastFence {
		return
	}
	c.lastFence = t.Fence
	c.begin(t, at)
}

// begin starts the dispatcher of a term; the caller holds the lock.
func (c *Coordinator) begin(t journaler.Term, at model.Offset) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dispatcher.Dispatcher{
		Term: t, TermOffset: at, Log: c.cfg.Log, Workers: c.cfg.Workers, Logger: c.cfg.Logger.With("fence", t.Fence), Metrics: c.cfg.Metrics,
		LeaseDuration: c.cfg.Lease, StopTimeout: c.cfg.StopTimeout, JobRetention: c.cfg.JobRetention, LookupJob: c.fold.Job, OnViolation: c.cfg.Asserter.RecordViolation,
	}
	d.Init()
	l := &lead{fence: t.Fence, d: d, cancel: cancel, done: make(chan struct{})}
	c.leading = l
	jobs, fleet := c.fold.Jobs(), c.fold.Fleet()
	go c.serve(ctx, l, jobs, fleet)
}

// serve runs a term: the first list of workers starts the dispatcher, later ones are handed to it.
func (c *Coordinator) serve(ctx context.Context, l *lead, jobs []journaler.Job, fleet []journaler.FleetWorker) {
	defer close(l.done)
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	first := make(chan []model.Worker, 1)
	started := false
	go c.cfg.Registry.Follow(ctx, func(ws []model.Worker) {
		if !started {
			started = true
			first <- ws
			return
		}
		l.d.UpdateWorkers(ws)
	})
	select {
	case ws := <-first:
		l.d.SetLimits(c.cfg.Limits())
		err := l.d.Run(ctx, jobs, fleet, ws)
		c.cfg.Logger.Info("dispatcher stopped", "fence", l.fence, "reason", err)
	case <-ctx.Done():
	}
	l.cancel()
	c.mu.Lock()
	if c.leading == l {
		c.leading = nil
		c.elector.ResetTimeout(time.Now())
	}
	c.mu.Unlock()
	c.wake()
}

// ApplyLimits hands new limits of the configuration to the dispatcher.
func (c *Coordinator) ApplyLimits() {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l != nil {
		l.d.SetLimits(c.cfg.Limits())
	}
}

// WorkerStatuses returns the workers as this host sees them while it leads.
func (c *Coordinator) WorkerStatuses(ctx context.Context) []model.WorkerStatus {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return l.d.WorkerStatuses(ctx)
}

// IsLeader reports whether this host leads.
func (c *Coordinator) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading != nil
}

// Run follows the log and takes part in elections until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.measure(ctx)
	go c.follower.Run(ctx)
	for ctx.Err() == nil {
		c.awaitTurn(ctx)
		if ctx.Err() == nil && c.mayStand() {
			c.stand(ctx)
		}
	}
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l != nil {
		l.cancel()
	}
}
