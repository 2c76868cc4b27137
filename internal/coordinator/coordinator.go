package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/elector"
	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/internal/pacer"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/internal/throttler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// electionTimeout is how long a leader may write nothing before other hosts start an election. It allows for three renewals
	// of the term, which are 350 ms apart, and a slow log.
	electionTimeout = leaselimiter.MinElectionTimeout
	// electionDelayPerRoundTrip is the number of round trips to the log by which a host delays an election. Hosts far from the
	// log wait longer, so that one near it becomes leader.
	electionDelayPerRoundTrip = 4
	// roundTripRepeats is the number of further measurements of the round-trip time, roundTripInterval or up to twice as much apart.
	roundTripRepeats  = 2
	roundTripInterval = 150 * time.Millisecond
	// leaderProcessors is the number of processors from which a host is as good a leader as any, and maxProcessorDelay the election
	// delay of one with none. It is longer than the delay of a host in another region.
	leaderProcessors  = 0.4
	maxProcessorDelay = 600 * time.Millisecond
	// leaderLinkRate is the rate of a link from which a host is as good a leader as any, and maxLinkDelay the election delay of one
	// with the slowest link. It is longer than the delay of a host in another region.
	leaderLinkRate pacer.BytesPerSecond = 12_500_000
	maxLinkDelay                        = 600 * time.Millisecond
	// electionDelayJitter is the range of a random delay, so that hosts with the same round-trip time don't start elections
	// together.
	electionDelayJitter = 40 * time.Millisecond
	// termAppendTimeout bounds the append of a candidate's term.
	termAppendTimeout = 800 * time.Millisecond
	// candidacyRetention is longer than the log may take to carry out an append.
	candidacyRetention = time.Minute
	// lostElectionDelay extends the election timeout of a candidate after its attempt, in case another host has won.
	lostElectionDelay = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for the replica to reach the end of the log, and also a query of the worker statuses and
	// the measurement of the round-trip time.
	catchUpTimeout = time.Second
	// leaderGCPercent is the GOGC value of a leader, which allocates much more memory than it retains. The memory limit of the
	// process still applies.
	leaderGCPercent = 400
	// panicPause is the time for which a host starts no election after its dispatcher has panicked, so that another host leads
	// meanwhile.
	panicPause = 5 * time.Second
	// firstSeqRange is the range of the random sequence number of a term's first append; see journaler.Term.
	firstSeqRange = 1 << 40
)

// Registry provides the platform's list of workers.
type Registry interface {
	// Follow calls update with the current list and with each new one until the context ends. It reads the list soon after a receive from
	// refresh, which may be nil, and otherwise at intervals.
	Follow(ctx context.Context, refresh <-chan struct{}, update func([]model.Worker))
}

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Host          model.HostID
	Log           journaler.Log
	Workers       dispatcher.WorkerClient
	Registry      Registry
	DirectLogDown func() bool                    // reports whether the direct connection to the log is down; may be nil
	LogReaders    func(hosts int) int            // returns how many of the known hosts read the log in the same way as this host; nil means all
	Entitlements  func() dispatcher.Entitlements // returns the guarantees and quotas of the current configuration
	Evacuator     *evacuator.Evacuator           // says in which failure domains nothing is started; nil means none
	Logger        hclog.Logger
	Asserter      *asserter.Asserter
	Recoverer     *recoverer.Recoverer // handles panics; may be nil
	Metrics       *dispatcher.Metrics
	LinkRate      pacer.BytesPerSecond     // rate of this host's link; 0 means unknown
	Processors    float64                  // number of processors that the host can use; 0 means unknown
	MemoryLimit   model.Megabytes          // memory limit of the process; 0 means unknown
	ReadMemory    func() elector.MemoryUse // returns what the process uses of its memory; nil means that a leader doesn't resign for it
	LeaseDuration time.Duration            // duration of a worker lease
	MaxLease      time.Duration            // longest lease that a worker grants; 0 means LeaseDuration
	LearnRunTimes bool                     // expect the run times of finished runs instead of the callers' estimates
	JobRetention  time.Duration            // time for which the records of an ended job stay in the log
}

