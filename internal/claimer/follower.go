package claimer

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	followWait   = time.Second            // of a long poll for claims
	followPause  = 150 * time.Millisecond // after a failed read
	claimTimeout = 3 * time.Second        // of one append, and of reading it back
	expireEvery  = 5 * time.Second        // between looks for claims that have expired
)

// ClaimLog keeps claims in the log; it is the Appender and the Fold of a Claimer.
//
// Each claim has a key of its own, so that the log keeps all claims of a request and the first one wins on every host.
type ClaimLog struct {
	Log       journaler.Log
	Logger    hclog.Logger
	Retention time.Duration // that a claim is kept: the window and the clock skew

	cursor journaler.Cursor

	mu      sync.Mutex
	loaded  bool
	next    model.Offset
	claims  map[claimKey][]storedClaim // in the order of the log
	changed chan struct{}
}

type claimKey struct {
	ws model.WorkspaceID
	id model.RequestID
}

type storedClaim struct {
	Host   model.HostID `json:"host"`
	AtMS   int64        `json:"at-ms"` // Unix milliseconds on the clock of the host
	record string
	offset model.Offset
}

// keySeparator lies between workspace, request and record of a key; none of them contains it.
const keySeparator = "\x00"

// Append implements Appender.
func (f *ClaimLog) Append(ctx context.Context, c Claim) (Receipt, error) {
	record := uuid.NewString()
	value, err := json.Marshal(storedClaim{Host: c.Host, AtMS: time.Now().UnixMilli()})
	if err != nil {
		return Receipt{}, errors.Mark(err, ErrNotSent)
	}
	key := strings.Join([]string{string(c.Workspace), string(c.Request), record}, keySeparator)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	off, err := f.Log.Append(ctx, []journaler.Record{{Key: key, Value: value}}, journaler.AppendCondition{})
	if errors.Is(err, journaler.ErrRejected) {
		return Receipt{}, errors.Mark(err, ErrNotSent)
	}
	return Receipt{Offset: off, Ref: Ref{Record: record}}, err
}

// WaitApplied implements Fold.
func (f *ClaimLog) WaitApplied(ctx context.Context, offset model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		f.mu.Lock()
		if f.next > offset {
			f.mu.Unlock()
			return nil
		}
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		ch := f.changed
		f.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Winner implements Fold.
func (f *ClaimLog) Winner(ws model.WorkspaceID, id model.RequestID) (Won, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claims[claimKey{ws, id}]
	if len(c) == 0 {
		return Won{}, false
	}
	return Won{Host: c[0].Host, Ref: Ref{Record: c[0].record}}, true
}

// ViewStart implements Fold; the log keeps each claim until it has expired, so that none is missing once all are read.
func (f *ClaimLog) ViewStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return time.Now()
	}
	return time.Time{}
}

// Run follows the log until the context ends and drops claims that have expired.
func (f *ClaimLog) Run(ctx context.Context) {
	expireAt := time.Now().Add(expireEvery)
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Debug("claims can't be read", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(followPause):
			}
		}
		if now := time.Now(); now.After(expireAt) {
			expireAt = now.Add(expireEvery)
			f.expire(ctx, now)
		}
	}
}

func (f *ClaimLog) step(ctx context.Context) error {
	u, err := f.cursor.Read(ctx, f.Log, followWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.IsSnapshot {
		f.claims = map[claimKey][]storedClaim{}
		f.loaded = true
	}
	for _, r := range u.Records {
		f.apply(r)
	}
	f.advance(u.NextOffset)
	return nil
}

// advance releases those who wait for a claim to be read back; the caller holds the lock.
func (f *ClaimLog) advance(next model.Offset) {
	f.next = max(f.next, next)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// apply folds a claim, or the removal of one; the caller holds the lock.
func (f *ClaimLog) apply(r journaler.Record) {
	parts := strings.Split(r.Key, keySeparator)
	if len(parts) != 3 {
		f.Logger.Error("a claim can't be read and is left out", "key", r.Key)
		return
	}
	k := claimKey{model.WorkspaceID(parts[0]), model.RequestID(parts[1])}
	list := f.claims[k]
	if len(r.Value) == 0 {
		f.remove(k, parts[2])
		return
	}
	c := storedClaim{record: parts[2], offset: r.Offset}
	if err := json.Unmarshal(r.Value, &c); err != nil {
		f.Logger.Error("a claim can't be read and is left out", "key", r.Key, "error", err)
		return
	}
	i := 0
	for i < len(list) && list[i].offset < c.offset {
		i++
	}
	if i < len(list) && list[i].offset == c.offset {
		return // read again after a snapshot
	}
	f.claims[k] = append(list[:i:i], append([]storedClaim{c}, list[i:]...)...)
}

func (f *ClaimLog) remove(k claimKey, record string) {
	var rest []storedClaim
	for _, c := range f.claims[k] {
		if c.record != record {
			rest = append(rest, c)
		}
	}
	if len(rest) == 0 {
		delete(f.claims, k)
		return
	}
	f.claims[k] = rest
}

// expireMost bounds the claims that one append removes.
const expireMost = 200

// expire removes claims that no request can refer to any more; hosts that do so at the same time only repeat it.
func (f *ClaimLog) expire(ctx context.Context, now time.Time) {
	var old []journaler.Record
	f.mu.Lock()
	for k, list := range f.claims {
		for _, c := range list {
			if now.Sub(time.UnixMilli(c.AtMS)) > 2*f.Retention && len(old) < expireMost {
				old = append(old, journaler.Record{Key: strings.Join([]string{string(k.ws), string(k.id), c.record}, keySeparator)})
			}
		}
	}
	f.mu.Unlock()
	if len(old) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if _, err := f.Log.Append(ctx, old, journaler.AppendCondition{}); err != nil {
		f.Logger.Debug("expired claims could not be removed", "count", len(old), "error", err)
	}
}
