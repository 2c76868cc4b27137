package reducer

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
	"pgregory.net/rapid"
)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

// fold is what the properties need of each fold.
type fold interface {
	Apply(logclient.Record)
	Skip(model.Offset, time.Time)
	Complete() bool
	Next() model.Offset
}

// subject describes one fold to the properties.
type subject struct {
	create   func() fold
	draw     func(*rapid.T) any        // draws an entry
	snapshot func(fold) any            // the state
	restore  func(fold, []byte) bool   // from the JSON of the state
	entry    func(snapshot []byte) any // a snapshot entry, nil when the stream has none
	essence  func(fold) any            // the state apart from offsets
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeAs[T any](b []byte) (v T) {
	if err := json.Unmarshal(b, &v); err != nil {
		panic(err)
	}
	return v
}

func pick[T any](t *rapid.T, label string, from ...T) T {
	return rapid.SampledFrom(from).Draw(t, label)
}

// stream draws records with batches, repeats, malformed entries and snapshots, and the states between them.
func (s subject) stream(t *rapid.T) (records []logclient.Record, states [][]byte) {
	full := s.create()
	now := epoch
	states = append(states, encode(s.snapshot(full)))
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		now = now.Add(time.Duration(rapid.IntRange(-1, 300).Draw(t, "seconds")) * time.Second)
		rec := logclient.Record{Offset: model.Offset(i), ID: fmt.Sprint(i), AtMS: now.UnixMilli()}
		var batch []any
		for range rapid.IntRange(0, 3).Draw(t, "batch") {
			batch = append(batch, s.draw(t))
		}
		switch rapid.IntRange(0, 7).Draw(t, "special") {
		case 0:
			if s.entry != nil { // a host that lags behind appends its state
				batch = append(batch, s.entry(states[rapid.IntRange(max(0, i-3), i).Draw(t, "snapshot")]))
			}
		case 1:
			batch = append([]any{map[string]int{"of-a-later-version": 1}, 5}, batch...)
		}
		rec.Data = encode(batch)
		if i > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			first := records[rapid.IntRange(0, i-1).Draw(t, "repeated")]
			rec.ID, rec.Data = first.ID, first.Data
		}
		records = append(records, rec)
		full.Apply(rec)
		states = append(states, encode(s.snapshot(full)))
	}
	return records, states
}

// A host that starts from a snapshot, from a trimmed log or from a peer must not decide differently from one that has
// read everything.
func TestStartsAgree(t *testing.T) {
	for name, s := range map[string]subject{"config": configs, "jobs": jobs, "claims": claims} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				records, states := s.stream(t)
				want := string(states[len(records)])
				apply := func(f fold, from int) {
					for i := range records[from:] {
						f.Apply(records[from+i])
					}
				}
				check := func(f fold, how string) {
					if got := string(encode(s.snapshot(f))); got != want {
						t.Fatalf("%s:\n got %s\nwant %s", how, got, want)
					}
				}
				at := rapid.IntRange(1, len(records)).Draw(t, "at")
				f := s.create()
				s.restore(f, states[at])
				apply(f, rapid.IntRange(0, at).Draw(t, "overlap"))
				check(f, "restored")

				if s.entry == nil {
					return
				}
				f = s.create()
				read := rapid.IntRange(0, at).Draw(t, "read before") // then the log is trimmed beyond
				for _, rec := range records[:read] {
					f.Apply(rec)
				}
				f.Skip(model.Offset(at), epoch)
				apply(f, at)
				if f.Next() != model.Offset(len(records)) {
					t.Fatalf("next is %d", f.Next())
				}
				if !f.Complete() {
					peer := rapid.IntRange(0, len(records)).Draw(t, "peer")
					if s.restore(f, states[peer]) != (peer >= at) {
						t.Fatalf("snapshot up to %d with records from %d", peer, at)
					}
					s.restore(f, states[len(records)])
				}
				check(f, "trimmed")
			})
		})
	}
}

// The appender decides which entries share a record, and repeats records whose answer was lost; neither must change a
// decision.
func TestBatchesAndRepeatsDoNotMatter(t *testing.T) {
	for name, s := range map[string]subject{"config": configs, "jobs": jobs, "claims": claims} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				var entries []any
				for range rapid.IntRange(0, 40).Draw(t, "entries") {
					entries = append(entries, s.draw(t))
				}
				one, many := s.create(), s.create()
				one.Apply(logclient.Record{ID: "all", AtMS: epoch.UnixMilli(), Data: encode(entries)})
				offset := model.Offset(0)
				apply := func(i int) {
					many.Apply(logclient.Record{Offset: offset, ID: fmt.Sprint(i), AtMS: epoch.UnixMilli(), Data: encode([]any{entries[i]})})
					offset++
				}
				for i := range entries {
					apply(i)
					if rapid.Bool().Draw(t, "repeat") {
						apply(rapid.IntRange(0, i).Draw(t, "repeated"))
					}
				}
				if a, b := string(encode(s.essence(one))), string(encode(s.essence(many))); a != b {
					t.Fatalf("in one record: %s\none by one: %s", a, b)
				}
			})
		})
	}
}

// Records are written by other hosts and may be of any form; a fold must skip what it cannot read and stay usable.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`[]`, `null`, `[null,1,{}]`, `{"publish":{}}`,
		`[{"publish":{"id":"p","author":"o","base":0,"schema":1,"changes":[{"kind":"class","name":"c","spec":{"urgency":"batch"}}]}}]`,
		`[{"snapshot":{"next":0,"version":3}}]`, `[{"snapshot":{"next":3,"live":[{"spec":{"id":"j"}}],"final":[{}]}}]`,
		`[{"submitted":{"spec":{"id":"j"},"home":"d"}},{"started":{"job":"j","domain":"d","attempt":1}}]`,
		`[{"ended":{"job":"j","domain":"d","state":"finished"}},{"cancel":{"job":"j"}},{"rehomed":{"job":"j","to":"e"}}]`,
		`[{"claim":{"workspace":"w","request":"019b76da-a800-7000-8000-000000000000","host":"h"}}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, s := range []subject{configs, jobs, claims} {
			for _, trimmed := range []bool{false, true} {
				a := s.create()
				if trimmed {
					a.Skip(3, epoch)
				}
				for i := range 3 {
					a.Apply(logclient.Record{Offset: model.Offset(3 + i), ID: fmt.Sprint(i), Data: slices.Clone(data)})
				}
				if a.Next() != 6 {
					t.Fatalf("next is %d", a.Next())
				}
				b := s.create()
				state := encode(s.snapshot(a))
				if a.Complete() && s.restore(b, state) && string(encode(s.snapshot(b))) != string(state) {
					t.Fatalf("restored %s from %s", encode(s.snapshot(b)), state)
				}
			}
		}
	})
}
