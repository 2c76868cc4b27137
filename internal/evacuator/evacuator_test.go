package evacuator

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Property tests use a fixed seed by default, so that failures are reproducible. The flag rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// Guards against a stale snapshot that takes back a request, or that brings back one which a later record has removed.
func TestStaleSnapshotChangesNothingThatIsNewer(t *testing.T) {
	is := is.New(t)
	e := &Evacuator{}
	is.True(e.Apply(Request{Domain: "a", Offset: 3}))
	is.True(!e.Apply(Request{Domain: "a", Offset: 3})) // read again
	is.True(!e.Apply(Request{Domain: "a", Offset: 4})) // named twice
	is.True(e.Apply(Request{Domain: "b", Offset: 5}))
	is.True(e.Apply(Request{Domain: "b", Offset: 7, Removed: true}))
	is.True(!e.ApplySnapshot([]Request{{Domain: "b", Offset: 5}}, 6))
	is.True(!e.ApplySnapshot(nil, 3))
	is.Equal(e.Domains(), []model.DomainID{"a"})
	is.True(e.ApplySnapshot([]Request{{Domain: "c", Offset: 8}}, 9)) // the history, with the removal of a, is discarded
	is.Equal(e.Domains(), []model.DomainID{"c"})
	is.True(!e.Apply(Request{Domain: "a", Offset: 4}))
	is.True(e.Apply(Request{Domain: "a", Offset: 9}))
	is.True(e.IsEvacuated("a"))
}

// Guards against a view that depends on how the records were read: one by one, again, or in snapshots of any age.
func TestViewIsThatOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Request
		for i := range rapid.IntRange(1, 30).Draw(t, "records") {
			log = append(log, Request{
				Domain: rapid.SampledFrom([]model.DomainID{"a", "b", "c"}).Draw(t, "domain"), Offset: model.Offset(i), Removed: rapid.Bool().Draw(t, "removed"),
			})
		}
		e := &Evacuator{}
		end := 0 // the records before have been read at least once
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			from := rapid.IntRange(0, end).Draw(t, "from")
			to := rapid.IntRange(from, len(log)).Draw(t, "to")
			if rapid.Bool().Draw(t, "snapshot") {
				e.ApplySnapshot(newest(log[:to]), model.Offset(to))
			} else {
				for _, r := range log[from:to] {
					e.Apply(r)
				}
			}
			end = max(end, to)
			for _, r := range []model.DomainID{"a", "b", "c"} {
				want := false
				for _, n := range newest(log[:end]) {
					want = want || n.Domain == r
				}
				if e.IsEvacuated(r) != want {
					t.Fatalf("domain %s after %d records: evacuated %v, expected %v", r, end, !want, want)
				}
			}
		}
	})
}

// newest returns the requests that the records leave.
func newest(log []Request) []Request {
	byDomain := map[model.DomainID]Request{}
	for _, r := range log {
		byDomain[r.Domain] = r
	}
	var out []Request
	for _, r := range byDomain {
		if !r.Removed {
			out = append(out, r)
		}
	}
	return out
}

// Guards against starts on an old view, on none, or on one that a clock set back or a suspended machine makes look recent.
func TestOldViewAllowsNoStart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True((*Evacuator)(nil).AllowsStart(now))
	e := &Evacuator{Bound: 5 * time.Second}
	is.True(!e.AllowsStart(now))
	e.Confirm(0, time.Time{})
	is.True(!e.AllowsStart(now))
	e.Confirm(0, now)
	e.Confirm(0, now.Add(-time.Hour)) // from a host that knows less
	is.True(e.AllowsStart(now.Add(MaxViewAge - 1)))
	is.True(!e.AllowsStart(now.Add(MaxViewAge)))
	is.True(!e.AllowsStart(now.Round(0).Add(MaxViewAge)))
	e.Apply(Request{Domain: "a", Offset: 4})
	e.Confirm(4, now.Add(MaxViewAge)) // the log has had a record more before
	is.True(!e.AllowsStart(now.Add(MaxViewAge)))
	e.Confirm(5, now.Add(MaxViewAge))
	is.True(e.AllowsStart(now.Add(MaxViewAge)))
	short := &Evacuator{Bound: MinBound}
	short.Confirm(0, now)
	is.True(short.AllowsStart(now.Add(MinBound - StartTransit - 1)))
	is.True(!short.AllowsStart(now.Add(MinBound - StartTransit)))
}

// Guards against starts of a host without a bound before it has read the requests, and against a host that never starts because it can't read them.
func TestStartsWithoutBoundAwaitFirstView(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := &Evacuator{}
	is.True(!e.AllowsStart(now))
	is.True(!e.AllowsStart(now.Add(FirstReadTime - 1)))
	is.True(e.AllowsStart(now.Add(FirstReadTime)))
	e = &Evacuator{}
	is.True(!e.AllowsStart(now))
	e.Confirm(0, now)
	is.True(e.AllowsStart(now))
	is.True(e.AllowsStart(now.Add(time.Hour))) // the age of the view does not count
}
