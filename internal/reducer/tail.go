package reducer

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// IDWindow is how long a repeated record id is recognized, by the log's clock. It is twice as long as an appender
// repeats a record whose first append may have taken effect.
const IDWindow = 10 * time.Minute

// maxHeld bounds the records held while the state is incomplete: two snapshot periods of 10,000 records.
const maxHeld = 20000

// seenID is a record id with the log's time of the first record that carried it.
type seenID struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at-ms"`
}

// Position is the part of a snapshot that says which records it covers.
type Position struct {
	Next     model.Offset `json:"next"`   // first offset that the snapshot does not cover
	NowMS    int64        `json:"now-ms"` // latest time of the log, Unix milliseconds
	Seen     []seenID     `json:"seen,omitempty"`
	SnapAtMS int64        `json:"snap-at-ms,omitempty"` // of the latest snapshot in the stream
	Records  int          `json:"records"`              // since the latest snapshot in the stream
}

// tail is the part of a fold that deals with offsets, repeats and gaps.
type tail struct {
	pos       Position
	ids       map[string]bool
	held      []logclient.Record
	heldFrom  model.Offset // first offset of the unbroken run of held records
	gap       bool         // records between pos.Next and heldFrom are missing
	malformed int
}

// Next returns the offset of the first record that the fold has neither applied nor holds.
func (t *tail) Next() model.Offset {
	if !t.gap {
		return t.pos.Next
	}
	if n := len(t.held); n > 0 {
		return t.held[n-1].Offset + 1
	}
	return t.heldFrom
}

// Complete reports whether the state covers all records before Next; otherwise it lacks a snapshot.
func (t *tail) Complete() bool { return !t.gap }

// Malformed returns how many malformed records and entries the fold has skipped.
func (t *tail) Malformed() int { return t.malformed }

// Skip tells the fold that the records before first are no longer kept. The fold keeps its state and holds further
// records until a snapshot closes the gap.
func (t *tail) Skip(first model.Offset, _ time.Time) {
	if first > t.Next() {
		t.gap, t.heldFrom, t.held = true, first, nil
	}
}

// SinceSnapshot returns the number of records since the latest snapshot in the stream and that snapshot's time,
// which is zero when there was none.
func (t *tail) SinceSnapshot() (records int, at time.Time) {
	if t.pos.SnapAtMS == 0 {
		return t.pos.Records, time.Time{}
	}
	return t.pos.Records, time.UnixMilli(t.pos.SnapAtMS).UTC()
}

// hold keeps a record for the time when a snapshot closes the gap.
func (t *tail) hold(rec logclient.Record) {
	if rec.Offset < t.Next() {
		return
	}
	if len(t.held) >= maxHeld {
		t.held = append(t.held[:0:0], t.held[maxHeld/4:]...)
		t.heldFrom = t.held[0].Offset
	}
	t.held = append(t.held, rec)
}

// admit advances the position over a record and reports whether its entries are to be applied.
func (t *tail) admit(rec logclient.Record) bool {
	if rec.Offset < t.pos.Next {
		return false
	}
	t.pos.Next = rec.Offset + 1
	t.pos.NowMS = max(t.pos.NowMS, rec.AtMS) // the log's clock may step back
	t.pos.Records++
	drop := 0
	for drop < len(t.pos.Seen) && t.pos.Seen[drop].AtMS < t.pos.NowMS-IDWindow.Milliseconds() {
		delete(t.ids, t.pos.Seen[drop].ID)
		drop++
	}
	t.pos.Seen = t.pos.Seen[drop:]
	if t.ids[rec.ID] {
		return false
	}
	if t.ids == nil {
		t.ids = map[string]bool{}
	}
	t.ids[rec.ID] = true
	t.pos.Seen = append(t.pos.Seen, seenID{rec.ID, t.pos.NowMS})
	return true
}

// snapshotSeen notes a snapshot entry in the stream.
func (t *tail) snapshotSeen() {
	t.pos.SnapAtMS, t.pos.Records = t.pos.NowMS, 0
}

// closes reports whether a snapshot that covers the records before pos.Next can replace the state.
func (t *tail) closes(pos Position) bool {
	if t.gap {
		return pos.Next >= t.heldFrom && pos.Next >= t.pos.Next
	}
	return pos.Next > t.pos.Next
}

// restore takes over the position of a snapshot and returns the held records that it does not cover.
func (t *tail) restore(pos Position) []logclient.Record {
	held := t.held
	t.gap, t.held = false, nil
	t.pos = pos.clone()
	t.ids = make(map[string]bool, len(pos.Seen))
	for _, s := range pos.Seen {
		t.ids[s.ID] = true
	}
	for len(held) > 0 && held[0].Offset < pos.Next {
		held = held[1:]
	}
	return held
}

func (p Position) clone() Position {
	p.Seen = append([]seenID(nil), p.Seen...)
	return p
}