// Coordinator takes part in leader elections for one host and runs the dispatcher while the host is the leader.
type Coordinator struct {
	cfg      Config
	replica  *journaler.Replica
	follower *journaler.Follower
	nonce    string // random ID of this process

	mu           sync.Mutex
	elector      elector.Elector
	logReachable bool                // whether the follower's last call to the log succeeded
	logDownSince time.Time           // time of the first failed call in a row, or of the start
	loaded       bool                // whether a snapshot has been loaded
	ownTerm      *ownTerm            // nil while this host is not the leader
	candidacies  map[int64]time.Time // when recent terms of this host were sent to the log, by Term.FirstSeq
	lastFence    model.FencingToken  // fencing token of this host's last term, which must not be started again after it has ended
	resigned     bool                // whether Resign was called
	networkDelay time.Duration       // part of the election delay that follows from the round trip; 0 before it is measured
	memory       memoryState
	throttler    *throttler.Throttler // bounds the memory of start requests
	wakeup       chan struct{}        // signals Run that the election state may have changed
	readDone     chan struct{}        // closed and replaced after each call of the follower to the log
}

// New returns a coordinator that is inactive until Run.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg: cfg, replica: &journaler.Replica{Logger: cfg.Logger, Recoverer: cfg.Recoverer}, nonce: newNonce(),
		candidacies: map[int64]time.Time{}, wakeup: make(chan struct{}, 1), readDone: make(chan struct{}), logDownSince: time.Now(),
	}
	c.throttler = throttler.New(cfg.MemoryLimit)
	c.elector.ElectionTimeout = electionTimeout
	c.follower = &journaler.Follower{
		Log: cfg.Log, Replica: c.replica, Logger: cfg.Logger, MinReadInterval: c.readInterval,
		OnChange: c.handleChange, OnReadResult: c.handleReadResult, OnSnapshotLoaded: c.handleSnapshotLoaded,
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

// Replica returns this host's replica of the state in the log.
func (c *Coordinator) Replica() *journaler.Replica { return c.replica }

// Loaded reports whether the replica has loaded a snapshot of the log.
func (c *Coordinator) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// LogReachable reports whether the replica has loaded a snapshot and the follower's last call to the log succeeded.
func (c *Coordinator) LogReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logReachable && c.loaded
}

// LogDownSince returns when the log was found to be unreachable; it is zero while LogReachable.
func (c *Coordinator) LogDownSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.logReachable && c.loaded {
		return time.Time{}
	}
	return c.logDownSince
}

// AwaitLog waits up to timeout until the log can be reached, and reports whether it can be.
func (c *Coordinator) AwaitLog(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !c.LogReachable() {
		c.mu.Lock()
		readDone := c.readDone
		c.mu.Unlock()
		select {
		case <-readDone:
		case <-ctx.Done():
			return c.LogReachable()
		}
	}
	return true
}

// AwaitJob waits until the replica has a job.
func (c *Coordinator) AwaitJob(ctx context.Context, id model.JobID) error {
	for {
		c.mu.Lock()
		readDone := c.readDone
		c.mu.Unlock()
		if _, _, ok := c.replica.JobState(id); ok {
			return nil
		}
		select {
		case <-readDone:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "coordinator: the job has not been read from the log")
		}
	}
}

// CatchUp waits until the replica has applied all records that were in the log when CatchUp was called.
func (c *Coordinator) CatchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	b, err := c.cfg.Log.Read(ctx, c.replica.NextOffset(), 0)
	var trimmed *journaler.TrimmedError
	if err != nil && !errors.As(err, &trimmed) {
		return errors.Wrap(err, "coordinator: reading the end of the log")
	}
	for {
		c.mu.Lock()
		readDone := c.readDone
		c.mu.Unlock()
		if trimmed == nil && c.replica.NextOffset() >= b.EndOffset {
			return nil
		}
		select {
		case <-readDone:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "coordinator: the jobs are not up to date")
		}
	}
}

