package peerlog

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a host that loads a state from its neighbour that the log never had.
func TestSnapshotHoldsNewestRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, newest, end := &snapshot{}, map[string]string{}, model.Offset(0)
		s.startPage("")
		s.addPage("", journaler.Page{ConfirmedAt: time.Now()})
		for range rapid.IntRange(1, 30).Draw(rt, "reads") {
			from := max(0, end-model.Offset(rapid.IntRange(0, 3).Draw(rt, "overlap")))
			var b journaler.Batch
			for off := from; off < end; off++ {
				b.Records = append(b.Records, journaler.Record{Key: "stale", Offset: off})
			}
			for range rapid.IntRange(0, 4).Draw(rt, "records") {
				r := journaler.Record{Key: fmt.Sprint(rapid.IntRange(0, 6).Draw(rt, "key")), Offset: end}
				delete(newest, r.Key)
				if !rapid.Bool().Draw(rt, "deleted") {
					r.Value = []byte(fmt.Sprint(end))
					newest[r.Key] = string(r.Value)
				}
				b.Records = append(b.Records, r)
				end++
			}
			b.EndOffset, b.ConfirmedAt = end, time.Now()
			s.addRecords(from, b)
		}
		p, err := s.page("")
		if err != nil || p.EndOffset != end {
			rt.Fatalf("page %+v, %v, want end %d", p, err, end)
		}
		got := map[string]string{}
		for _, r := range p.Records {
			got[r.Key] = string(r.Value)
		}
		if !maps.Equal(got, newest) {
			rt.Fatalf("got %v, want %v", got, newest)
		}
	})
}

// loadAll loads the newest record of each key with retries, as a follower does.
func (h *testHost) loadAll(t *testing.T, loader *journaler.SnapshotLoader) (n int, next model.Offset) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if s, err := loader.Load(t.Context(), h.log); err == nil {
			return len(s.Records), s.NextOffset
		}
	}
	t.Fatal("the snapshot was not loaded within 10 s")
	return 0, 0
}

// Guards against hosts of a group that each load a snapshot from the log when they start together.
func TestHostWaitsForSnapshotOfItsGroup(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	reader.log.Neighbours = func() []string { return []string{relay.addr} }
	for i := range 1200 {
		_, _ = l.Append("jobs", recordsWithKey(fmt.Sprint("key-", i)), journaler.AppendCondition{}) // the fake refuses appends above its rate
	}
	want := len(l.Records("jobs"))
	relay.log.snapshot.startPage("") // the relay has begun to load
	_, err := reader.log.ReadNewest(t.Context(), "")
	is.True(errors.Is(err, errLoading))
	n, _ := relay.loadAll(t, &journaler.SnapshotLoader{})
	is.Equal(n, want)
	reader.fault.Store(log.FaultUnavailable)
	n, next := reader.loadAll(t, &journaler.SnapshotLoader{})
	is.Equal(n, want)
	is.Equal(next, model.Offset(want))
	is.Equal(reader.log.Metrics.Reads.Get("jobs/direct-newest/ok"), nil)
}

// Guards against hosts that wait for each other, or have nothing to serve, because they load again after a failed read.
func TestReloadNeitherWaitsNorHidesSnapshot(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	reader.log.Neighbours = func() []string { return []string{relay.addr} }
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	relay.loadAll(t, &journaler.SnapshotLoader{})
	relay.log.snapshot.startPage("") // the relay loads again
	p, err := reader.log.ReadNewest(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(p.Records), 1)
	relay.log.snapshot.addRecords(9, journaler.Batch{}) // a gap
	_, err = reader.log.ReadNewest(t.Context(), "")
	is.NoErr(err)
	is.Equal(reader.log.Metrics.Reads.Get("jobs/direct-newest/ok").String(), "1")
}

// Guards against a host that never starts because the host in front of it does not end its load, or is too old.
func TestHostLoadsDirectlyWithoutFreshNeighbour(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	reader.log.Neighbours = func() []string { return []string{relay.addr} }
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	relay.log.snapshot.startPage("")
	start := time.Now()
	n, _ := reader.loadAll(t, &journaler.SnapshotLoader{})
	is.Equal(n, 1)
	is.True(time.Since(start) >= loadWait && time.Since(start) < loadWait+time.Second)
	relay.log.snapshot.addPage("", journaler.Page{ConfirmedAt: time.Now().Add(-2 * maxSnapshotAge)})
	n, next := reader.loadAll(t, &journaler.SnapshotLoader{})
	is.Equal(n, 1)
	is.Equal(next, model.Offset(1))
}

// pageLog serves one page of one record for each key and fails each second read.
type pageLog struct {
	journaler.Log
	keys  []string
	calls []string // keys after which pages were read
}

func (l *pageLog) ReadNewest(_ context.Context, after string) (journaler.Page, error) {
	l.calls = append(l.calls, after)
	if len(l.calls)%2 == 0 {
		return journaler.Page{}, errors.New("no response")
	}
	for i, k := range l.keys {
		if k > after {
			return journaler.Page{Records: []journaler.Record{{Key: k}}, HasMore: i+1 < len(l.keys), EndOffset: model.Offset(20 - i)}, nil
		}
	}
	return journaler.Page{}, nil
}

// Guards against loads that begin again after each failure, and against records skipped because a later page is older.
func TestSnapshotLoaderContinuesAfterFailure(t *testing.T) {
	is := is.New(t)
	l, loader := &pageLog{keys: []string{"a", "b", "c"}}, journaler.SnapshotLoader{}
	for range 2 {
		_, err := loader.Load(t.Context(), l)
		is.True(err != nil)
	}
	s, err := loader.Load(t.Context(), l)
	is.NoErr(err)
	is.Equal(len(s.Records), 3)
	is.Equal(s.NextOffset, model.Offset(18))
	is.Equal(l.calls, []string{"", "a", "a", "b", "b"})
}

// Guards against a host that waits for its group while hosts of another group have the records.
func TestHostLoadsFromOtherGroupWhileItsOwnLoads(t *testing.T) {
	is := is.New(t)
	l, relay, reader := relayPair(t)
	loaded := newHost(t, l, func() []string { return nil })
	_, err := l.Append("jobs", recordsWithKey("a"), journaler.AppendCondition{})
	is.NoErr(err)
	loaded.loadAll(t, &journaler.SnapshotLoader{})
	relays := []string{relay.addr}
	relay.log.snapshot.startPage("")
	for range maxNeighboursPerRead {
		loading := newHost(t, l, func() []string { return nil })
		loading.log.snapshot.startPage("")
		relays = append(relays, loading.addr)
	}
	reader.log.Relays = func() []string { return relays }
	reader.log.Neighbours = func() []string { return append(relays[:1:1], loaded.addr) }
	reader.fault.Store(log.FaultUnavailable)
	p, err := reader.log.ReadNewest(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(p.Records), 1)
}
