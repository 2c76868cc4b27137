package router

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/limiter"
	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Fixes the seed of the property tests, so that failures are reproducible. A -rapid.seed flag overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// attempt is a request in progress at a fake runner; the test ends it with a response.
type attempt struct {
	host      model.HostID
	req       runnerclient.Request
	ctx       context.Context
	responses chan fakeResponse
}

// fakeResponse ends an attempt with an error or, if err is nil, with a response that has the request id as body.
type fakeResponse struct {
	err       error
	freeSlots int
}

// fakeSender passes each request to the test, which determines the response.
type fakeSender struct {
	host    model.HostID
	started chan *attempt
}

func (s fakeSender) Send(ctx context.Context, req runnerclient.Request) (runnerclient.Response, error) {
	a := &attempt{host: s.host, req: req, ctx: ctx, responses: make(chan fakeResponse)}
	s.started <- a
	r := <-a.responses
	return runnerclient.Response{Body: []byte(req.ID), Status: runnerclient.Status{FreeSlots: r.freeSlots}}, r.err
}

func (fakeSender) SetMaxConns(int) {}
func (fakeSender) Close()          {}

// fixture calls the functions of an event loop directly, so that tests depend neither on clocks nor on goroutine scheduling.
type fixture struct {
	*eventLoop
	now             time.Time
	startedAttempts chan *attempt
	inProgress      []*attempt

	freeSlots int // number of free slots that the fake runners report, -1 for none
}

func config() *model.ConfigSet {
	return &model.ConfigSet{
		Workspaces: map[model.WorkspaceID]model.Workspace{"w": {}},
		Classes:    map[model.ClassID]model.Class{"c": {Urgency: model.UrgencyUrgent}, "b": {Urgency: model.UrgencyBatch}},
		Services: map[model.ServiceID]model.Service{"s": {
			Workspaces: []model.WorkspaceID{"w"}, Classes: []model.ClassID{"c", "b"}, SlotsPerRunner: 5, ConnectionsPerRunner: 8,
		}},
	}
}

func runnerAt(id string, domain model.DomainID, region model.RegionID) hostclient.Host {
	return hostclient.Host{
		ID: model.HostID(id), Role: hostclient.RoleRunner, Addr: id, Domain: domain,
		Region: region, Service: "s", State: hostclient.StateLive,
	}
}

func newFixture(o Options) *fixture {
	f := &fixture{now: time.Now(), startedAttempts: make(chan *attempt), freeSlots: -1}
	if o.Hooks.OnViolation == nil {
		o.Hooks.OnViolation = (&asserter.Asserter{PanicOnViolation: true}).RecordViolation
	}
	o.Domain, o.Region, o.LinkBytesPerSecond = "d1", "r1", cmp.Or(o.LinkBytesPerSecond, 1_000_000)
	o.NewSender = func(h hostclient.Host, _ runnerclient.Options) Sender { return fakeSender{h.ID, f.startedAttempts} }
	f.eventLoop = &eventLoop{
		opts: o, rng: rand.New(rand.NewPCG(1, 0)), attemptCtx: context.Background(), attemptDone: make(chan attemptResult),
		services: map[model.ServiceID]*service{}, retryBudgets: map[model.WorkspaceID]*limiter.RetryBudget{},
		linkBudget: limiter.NewByteBudget(o.LinkBytesPerSecond),
	}
	f.setConfig(config(), f.now)
	f.setHostIndex(0, 1, f.now)
	return f
}

// collectStarted waits until the fake runners have received all attempts in progress, and adds them to inProgress.
func (f *fixture) collectStarted() {
	for len(f.inProgress) < f.inFlight {
		f.inProgress = append(f.inProgress, <-f.startedAttempts)
	}
	slices.SortFunc(f.inProgress, func(x, y *attempt) int { return cmp.Compare(x.req.ID, y.req.ID) })
}

func (f *fixture) submitNew(id string, idempotent bool, ttl time.Duration) *call {
	c := &call{results: make(chan result, 2), req: Request{
		ID: model.RequestID(id), Service: "s", Workspace: "w", Caller: "x", Idempotent: idempotent, Body: []byte("body"), Deadline: f.now.Add(ttl),
	}}
	f.submit(c, f.now)
	f.collectStarted()
	return c
}

// completeAttempt ends an attempt with err or, if err is nil, with a response.
func (f *fixture) completeAttempt(a *attempt, err error) {
	f.inProgress = slices.DeleteFunc(f.inProgress, func(o *attempt) bool { return o == a })
	a.responses <- fakeResponse{err, f.freeSlots}
	f.finishAttempt(<-f.attemptDone, f.now)
	f.collectStarted()
}

var (
	errRefused = &runnerclient.Error{NotRun: true, MayHaveSent: true, Status: runnerclient.Status{FreeSlots: 0}, Err: errors.New("refused")}
	errLeaving = &runnerclient.Error{NotRun: true, MayHaveSent: true, Status: runnerclient.Status{FreeSlots: -1, Leaving: true}, Err: errors.New("leaving")}
	errNotSent = &runnerclient.Error{NotRun: true, Status: runnerclient.Status{FreeSlots: -1}, Err: errors.New("no connection")}
	errUnknown = &runnerclient.Error{MayHaveSent: true, Status: runnerclient.Status{FreeSlots: -1}, Err: errors.New("closed early")}
)

