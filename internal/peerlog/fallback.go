package peerlog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// probeInterval is the time between probes of the direct connection while it is down.
	probeInterval = 700 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * time.Millisecond
	// directAppendTimeout bounds a direct append before it is sent through a peer; it allows for a slow log.
	directAppendTimeout = 900 * time.Millisecond
)

// FallbackLog is a log that is reached directly, or through a peer while the direct connection is down.
type FallbackLog struct {
	Direct journaler.Log
	Peers  *Peers
	Name   string // name of the log in calls to peers
	Logger hclog.Logger
	// Metrics counts the reads; nil counts nothing.
	Metrics *Metrics

	mu         sync.Mutex
	directDown bool
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
	f.Logger.Warn("connection lost", "dependency", "direct connection to the log "+f.Name, "error", err)
	go f.probe()
}

// probe calls the log over the direct connection until that works again.
func (f *FallbackLog) probe() {
	for {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := f.Direct.ReadNewest(ctx, probeKey)
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

// probeKey sorts after all keys in use, so that a probe transfers no records.
const probeKey = "~"

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
	maybeAppended := false
	if !f.DirectDown() {
		directCtx, cancel := context.WithTimeout(ctx, directAppendTimeout)
		off, err := f.Direct.Append(directCtx, records, c)
		cancel()
		if isLogResponse(err) {
			return off, err
		}
		f.markDirectDown(err)
		maybeAppended = !errors.Is(err, journaler.ErrNotAppended)
		if maybeAppended && c.ExpectedEnd != nil && c.Writer == nil {
			return 0, err // a retry could not determine whether the first append or another record has moved the end of the log
		}
	}
	off, err := (&remoteLog{peers: f.Peers, name: f.Name}).append(ctx, records, c)
	if maybeAppended && errors.Is(err, journaler.ErrNotAppended) {
		return 0, errors.Mark(errors.Newf("peerlog: the direct append got no response, and its retry failed: %v", err), journaler.ErrOutcomeUnknown)
	}
	return off, err
}

// Read implements journaler.Log.
func (f *FallbackLog) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if !f.DirectDown() {
		b, err := f.Direct.Read(ctx, from, wait)
		f.Metrics.countRead(f.Name, sourceDirect, b, err)
		if isLogResponse(err) {
			return b, err
		}
		if ctx.Err() == context.Canceled {
			return b, err
		}
		f.markDirectDown(err)
		return b, err // the caller retries, and the retry goes to a peer
	}
	b, err := (&remoteLog{peers: f.Peers, name: f.Name}).read(ctx, from, wait)
	f.Metrics.countRead(f.Name, sourcePeer, b, err)
	return b, err
}

// ReadNewest implements journaler.Log.
func (f *FallbackLog) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	if !f.DirectDown() {
		p, err := f.Direct.ReadNewest(ctx, after)
		if err == nil {
			return p, nil
		}
		f.markDirectDown(err)
		return p, err
	}
	return (&remoteLog{peers: f.Peers, name: f.Name}).readNewest(ctx, after)
}
