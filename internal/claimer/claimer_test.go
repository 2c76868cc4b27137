package claimer

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Fixes the seed of the property tests, so that failures are reproducible. A -rapid.seed flag overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.UnixMilli(1_800_000_000_000)

func newID(at time.Time, n int) model.RequestID {
	ms := fmt.Sprintf("%012x", at.UnixMilli())
	return model.RequestID(fmt.Sprintf("%s-%s-7000-8000-%012x", ms[:8], ms[8:], n))
}

// appendedClaim is a claim with its id and the log time at which it was appended.
type appendedClaim struct {
	Claim
	claimID ClaimID
	at      time.Time
}

// testCluster simulates the log and the entry hosts; tests set the faults.
type testCluster struct {
	now         time.Time
	log         []appendedClaim
	delayed     []appendedClaim // claims that reach the log after their append has timed out
	recordCount int
	hosts       map[model.HostID]*testHost
}

// testHost is an entry host with its claimer. It implements Appender and ClaimIndex over the simulated log.
type testHost struct {
	cluster       *testCluster
	id            model.HostID
	claimer       *Claimer
	applied       int       // number of claims that this host has read from the log
	completeSince time.Time // log time since which this host knows all claims
	nextFault     string    // fault of the next append or read
	duringAppend  func()    // called once during the next append
}

func newTestCluster(n int) *testCluster {
	tc := &testCluster{now: epoch, hosts: map[model.HostID]*testHost{}}
	for i := range n {
		tc.restart(model.HostID(fmt.Sprint("h", i)))
	}
	return tc
}

// restart replaces the host by a new process that has no stored results and has not read the log yet.
func (tc *testCluster) restart(id model.HostID) {
	h := &testHost{cluster: tc, id: id}
	h.claimer = New(Options{Host: id, Appender: h, Index: h, Results: tc, MaxResults: 4, Now: func() time.Time { return tc.now }, OnViolation: (&asserter.Asserter{PanicOnViolation: true}).RecordViolation})
	tc.hosts[id] = h
}

func (h *testHost) Append(_ context.Context, c Claim) (Receipt, error) {
	tc, fault := h.cluster, h.nextFault
	h.nextFault = ""
	if f := h.duringAppend; f != nil {
		h.duringAppend = nil
		f()
	}
	if fault == "not-sent" {
		return Receipt{}, ErrNotSent
	}
	tc.recordCount++
	claim := appendedClaim{Claim: c, claimID: ClaimID{Record: fmt.Sprint(tc.recordCount)}, at: tc.now}
	switch fault {
	case "request-lost":
		return Receipt{}, errors.New("timeout")
	case "lands-late":
		tc.delayed = append(tc.delayed, claim)
		return Receipt{}, errors.New("timeout")
	}
	tc.log = append(tc.log, claim)
	if fault == "answer-lost" {
		return Receipt{}, errors.New("timeout")
	}
	if fault == "read-fails" {
		h.nextFault = fault
	}
	return Receipt{Offset: model.Offset(len(tc.log) - 1), ClaimID: claim.claimID}, nil
}

func (h *testHost) WaitApplied(_ context.Context, o model.Offset) error {
	if h.nextFault == "read-fails" {
		h.nextFault = ""
		return errors.New("log is down")
	}
	h.applied = max(h.applied, int(o)+1)
	return nil
}

func (h *testHost) Winner(ws model.WorkspaceID, id model.RequestID) (WinningClaim, bool) {
	for _, claim := range h.cluster.log[:h.applied] {
		if claim.Workspace == ws && claim.Request == id && !claim.at.Before(h.completeSince) && h.cluster.now.Sub(claim.at) < DefaultClaimWindow+DefaultClockSkew {
			return WinningClaim{Host: claim.Host, ClaimID: claim.claimID}, true
		}
	}
	return WinningClaim{}, false
}

func (h *testHost) CompleteSince() time.Time { return h.completeSince }

func (tc *testCluster) FetchResult(ctx context.Context, host model.HostID, ws model.WorkspaceID, id model.RequestID) (Result, error) {
	// The test has a single goroutine, so waiting for a host that is in the middle of a claim would never end.
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	if res, ok := tc.hosts[host].claimer.LocalResult(ctx, ws, id); ok {
		return res, nil
	}
	return Result{}, errors.New("result unknown")
}

