package peerlog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// probeInterval is the time between probes of the direct connection while it is down. Submissions that are held wait for it once
	// the log is back.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * time.Millisecond
	// directAppendTimeout bounds a direct append before it is sent through a peer; it allows for a slow log.
	directAppendTimeout = 900 * time.Millisecond
	// hedgeDelay is the age of a direct append without a response from which it is also sent through a peer. It is above the delay of
	// a slow log, and leaves most of a caller's time to a host whose direct connection has gone silent.
	hedgeDelay = 400 * time.Millisecond
	// hedgePause is how long no append is sent twice after the log was slow and not the direct connection silent.
	hedgePause = 5 * time.Second
)

// FallbackLog is a log that is read through a relay and written directly, or reached through a peer while the direct connection
// is down.
type FallbackLog struct {
	Direct journaler.Log
	Peers  *Peers
	Name   string // name of the log in calls to peers
	Logger hclog.Logger
	// Metrics counts the reads; nil counts nothing.
	Metrics *Metrics
	// Relays returns the addresses of the hosts through which this host can read the log, see RelayCandidates; nil means none.
	Relays func() []string
	// Neighbours returns the addresses of the other hosts of the failure domain, from which this host loads the newest records when
	// it starts; nil means none.
	Neighbours func() []string
	// ReadsDirectly reports whether this host reads the log itself even if it has relays; nil means false.
	ReadsDirectly func() bool

	tail     tail     // latest records that this host has read
	snapshot snapshot // newest record of each key, as far as this host has read

	mu           sync.Mutex
	directDown   bool
	throughRelay bool                             // the last long poll was served by a relay
	relayRetryAt map[string]time.Time             // by address, for relays that could not serve a read
	groupReads   map[*context.CancelFunc]struct{} // of the reads that readForGroup serves
	// goodNeighbour is the address of the neighbour that served the last page of newest records; empty if none did.
	goodNeighbour string
	hedgeAfter    time.Time // no append is sent twice before this time
}

// ThroughRelay reports whether a relay served the last long poll.
func (f *FallbackLog) ThroughRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.throughRelay
}

// DirectDown reports whether the direct connection is down.
func (f *FallbackLog) DirectDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directDown
}

// markDirectDown records that a direct call failed and starts to probe the direct connection in the background.
func (f *FallbackLog) markDirectDown(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directDown {
		return
	}
	f.directDown = true
	f.endGroupReads()
	f.Logger.Warn("connection lost", "dependency", "direct connection to the log "+f.Name, "error", err)
	go f.probe()
}

// probe calls the log over the direct connection until that works again.
func (f *FallbackLog) probe() {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := f.Direct.ReadNewest(ctx, journaler.KeyAfterAll)
		cancel()
		if err == nil {
			break
		}
	}
	f.mu.Lock()
	f.directDown = false
	f.mu.Unlock()
	f.Logger.Info("connection restored", "dependency", "direct connection to the log "+f.Name)
}

// isLogResponse reports whether the log was reached: err is nil or an error that only the log itself returns.
func isLogResponse(err error) bool {
	var mismatch *journaler.OffsetMismatchError
	var seq *journaler.SequenceError
	var trimmed *journaler.TrimmedError
	return err == nil || errors.Is(err, journaler.ErrFenced) || errors.As(err, &mismatch) || errors.As(err, &seq) || errors.As(err, &trimmed)
}

// Append implements journaler.Log.
//
// An append that got no response over the direct connection is retried through a peer. Callers ensure that their records can
// be appended twice.
func (f *FallbackLog) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	if f.DirectDown() {
		return f.appendThroughPeer(ctx, records, c)
	}
	if c == (journaler.AppendCondition{}) {
		return f.appendHedged(ctx, records)
	}
	off, err := f.appendDirectly(ctx, records, c)
	if isLogResponse(err) {
		return off, err
	}
	maybeAppended := !errors.Is(err, journaler.ErrNotAppended)
	if maybeAppended && c.ExpectedEnd != nil && c.Writer == nil {
		return 0, err // a retry could not determine whether the first append or another record has moved the end of the log
	}
	off, err = f.appendThroughPeer(ctx, records, c)
	return off, markMaybeAppended(err, maybeAppended)
}

// appendDirectly appends over the direct connection, which counts as down if that fails.
func (f *FallbackLog) appendDirectly(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, directAppendTimeout)
	defer cancel()
	off, err := f.Direct.Append(ctx, records, c)
	if !isLogResponse(err) {
		f.markDirectDown(err)
	}
	return off, err
}

func (f *FallbackLog) appendThroughPeer(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	return (&remoteLog{peers: f.Peers, name: f.Name}).append(ctx, records, c)
}

// markMaybeAppended returns the error of a retry, or that the outcome is unknown if only the retry is known to have had no effect.
func markMaybeAppended(err error, maybeAppended bool) error {
	if maybeAppended && errors.Is(err, journaler.ErrNotAppended) {
		return errors.Mark(errors.Newf("peerlog: the direct append got no response, and its retry failed: %v", err), journaler.ErrOutcomeUnknown)
	}
	return err
}

// appendResult is the outcome of one way of an append.
type appendResult struct {
	offset model.Offset
	err    error
}

