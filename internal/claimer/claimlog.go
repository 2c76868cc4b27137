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
	pollWait       = time.Second            // maximum duration of a long poll for claims
	pollRetryDelay = 150 * time.Millisecond // delay before a failed read is retried
	logTimeout     = 3 * time.Second        // timeout of an append, and of the wait until a record has been read back
	expireInterval = 5 * time.Second        // interval between searches for expired claims
)

// ClaimLog appends claims to the log and indexes the claims in it; it implements Appender and ClaimIndex.
//
// Each claim has its own key, so that the log keeps all claims of a request and every host selects the same winner.
type ClaimLog struct {
	Log             journaler.Log
	Logger          hclog.Logger
	RequestLifetime time.Duration // claim window plus clock skew; a claim is removed after twice this time

	cursor journaler.Cursor

	mu sync.Mutex
	// loaded is set once the first snapshot has been applied.
	loaded     bool
	nextOffset model.Offset               // all records before this offset are applied
	claims     map[claimKey][]storedClaim // claims of each request in offset order
	readDone   chan struct{}              // closed after the next successful read; nil if nobody waits for it
}

type claimKey struct {
	ws model.WorkspaceID
	id model.RequestID
}

type storedClaim struct {
	Host   model.HostID `json:"host"`
	AtMS   int64        `json:"at-ms"` // Unix milliseconds on the clock of the claiming host
	record string       // id of the claim's record, from the key
	offset model.Offset // offset of the claim's record
}

// keySeparator separates the workspace, the request id and the record id in a key; none of them contains it.
const keySeparator = "\x00"

// Append implements Appender. It appends each claim at once, without batching.
func (l *ClaimLog) Append(ctx context.Context, c Claim) (Receipt, error) {
	record := uuid.NewString()
	value, err := json.Marshal(storedClaim{Host: c.Host, AtMS: time.Now().UnixMilli()})
	if err != nil {
		return Receipt{}, errors.Mark(err, ErrNotSent)
	}
	key := strings.Join([]string{string(c.Workspace), string(c.Request), record}, keySeparator)
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	offset, err := l.Log.Append(ctx, []journaler.Record{{Key: key, Value: value}}, journaler.AppendCondition{})
	if errors.Is(err, journaler.ErrNotAppended) {
		return Receipt{}, errors.Mark(err, ErrNotSent)
	}
	return Receipt{Offset: offset, ClaimID: ClaimID{Record: record}}, err
}

// WaitApplied implements ClaimIndex.
func (l *ClaimLog) WaitApplied(ctx context.Context, offset model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	for {
		l.mu.Lock()
		if l.nextOffset > offset {
			l.mu.Unlock()
			return nil
		}
		if l.readDone == nil {
			l.readDone = make(chan struct{})
		}
		ch := l.readDone
		l.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Winner implements ClaimIndex.
func (l *ClaimLog) Winner(ws model.WorkspaceID, id model.RequestID) (WinningClaim, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.claims[claimKey{ws, id}]
	if len(c) == 0 {
		return WinningClaim{}, false
	}
	return WinningClaim{Host: c[0].Host, ClaimID: ClaimID{Record: c[0].record}}, true
}

// CompleteSince implements ClaimIndex. The log keeps claims until they expire, so none is missing once the first snapshot has
// been applied.
func (l *ClaimLog) CompleteSince() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return time.Now()
	}
	return time.Time{}
}

// Run reads claims from the log and removes expired ones until ctx ends.
func (l *ClaimLog) Run(ctx context.Context) {
	expireAt := time.Now().Add(expireInterval)
	for ctx.Err() == nil {
		if err := l.poll(ctx); err != nil && ctx.Err() == nil {
			l.Logger.Debug("reading claims failed, retrying", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(pollRetryDelay):
			}
		}
		if now := time.Now(); now.After(expireAt) {
			expireAt = now.Add(expireInterval)
			l.removeExpired(ctx, now)
		}
	}
}

// poll reads the next records from the log and applies them to the index.
func (l *ClaimLog) poll(ctx context.Context) error {
	u, err := l.cursor.Read(ctx, l.Log, pollWait)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.IsSnapshot {
		l.claims = map[claimKey][]storedClaim{}
		l.loaded = true
	}
	for _, r := range u.Records {
		l.apply(r)
	}
	l.advance(u.NextOffset)
	return nil
}

// advance updates the next offset after a read and wakes up the callers of WaitApplied; l.mu must be held.
func (l *ClaimLog) advance(next model.Offset) {
	l.nextOffset = max(l.nextOffset, next)
	if l.readDone != nil {
		close(l.readDone)
		l.readDone = nil
	}
}

// apply adds the claim of a record, or removes it if the record has no value; l.mu must be held.
func (l *ClaimLog) apply(r journaler.Record) {
	parts := strings.Split(r.Key, keySeparator)
	if len(parts) != 3 {
		l.Logger.Error("ignoring undecodable claim", "key", r.Key)
		return
	}
	k := claimKey{model.WorkspaceID(parts[0]), model.RequestID(parts[1])}
	claims := l.claims[k]
	if len(r.Value) == 0 {
		l.removeClaim(k, parts[2])
		return
	}
	c := storedClaim{record: parts[2], offset: r.Offset}
	if err := json.Unmarshal(r.Value, &c); err != nil {
		l.Logger.Error("ignoring undecodable claim", "key", r.Key, "error", err)
		return
	}
	i := 0
	for i < len(claims) && claims[i].offset < c.offset {
		i++
	}
	if i < len(claims) && claims[i].offset == c.offset {
		return // already applied from a snapshot
	}
	l.claims[k] = append(claims[:i:i], append([]storedClaim{c}, claims[i:]...)...)
}

func (l *ClaimLog) removeClaim(k claimKey, record string) {
	var remaining []storedClaim
	for _, c := range l.claims[k] {
		if c.record != record {
			remaining = append(remaining, c)
		}
	}
	if len(remaining) == 0 {
		delete(l.claims, k)
		return
	}
	l.claims[k] = remaining
}

// maxExpireBatch is the maximum number of claims that one append removes.
const maxExpireBatch = 200

// removeExpired removes claims of requests whose id is too old to be accepted. It is harmless if several hosts remove the same
// claim.
func (l *ClaimLog) removeExpired(ctx context.Context, now time.Time) {
	var expired []journaler.Record
	l.mu.Lock()
	for k, claims := range l.claims {
		for _, c := range claims {
			if now.Sub(time.UnixMilli(c.AtMS)) > 2*l.RequestLifetime && len(expired) < maxExpireBatch {
				expired = append(expired, journaler.Record{Key: strings.Join([]string{string(k.ws), string(k.id), c.record}, keySeparator)})
			}
		}
	}
	l.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := l.Log.Append(ctx, expired, journaler.AppendCondition{}); err != nil {
		l.Logger.Debug("removing expired claims failed, retrying", "count", len(expired), "error", err)
	}
}