// Guards against running a request twice, reporting not-run for a request that ran, and returning the result of another
// request, with several hosts, restarts, lost and late appends, trimmed logs, and two hosts that claim at the same time.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tc := newTestCluster(3)
		var ids []model.RequestID
		runs, calls := map[model.RequestID]int{}, map[model.RequestID]int{}
		drawHost := func(t *rapid.T) *testHost {
			return tc.hosts[model.HostID(fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "host")))]
		}
		var call func(t *rapid.T, h *testHost, id model.RequestID, nested bool)
		call = func(t *rapid.T, h *testHost, id model.RequestID, nested bool) {
			h.nextFault = rapid.SampledFrom([]string{"", "", "", "not-sent", "request-lost", "answer-lost", "lands-late", "read-fails"}).Draw(t, "fault")
			if other := drawHost(t); !nested && other != h && rapid.Bool().Draw(t, "both") {
				h.duringAppend = func() { call(t, other, id, true) }
			}
			calls[id]++
			isRetry, runsBefore := calls[id] > 1, runs[id]
			ran := false
			runError := rapid.SampledFrom([]model.Outcome{"", "", model.OutcomeNotRun, model.OutcomeUnknown}).Draw(t, "run")
			res := h.claimer.Do(context.Background(), Request{Workspace: "w", ID: id, Digest: string(id), IsRetry: isRetry}, func(context.Context) Result {
				ran = true
				if runError == model.OutcomeNotRun {
					return Result{Error: notRunError(model.ErrorKindUpstream, "refused", "")}
				}
				runs[id]++
				if runError == model.OutcomeUnknown {
					return Result{Error: unknownError(model.ErrorKindUpstream, "no answer")}
				}
				return Result{Body: []byte(id)}
			})
			h.nextFault, h.duringAppend = "", nil
			switch {
			case runs[id] > 1:
				t.Fatalf("request %s ran %d times", id, runs[id])
			case res.Error == nil && (string(res.Body) != string(id) || runs[id] != 1):
				t.Fatalf("got the response %q after %d runs", res.Body, runs[id])
			case res.Error != nil && res.Error.Outcome == model.OutcomeNotRun && ran && runs[id] > runsBefore:
				t.Fatalf("call of %s ran the request and returned %v", id, res.Error)
			case res.Error != nil && res.Error.Outcome == model.OutcomeNotRun && isRetry && runs[id] > 0:
				t.Fatalf("retry of %s returned %v after the request ran", id, res.Error)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				skew := time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew")) * time.Second
				ids = append(ids, newID(tc.now.Add(skew), len(ids)))
				call(t, drawHost(t), ids[len(ids)-1], false)
			},
			"repeat": func(t *rapid.T) {
				if len(ids) > 0 {
					call(t, drawHost(t), rapid.SampledFrom(ids).Draw(t, "id"), false)
				}
			},
			"land": func(*rapid.T) {
				for _, claim := range tc.delayed {
					claim.at = tc.now
					tc.log = append(tc.log, claim)
				}
				tc.delayed = nil
			},
			"read": func(t *rapid.T) { drawHost(t).applied = len(tc.log) },
			"restart": func(t *rapid.T) {
				h := drawHost(t)
				tc.restart(h.id)
				if rapid.Bool().Draw(t, "trimmed") {
					tc.hosts[h.id].completeSince = tc.now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "kept")) * time.Minute)
				}
			},
			"time": func(t *rapid.T) {
				tc.now = tc.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second)
			},
		})
	})
}

func doRequest(c *Claimer, ctx context.Context, req Request, body string) Result {
	return c.Do(ctx, req, func(context.Context) Result { return Result{Body: []byte(body)} })
}

// Guards against accepting request ids of which a claim may have expired or may not have been read yet, and against two forms
// of one id that count as different ids.
func TestClaimWindow(t *testing.T) {
	tests := []struct {
		name          string
		id            model.RequestID
		completeSince time.Time
		ok            bool
	}{
		{name: "now", id: newID(epoch, 1), ok: true},
		{name: "oldest", id: newID(epoch.Add(-DefaultClaimWindow), 1), ok: true},
		{name: "too old", id: newID(epoch.Add(-DefaultClaimWindow-time.Millisecond), 1)},
		{name: "too far ahead", id: newID(epoch.Add(DefaultClockSkew+time.Millisecond), 1)},
		{name: "older than the view", id: newID(epoch, 1), completeSince: epoch.Add(-2*DefaultClockSkew + time.Millisecond)},
		{name: "within the view", id: newID(epoch, 1), completeSince: epoch.Add(-2 * DefaultClockSkew), ok: true},
		{name: "upper case", id: "01A3185C-5000-7000-8000-00000000000A"},
		{name: "version 4", id: "01a3185c-5000-4000-8000-00000000000a"},
		{name: "no uuid", id: "request-1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(1)
			tc.hosts["h0"].completeSince = tt.completeSince
			res := doRequest(tc.hosts["h0"].claimer, context.Background(), Request{ID: tt.id}, "x")
			is.Equal(res.Error == nil, tt.ok)
			is.Equal(len(tc.log) == 1, tt.ok)
			if !tt.ok {
				is.Equal(res.Error.Outcome, model.OutcomeNotRun)
			}
		})
	}
}

