package reducer

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// The times of section 3.11 of the design.
const (
	ClaimWindow = 15 * time.Minute // the timestamp of a request id lies within this of now
	ClaimSkew   = time.Minute      // clocks differ by less than this
)

// sweepEvery bounds how many expired claims are kept without removing them on every record.
const sweepEvery = time.Minute

// WonClaim is the first claim of a request.
type WonClaim struct {
	Claim
	RecordID  string `json:"record"` // of the record that carried it
	Index     int    `json:"index"`  // of the entry in the record
	ExpiresMS int64  `json:"expires-at-ms"`
}

// ClaimsSnapshot is the state of the claims fold.
type ClaimsSnapshot struct {
	Position
	CompleteMS int64      `json:"complete-at-ms"` // 0 when the stream was read from its start
	Claims     []WonClaim `json:"claims,omitempty"`
}

type claimKey struct {
	workspace model.WorkspaceID
	request   model.RequestID
}

// Claims is the fold of the claims stream; its zero value is ready for the first record.
type Claims struct {
	tail
	claims     map[claimKey]WonClaim
	completeMS int64
	sweepMS    int64
	atGap      bool // the next record is the oldest one kept
}

// Skip tells the fold that the records before first are no longer kept, as read at the time given. Claims need no
// snapshot: the fold only notes from when on its view is complete.
func (c *Claims) Skip(first model.Offset, now time.Time) {
	if first > c.pos.Next {
		c.pos.Next = first
		c.completeMS, c.atGap = now.UnixMilli(), true
	}
}

// Apply folds one record.
func (c *Claims) Apply(rec logclient.Record) {
	if !c.admit(rec) {
		return
	}
	if c.atGap {
		c.completeMS, c.atGap = min(c.completeMS, rec.AtMS), false
	}
	entries, malformed := decode(rec.Data, claimFields)
	c.malformed += malformed
	for i, e := range entries {
		if e.Claim != nil {
			c.claim(*e.Claim, rec, i)
		}
	}
	if c.pos.NowMS >= c.sweepMS {
		c.sweepMS = c.pos.NowMS + sweepEvery.Milliseconds()
		for k, w := range c.claims {
			if w.ExpiresMS <= c.pos.NowMS {
				delete(c.claims, k)
			}
		}
	}
}

func (c *Claims) claim(claim Claim, rec logclient.Record, index int) {
	k := claimKey{claim.Workspace, claim.Request}
	if w, ok := c.claims[k]; ok && w.ExpiresMS > c.pos.NowMS {
		return
	}
	// An id whose timestamp is ahead of the log's clock stays usable for longer, so its claim is kept for longer.
	from := c.pos.NowMS
	if at, ok := RequestTime(claim.Request); ok {
		from = min(max(from, at.UnixMilli()), from+ClaimWindow.Milliseconds())
	}
	if c.claims == nil {
		c.claims = map[claimKey]WonClaim{}
	}
	c.claims[k] = WonClaim{
		Claim: claim, RecordID: rec.ID, Index: index,
		ExpiresMS: from + (ClaimWindow + ClaimSkew).Milliseconds(),
	}
}

// Winner returns the claim that won the request, if one did and has not expired by the log's clock.
func (c *Claims) Winner(ws model.WorkspaceID, id model.RequestID) (WonClaim, bool) {
	w, ok := c.claims[claimKey{ws, id}]
	if !ok || w.ExpiresMS <= c.pos.NowMS {
		return WonClaim{}, false
	}
	return w, true
}

// Covers reports whether every claim of an id with this timestamp is in view, clock skew included.
func (c *Claims) Covers(idTime time.Time) bool {
	return c.completeMS == 0 || idTime.Add(-ClaimSkew).UnixMilli() >= c.completeMS
}

// CompleteSince returns the time from which the view is complete, zero when the stream was read from its start.
func (c *Claims) CompleteSince() time.Time {
	if c.completeMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(c.completeMS).UTC()
}

// Snapshot returns the state for another fold to start from.
func (c *Claims) Snapshot() ClaimsSnapshot {
	s := ClaimsSnapshot{Position: c.pos.clone(), CompleteMS: c.completeMS}
	for _, w := range c.claims {
		if w.ExpiresMS > c.pos.NowMS {
			s.Claims = append(s.Claims, w)
		}
	}
	slices.SortFunc(s.Claims, func(a, b WonClaim) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Request, b.Request))
	})
	return s
}

// Restore replaces the state by a snapshot that covers more records or reaches further back, and reports whether it did.
func (c *Claims) Restore(s ClaimsSnapshot) bool {
	if s.Next < c.pos.Next || (s.Next == c.pos.Next && s.CompleteMS >= c.completeMS) {
		return false
	}
	c.restore(s.Position)
	c.completeMS, c.atGap = s.CompleteMS, false
	c.claims = make(map[claimKey]WonClaim, len(s.Claims))
	for _, w := range s.Claims {
		c.claims[claimKey{w.Workspace, w.Request}] = w
	}
	return true
}

// RequestTime returns the timestamp of a UUIDv7 request id.
func RequestTime(id model.RequestID) (time.Time, bool) {
	s := string(id)
	if len(s) != 36 || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(s, "-", ""))
	if err != nil || len(b) != 16 || b[6]>>4 != 7 || b[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	return time.UnixMilli(ms).UTC(), true
}