// handleReadResult updates the elector after a call to the log and wakes all goroutines that wait for the call.
func (c *Coordinator) handleReadResult(ok bool) {
	c.mu.Lock()
	now := time.Now()
	if !ok && c.logReachable {
		c.logDownSince = now
	}
	c.logReachable = ok
	c.elector.RecordLogCall(ok, now)
	c.updateElectorLocked(now)
	close(c.readDone)
	c.readDone = make(chan struct{})
	c.mu.Unlock()
	c.wake()
}

const (
	// leaderReadInterval is the minimum time between reads by the leader, which acts on new records.
	leaderReadInterval = 15 * time.Millisecond
	// readIntervalPerHost is added to leaderReadInterval on all other hosts, once for each host that reads in the same way. Each
	// record wakes all of them, and the log can serve a limited number of reads for the whole deployment.
	readIntervalPerHost = 6 * time.Millisecond
	// maxReadInterval is the longest interval on hosts other than the leader, which bounds the delay until they see a record.
	maxReadInterval = 150 * time.Millisecond
)

// readInterval returns the minimum time between the starts of two reads of the log.
func (c *Coordinator) readInterval() time.Duration {
	if c.IsLeader() {
		return leaderReadInterval
	}
	readers := len(c.replica.HostAddresses())
	if c.cfg.LogReaders != nil {
		readers = c.cfg.LogReaders(readers)
	}
	return min(leaderReadInterval+readIntervalPerHost*time.Duration(readers), maxReadInterval)
}

// updateElectorLocked passes the state of the newest term in the log to the elector. The caller holds c.mu.
func (c *Coordinator) updateElectorLocked(now time.Time) {
	t, leaderRecords := c.replica.Term()
	// The term of an earlier process of this host ended with that process.
	fromEarlierProcess := t.Host == c.cfg.Host && t.Nonce != c.nonce
	c.elector.ElectionDelay = c.electionDelayLocked(now)
	c.elector.RecordLeader(leaderRecords, t.Fence == 0 || t.Resigned || fromEarlierProcess, now)
}

// wake makes Run check the election state again.
func (c *Coordinator) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// handleSnapshotLoaded passes all jobs to the dispatcher of this host's term, unless the snapshot shows that the term has ended.
func (c *Coordinator) handleSnapshotLoaded() {
	t, _ := c.replica.Term()
	c.mu.Lock()
	c.loaded = true
	c.endSupersededTermLocked(t)
	own := c.ownTerm
	c.mu.Unlock()
	if own == nil {
		return
	}
	for _, j := range c.replica.Jobs() {
		own.dispatcher.UpdateJob(j)
	}
}

// handleChange starts or ends a term, or passes the changed job to the dispatcher.
func (c *Coordinator) handleChange(ch journaler.Change) {
	if ch.Term != nil {
		c.handleTerm(*ch.Term, ch.Offset)
		return
	}
	c.mu.Lock()
	own := c.ownTerm
	c.mu.Unlock()
	if own == nil {
		return
	}
	if j, ok := c.replica.Job(ch.JobID); ok {
		own.dispatcher.UpdateJob(j)
	}
}

// Run follows the log and takes part in elections until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	c.measureLogRoundTrip(ctx)
	go c.repeatRoundTripMeasurement(ctx)
	go c.watchMemory(ctx)
	go c.follower.Run(ctx)
	for ctx.Err() == nil {
		c.awaitElection(ctx)
		if ctx.Err() == nil && c.canStartElection() {
			c.startElection(ctx)
		}
	}
	c.mu.Lock()
	own := c.ownTerm
	c.mu.Unlock()
	if own != nil {
		own.cancel()
	}
}
