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
	// probePause is the pause between looks whether the direct way works again.
	probePause = 700 * time.Millisecond
	// probeTimeout bounds such a look.
	probeTimeout = 600 * time.Millisecond
	// directTimeout bounds a direct append before a peer is asked; it leaves room for a slow log.
	directTimeout = 900 * time.Millisecond
)

// FallbackLog is a log that is reached directly, or through a peer while the direct way is cut.
type FallbackLog struct {
	Direct journaler.Log
	Peers  *Peers
	Name   string // of the log among peers
	Logger hclog.Logger

	mu  sync.Mutex
	cut bool
}

// DirectDown reports whether the direct way does not work.
func (f *FallbackLog) DirectDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// lost notes that a direct call failed, and looks in the background when the way is open again.
func (f *FallbackLog) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return
	}
	f.cut = true
	f.Logger.Warn("dependency lost", "dependency", "direct way to the log "+f.Name, "error", err)
	go f.probe()
}

func (f *FallbackLog) probe() {
	for {
		time.Sleep(probePause)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, err := f.Direct.ReadNewest(ctx, probeKey)
		cancel()
		if err == nil {
			break
		}
	}
	f.mu.Lock()
	f.cut = false
	f.mu.Unlock()
	f.Logger.Info("dependency regained", "dependency", "direct way to the log "+f.Name)
}

// probeKey lies behind all keys in use, so that a probe transfers nothing.
const probeKey = "~"

// answered reports whether an error is an answer of the log rather than the lack of one.
func answered(err error) bool {
	var moved *journaler.OffsetMismatchError
	var seq *journaler.SequenceError
	var trimmed *journaler.TrimmedError
	return err == nil || errors.Is(err, journaler.ErrFenced) || errors.As(err, &moved) || errors.As(err, &seq) || errors.As(err, &trimmed)
}

// Append implements journaler.Log.
//
// A direct append that got no answer is repeated through a peer; callers make their records safe to repeat.
func (f *FallbackLog) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	unsure := false
	if !f.DirectDown() {
		dctx, cancel := context.WithTimeout(ctx, directTimeout)
		off, err := f.Direct.Append(dctx, records, c)
		cancel()
		if answered(err) {
			return off, err
		}
		f.lost(err)
		unsure = !errors.Is(err, journaler.ErrRejected)
		if unsure && c.ExpectedEnd != nil && c.Writer == nil {
			return 0, err // a repeat could not tell its own record from another one
		}
	}
	off, err := (&remote{peers: f.Peers, name: f.Name}).append(ctx, records, c)
	if unsure && errors.Is(err, journaler.ErrRejected) {
		return 0, errors.Mark(errors.Newf("peerlog: the direct append got no answer, and %v", err), journaler.ErrOutcomeUnknown)
	}
	return off, err
}

// Read implements journaler.Log.
func (f *FallbackLog) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	if !f.DirectDown() {
		b, err := f.Direct.Read(ctx, from, wait)
		if answered(err) {
			return b, err
		}
		if ctx.Err() == context.Canceled {
			return b, err
		}
		f.lost(err)
		return b, err // the caller repeats the read, which then goes to a peer
	}
	return (&remote{peers: f.Peers, name: f.Name}).read(ctx, from, wait)
}

// ReadNewest implements journaler.Log.
func (f *FallbackLog) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	if !f.DirectDown() {
		p, err := f.Direct.ReadNewest(ctx, after)
		if err == nil {
			return p, nil
		}
		f.lost(err)
		return p, err
	}
	return (&remote{peers: f.Peers, name: f.Name}).newest(ctx, after)
}