// Guards against a second run by a concurrent call, a run that is aborted because the first caller disconnects, and a result
// that is returned to a different request with the same id.
func TestConcurrentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestCluster(1).hosts["h0"].claimer
		req := Request{Workspace: "w", ID: newID(epoch, 1), Digest: "d"}
		ctx, cancelFirst := context.WithCancel(context.Background())
		release := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			c.Do(ctx, req, func(ctx context.Context) Result {
				<-release
				if ctx.Err() != nil {
					t.Error("run was aborted")
				}
				return Result{Body: []byte("first")}
			})
		})
		synctest.Wait()
		cancelFirst()
		wg.Go(func() {
			if res := doRequest(c, context.Background(), req, "second"); string(res.Body) != "first" {
				t.Errorf("concurrent call got %+v", res)
			}
		})
		res := doRequest(c, ctx, req, "third") // its context has ended
		is.Equal(res.Error.Outcome, model.OutcomeUnknown)
		synctest.Wait()
		close(release)
		wg.Wait()
		req.Digest = "other"
		is.Equal(doRequest(c, context.Background(), req, "x").Error.Kind, model.ErrorKindConflict)
	})
}

// Guards against stored results that exceed the limits, and against a second run of a request whose result was dropped.
func TestBoundedResults(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(1)
	h := tc.hosts["h0"]
	h.claimer = New(Options{Host: "h0", Appender: h, Index: h, Results: tc, MaxBytes: 3 * entryOverheadBytes, Now: func() time.Time { return tc.now }})
	for i := range 10 {
		is.Equal(doRequest(h.claimer, context.Background(), Request{ID: newID(epoch, i)}, "x").Error, nil)
	}
	is.Equal(len(h.claimer.results.entries), 2) // two results with a body of one byte fit
	res := doRequest(h.claimer, context.Background(), Request{ID: newID(epoch, 0)}, "again")
	is.Equal(res.Error.Outcome, model.OutcomeUnknown)
	tc.now = epoch.Add(time.Hour)
	h.claimer.results.prune(tc.now, 0)
	is.Equal(len(h.claimer.results.entries), 0)
	is.Equal(h.claimer.results.bytes, model.Bytes(0))
}

// Guards against telling a caller to retry with the same request id after the runner has refused the request: the claim stays
// in the log, so each retry with this id gets the same refusal.
func TestIDUnusableAfterRunnerRefusal(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(2)
	req := Request{ID: newID(epoch, 1)}
	first := tc.hosts["h0"].claimer.Do(context.Background(), req, func(context.Context) Result {
		return Result{Error: notRunError(model.ErrorKindOverloaded, "full", "retry later")}
	})
	is.Equal(first.Error.Remedy, unusableIDRemedy)
	req.IsRetry = true
	for _, h := range tc.hosts {
		h.applied = 1
		is.Equal(doRequest(h.claimer, context.Background(), req, "x").Error, first.Error) // also certain for retries
	}
}

// Guards against a host that returns its refusal as the result of a claim of its earlier process: the request ran before the
// restart, and the new process refused a retry during a log outage.
func TestRefusalIsNotResultOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(2)
	req := Request{ID: newID(epoch, 1)}
	is.Equal(doRequest(tc.hosts["h0"].claimer, context.Background(), req, "x").Error, nil)
	tc.restart("h0")
	tc.hosts["h0"].nextFault = "request-lost"
	doRequest(tc.hosts["h0"].claimer, context.Background(), req, "x") // the caller does not mark this call as a retry
	tc.hosts["h0"].applied, tc.hosts["h1"].applied = 1, 1
	is.Equal(doRequest(tc.hosts["h1"].claimer, context.Background(), req, "x").Error.Outcome, model.OutcomeUnknown)
}