// Guards against exceeded or leaked slots, requests sent to leaving runners or after their deadline, non-idempotent requests
// sent twice, and calls that never end, end twice, get the response of another call or are reported as not-run although
// they may have run.
func TestEventLoopAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(Options{Limits: queuer.Limits{Total: 6, Workspace: 6, Class: 6, Caller: 6}})
		runnerList := []hostclient.Host{runnerAt("a", "d1", "r1"), runnerAt("b", "d2", "r1"), runnerAt("c", "d3", "r2")}
		f.setRunners(runnerList, f.now)
		type history struct {
			call                    *call
			sends                   int
			mayHaveSent, mayHaveRun bool // true if they are for any attempt that has ended
			hasEnded                bool
		}
		calls, seen := map[model.RequestID]*history{}, map[*attempt]bool{}
		var order []*history
		checkCalls := func(t *rapid.T) {
			waiting := 0
			for _, s := range f.services {
				waiting += s.waitingCount()
			}
			if f.acceptedCalls != waiting+f.inFlight || f.inFlight != len(f.inProgress) {
				t.Fatalf("accepted %d, waiting %d, in flight %d, at runners %d", f.acceptedCalls, waiting, f.inFlight, len(f.inProgress))
			}
			for _, a := range f.inProgress {
				if seen[a] {
					continue
				}
				seen[a] = true
				h, r := calls[a.req.ID], f.services["s"].runners[a.host]
				h.sends++
				switch {
				case r == nil || r.isLeaving || r.inFlight > r.ownSlots:
					t.Fatalf("request sent to runner %s: %+v", a.host, r)
				case !f.now.Before(a.req.Deadline) || h.hasEnded || h.sends > maxAttempts:
					t.Fatalf("request %s sent late or %d times", a.req.ID, h.sends)
				case !h.call.req.Idempotent && h.mayHaveSent:
					t.Fatalf("non-idempotent request %s sent again after its first byte", a.req.ID)
				}
			}
			for _, h := range order {
				select {
				case res := <-h.call.results:
					id := h.call.req.ID
					isInProgress := slices.ContainsFunc(f.inProgress, func(a *attempt) bool { return a.req.ID == id })
					switch {
					case h.hasEnded || isInProgress:
						t.Fatalf("request %s ended twice or while in progress", id)
					case res.err == nil && string(res.response.Body) != string(id):
						t.Fatalf("request %s got the response %q", id, res.response.Body)
					case res.err != nil && (res.err.Outcome == model.OutcomeNotRun) == h.mayHaveRun:
						t.Fatalf("request %s was reported as %v, may have run: %v", id, res.err, h.mayHaveRun)
					}
					h.hasEnded = true
				default:
				}
			}
		}
		dispatchAll := func() { // does what the timer of Run does
			for _, s := range f.services {
				f.dispatch(s, f.now)
			}
			f.collectStarted()
		}
		complete := func(a *attempt, err error) {
			var e *runnerclient.Error
			h := calls[a.req.ID]
			h.mayHaveSent = h.mayHaveSent || !errors.As(err, &e) || e.MayHaveSent
			h.mayHaveRun = h.mayHaveRun || !runnerclient.IsNotRun(err)
			f.completeAttempt(a, err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := fmt.Sprintf("%04d", len(order))
				h := &history{}
				calls[model.RequestID(id)], order = h, append(order, h)
				h.call = f.submitNew(id, rapid.Bool().Draw(t, "idempotent"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "ttl"))*time.Millisecond)
			},
			"complete": func(t *rapid.T) {
				if len(f.inProgress) > 0 {
					f.freeSlots = rapid.IntRange(-1, 5).Draw(t, "free")
					complete(rapid.SampledFrom(f.inProgress).Draw(t, "attempt"), rapid.SampledFrom([]error{nil, nil, errRefused, errLeaving, errNotSent, errUnknown}).Draw(t, "end"))
				}
			},
			"cancel": func(t *rapid.T) {
				if len(order) > 0 {
					f.cancel(rapid.SampledFrom(order).Draw(t, "call").call)
				}
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				dispatchAll()
			},
			"share": func(t *rapid.T) {
				hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
				f.setHostIndex(rapid.IntRange(0, hosts-1).Draw(t, "host index"), hosts, f.now)
				f.collectStarted()
			},
			"runners": func(t *rapid.T) {
				hosts := slices.Clone(runnerList[:rapid.IntRange(0, len(runnerList)).Draw(t, "listed")])
				for i := range hosts {
					hosts[i].State = rapid.SampledFrom([]hostclient.State{hostclient.StateLive, hostclient.StateLeaving}).Draw(t, "state")
				}
				f.setRunners(hosts, f.now)
				f.collectStarted()
			},
			"config": func(t *rapid.T) {
				set := config()
				if rapid.Bool().Draw(t, "removed") {
					delete(set.Services, "s")
				}
				f.setConfig(set, f.now)
				f.collectStarted()
			},
			"": checkCalls,
		})
		for f.now = f.now.Add(time.Minute); len(f.inProgress) > 0; {
			complete(f.inProgress[0], nil)
			checkCalls(t)
		}
		dispatchAll()
		checkCalls(t)
		for _, h := range order {
			if !h.hasEnded {
				t.Fatalf("request %s never ended", h.call.req.ID)
			}
		}
		if f.acceptedCalls != 0 || f.inFlight != 0 {
			t.Fatalf("%d accepted and %d in progress at the end", f.acceptedCalls, f.inFlight)
		}
	})
}

// Guards against slots that belong to the shares of two hosts or of none although all entry hosts agree on the membership.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, hosts := rapid.IntRange(0, 64).Draw(t, "n"), rapid.IntRange(1, 40).Draw(t, "hosts")
		id := model.HostID(rapid.String().Draw(t, "id"))
		sum := 0
		for hostIndex := range hosts {
			share := shareOf(id, n, hostIndex, hosts)
			if share < n/hosts || share > n/hosts+1 {
				t.Fatalf("share %d of %d among %d", share, n, hosts)
			}
			sum += share
		}
		if sum != n {
			t.Fatalf("shares add up to %d of %d", sum, n)
		}
	})
}