// appendHedged appends without a condition, over the direct connection and, when that fails or is silent for hedgeDelay, through a peer.
func (f *FallbackLog) appendHedged(ctx context.Context, records []journaler.Record) (model.Offset, error) {
	direct, peer := make(chan appendResult, 1), make(chan appendResult, 1)
	go func() { // it outlives the call, to learn whether the direct connection is down
		off, err := f.appendDirectly(context.WithoutCancel(ctx), records, journaler.AppendCondition{})
		direct <- appendResult{off, err}
	}()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	var failure error // of the way that has failed
	pending, hedged := 1, false
	sendThroughPeer := func() {
		pending, hedged = pending+1, true
		go func() {
			off, err := f.appendThroughPeer(ctx, records, journaler.AppendCondition{})
			peer <- appendResult{off, err}
		}()
	}
	for pending > 0 {
		var r appendResult
		select {
		case r = <-direct:
			f.recordHedge(hedged && isLogResponse(r.err))
		case r = <-peer:
			if pending > 1 && isLogResponse(r.err) {
				f.markDirectDown(errors.New("peerlog: no response, while a peer got one"))
			}
		case <-hedge.C:
			if !hedged && f.mayHedge() {
				sendThroughPeer()
			}
			continue
		case <-ctx.Done():
			return 0, errors.Mark(ctx.Err(), journaler.ErrOutcomeUnknown)
		}
		pending--
		if isLogResponse(r.err) {
			return r.offset, r.err
		}
		if failure == nil || errors.Is(failure, journaler.ErrNotAppended) {
			failure = r.err
		}
		if !hedged {
			sendThroughPeer()
		}
	}
	return 0, failure
}

// mayHedge reports whether a slow append may be sent through a peer too.
func (f *FallbackLog) mayHedge() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.hedgeAfter)
}

// recordHedge records that the direct connection has responded to an append that was sent through a peer too, so that the log is slow.
func (f *FallbackLog) recordHedge(slow bool) {
	if !slow {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hedgeAfter = time.Now().Add(hedgePause)
}

// Read implements journaler.Log. A read that waits for records may be served by a relay and may then miss the records of the
// last second; a read that does not wait returns what is in the log.
func (f *FallbackLog) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	b, err := f.read(ctx, from, wait)
	if err == nil {
		f.tail.add(from, b)
		f.snapshot.addRecords(from, b)
	}
	return b, err
}

func (f *FallbackLog) read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if wait > 0 {
		b, ok := f.readThroughRelay(ctx, from, wait)
		if ok {
			return b, nil
		}
		wait = remainingWait(ctx, wait)
	}
	if !f.DirectDown() {
		return f.readDirectly(ctx, from, wait)
	}
	start := time.Now()
	b, err := (&remoteLog{peers: f.Peers, name: f.Name}).read(ctx, from, wait)
	f.Metrics.countRead(f.Name, sourcePeer, b.Records, time.Since(start), err)
	return b, err
}

// readDirectly reads over the direct connection. After a failure, the caller retries and the retry goes to a peer.
func (f *FallbackLog) readDirectly(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	start := time.Now()
	b, err := readConfirmed(watchdog.Observe(ctx, f.tail.markReceiving), f.Direct, from, wait)
	f.Metrics.countRead(f.Name, sourceDirect, b.Records, time.Since(start), err)
	if !isLogResponse(err) && ctx.Err() != context.Canceled {
		f.markDirectDown(err)
	}
	return b, err
}

// readConfirmed reads from the log itself and sets when the end of the log was confirmed: when the request was sent, or after
// the wait if no record has arrived.
func readConfirmed(ctx context.Context, l journaler.Log, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	start := time.Now()
	b, err := l.Read(ctx, from, wait)
	if err == nil {
		b.ConfirmedAt = start
	}
	if now := time.Now(); err == nil && len(b.Records) == 0 && now.Sub(start) >= wait {
		b.ConfirmedAt = start.Add(wait)
	}
	return b, err
}

// ReadNewest implements journaler.Log. Pages of a load of all newest records come from a neighbour if one has them.
func (f *FallbackLog) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	waitUntil, isLoad := f.snapshot.startPage(after)
	if !isLoad {
		return f.readNewest(ctx, after)
	}
	p, err := f.readNewestNearby(ctx, after, waitUntil)
	if errors.Is(err, errNoNeighbour) {
		p, err = f.readNewest(ctx, after)
	}
	if err == nil {
		f.snapshot.addPage(after, p)
	}
	return p, err
}

// readNewest reads a page of newest records over the direct connection, or through a peer while that is down.
func (f *FallbackLog) readNewest(ctx context.Context, after string) (journaler.Page, error) {
	start := time.Now()
	if !f.DirectDown() {
		p, err := f.Direct.ReadNewest(ctx, after)
		f.Metrics.countRead(f.Name, sourceDirectNewest, p.Records, time.Since(start), err)
		if err != nil {
			f.markDirectDown(err)
			return p, err
		}
		p.ConfirmedAt = start
		return p, nil
	}
	p, err := (&remoteLog{peers: f.Peers, name: f.Name}).readNewest(ctx, after)
	f.Metrics.countRead(f.Name, sourcePeerNewest, p.Records, time.Since(start), err)
	return p, err
}

func (f *FallbackLog) readsDirectly() bool { return f.ReadsDirectly != nil && f.ReadsDirectly() }
