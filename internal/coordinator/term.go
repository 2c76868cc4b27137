package coordinator

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// ownTerm is a term in which this host is the leader.
type ownTerm struct {
	fence      model.FencingToken
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	done       chan struct{} // closed when the term has ended
}

// handleTerm ends this host's term when another term replaces it, and starts a term that this process has won.
func (c *Coordinator) handleTerm(t journaler.Term, offset model.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endSupersededTermLocked(t)
	if t.Resigned && t.ResignReason == journaler.ResignedForMemory {
		c.memory.guard.RecordResignation(time.Now())
	}
	if t.Nonce != c.nonce || t.Resigned || c.ownTerm != nil || c.resigned || t.Fence <= c.lastFence {
		return
	}
	c.lastFence = t.Fence
	c.startTermLocked(t, offset)
}

// endSupersededTermLocked ends this host's term if t is a later one. The caller holds c.mu.
func (c *Coordinator) endSupersededTermLocked(t journaler.Term) {
	if c.ownTerm == nil || t.Fence <= c.ownTerm.fence {
		return
	}
	c.cfg.Logger.Warn("another host has become the leader", "fence", t.Fence, "host", t.Host, "own", c.ownTerm.fence)
	c.ownTerm.cancel()
	c.ownTerm = nil
}

// startTermLocked starts a term of this host. The caller holds c.mu.
func (c *Coordinator) startTermLocked(t journaler.Term, offset model.Offset) {
	ctx, cancel := context.WithCancel(context.Background())
	electedAt, ok := c.candidacies[t.FirstSeq]
	if !ok {
		electedAt = time.Unix(0, 0) // too long ago to rely on before the log confirms an append
	}
	d := &dispatcher.Dispatcher{
		Term: t, TermOffset: offset, ElectedAt: electedAt, Log: c.cfg.Log, Workers: &recoveringClient{client: c.cfg.Workers, recoverer: c.cfg.Recoverer}, Logger: c.cfg.Logger.With("fence", t.Fence), Metrics: c.cfg.Metrics, Recoverer: c.cfg.Recoverer,
		LeaseDuration: c.cfg.LeaseDuration, MaxLease: c.cfg.MaxLease, LinkRate: c.cfg.LinkRate, Throttler: c.throttler, LearnRunTimes: c.cfg.LearnRunTimes, JobRetention: c.cfg.JobRetention, LookupJob: c.replica.Job, OldOrphans: c.replica.OldOrphans, Evacuator: c.cfg.Evacuator, OnViolation: c.cfg.Asserter.RecordViolation,
	}
	d.Init()
	own := &ownTerm{fence: t.Fence, dispatcher: d, cancel: cancel, done: make(chan struct{})}
	c.ownTerm = own
	jobs, fleet := c.replica.Jobs(), c.replica.Fleet()
	go c.runTerm(ctx, own, jobs, fleet)
}

// runTerm runs a term until it ends. It waits for the first list of workers and then runs the dispatcher, which receives all
// later lists.
func (c *Coordinator) runTerm(ctx context.Context, own *ownTerm, jobs []journaler.Job, fleet []journaler.FleetWorker) {
	defer close(own.done)
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	firstList := make(chan []model.Worker, 1)
	panicked := false
	started := false
	refresh := make(chan struct{}, 1)
	own.dispatcher.RefreshWorkers = func() {
		select {
		case refresh <- struct{}{}:
		default: // a read is due already
		}
	}
	go c.cfg.Registry.Follow(ctx, refresh, func(workers []model.Worker) {
		if !started {
			started = true
			firstList <- workers
			return
		}
		own.dispatcher.UpdateWorkers(workers)
	})
	select {
	case workers := <-firstList:
		own.dispatcher.SetEntitlements(c.cfg.Entitlements())
		err := c.cfg.Recoverer.Call("dispatcher", func() error { return own.dispatcher.Run(ctx, jobs, fleet, workers) })
		panicked = errors.Is(err, recoverer.ErrPanic)
		c.cfg.Logger.Info("dispatcher stopped", "fence", own.fence, "reason", err)
	case <-ctx.Done():
	}
	own.cancel()
	c.mu.Lock()
	if c.ownTerm == own {
		c.ownTerm = nil
		c.elector.ResetTimeout(time.Now())
	}
	if panicked {
		c.elector.Pause(time.Now().Add(panicPause))
	}
	c.mu.Unlock()
	c.wake()
}

// ApplyEntitlements passes the guarantees and quotas of the current configuration to the dispatcher, if this host is the leader.
func (c *Coordinator) ApplyEntitlements() {
	c.mu.Lock()
	own := c.ownTerm
	c.mu.Unlock()
	if own != nil {
		own.dispatcher.SetEntitlements(c.cfg.Entitlements())
	}
}

// UpdateEvacuations notifies the dispatcher that the requests to evacuate failure domains have changed, if this host is the leader.
func (c *Coordinator) UpdateEvacuations() {
	c.mu.Lock()
	own := c.ownTerm
	c.mu.Unlock()
	if own != nil {
		own.dispatcher.UpdateEvacuations()
	}
}

// WorkerStatuses returns the status of each worker while this host is the leader, and nil otherwise.
func (c *Coordinator) WorkerStatuses(ctx context.Context) []model.WorkerStatus {
	c.mu.Lock()
	own := c.ownTerm
	c.mu.Unlock()
	if own == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return own.dispatcher.WorkerStatuses(ctx)
}

// RunTimeStatuses returns what this host has learned of the run times of tasks while it is the leader, and nil otherwise.
func (c *Coordinator) RunTimeStatuses(ctx context.Context) []model.RunTimeStatus {
	d := c.ownDispatcher()
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return d.RunTimeStatuses(ctx)
}

// JobForecast returns what is expected of a job while this host is the leader and learns run times, and nil otherwise.
func (c *Coordinator) JobForecast(ctx context.Context, id model.JobID) *model.JobForecast {
	d := c.ownDispatcher()
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	return d.JobForecast(ctx, id)
}

// ownDispatcher returns the dispatcher of this host's term, and nil while another host is the leader.
func (c *Coordinator) ownDispatcher() *dispatcher.Dispatcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownTerm == nil {
		return nil
	}
	return c.ownTerm.dispatcher
}

// IsLeader reports whether this host is the leader.
func (c *Coordinator) IsLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownTerm != nil
}
