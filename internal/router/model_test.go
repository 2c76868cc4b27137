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

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

// attempt is a request at a fake runner, which answers when the test says so.
type attempt struct {
	host   model.HostID
	req    runnerclient.Request
	ctx    context.Context
	answer chan reply
}

// reply ends an attempt: with an error, or else with the request's id as body.
type reply struct {
	err       error
	freeSlots int
}

type fakeSender struct {
	host    model.HostID
	started chan *attempt
}

func (s fakeSender) Send(ctx context.Context, req runnerclient.Request) (runnerclient.Answer, error) {
	a := &attempt{host: s.host, req: req, ctx: ctx, answer: make(chan reply)}
	s.started <- a
	r := <-a.answer
	return runnerclient.Answer{Body: []byte(req.ID), Status: runnerclient.Status{FreeSlots: r.freeSlots}}, r.err
}

func (fakeSender) SetMaxConns(int) {}
func (fakeSender) Close()          {}

// bench drives a task by hand, so that neither clocks nor the order of goroutines matter.
type bench struct {
	*task
	now     time.Time
	started chan *attempt
	open    []*attempt

	freeSlots int // that the runners state
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

func newBench(o Options) *bench {
	b := &bench{now: time.Now(), started: make(chan *attempt), freeSlots: -1}
	if o.Hooks.OnViolation == nil {
		o.Hooks.OnViolation = (&asserter.Asserter{PanicOnViolation: true}).RecordViolation
	}
	o.Domain, o.Region, o.LinkBytesPerSecond = "d1", "r1", cmp.Or(o.LinkBytesPerSecond, 1_000_000)
	o.Dial = func(h hostclient.Host, _ runnerclient.Options) Sender { return fakeSender{h.ID, b.started} }
	b.task = &task{
		opts: o, rng: rand.New(rand.NewPCG(1, 0)), runCtx: context.Background(), done: make(chan finished),
		services: map[model.ServiceID]*service{}, budgets: map[model.WorkspaceID]*limiter.RetryBudget{},
		link: limiter.NewByteBudget(o.LinkBytesPerSecond),
	}
	b.setConfig(config(), b.now)
	b.setShare(0, 1, b.now)
	return b
}

// collect waits for the attempts that the task has started.
func (b *bench) collect() {
	for len(b.open) < b.inFlight {
		b.open = append(b.open, <-b.started)
	}
	slices.SortFunc(b.open, func(x, y *attempt) int { return cmp.Compare(x.req.ID, y.req.ID) })
}

func (b *bench) add(id string, idempotent bool, ttl time.Duration) *call {
	c := &call{reply: make(chan result, 2), req: Request{
		ID: model.RequestID(id), Service: "s", Workspace: "w", Caller: "x", Idempotent: idempotent, Body: []byte("body"), Deadline: b.now.Add(ttl),
	}}
	b.submit(c, b.now)
	b.collect()
	return c
}

// complete ends an attempt; a nil error answers it.
func (b *bench) complete(a *attempt, err error) {
	b.open = slices.DeleteFunc(b.open, func(o *attempt) bool { return o == a })
	a.answer <- reply{err, b.freeSlots}
	b.finish(<-b.done, b.now)
	b.collect()
}

var (
	errRefused = &runnerclient.Error{NotRun: true, BytesSent: true, Status: runnerclient.Status{FreeSlots: 0}, Err: errors.New("refused")}
	errLeaving = &runnerclient.Error{NotRun: true, BytesSent: true, Status: runnerclient.Status{FreeSlots: -1, Leaving: true}, Err: errors.New("leaving")}
	errUnsent  = &runnerclient.Error{NotRun: true, Status: runnerclient.Status{FreeSlots: -1}, Err: errors.New("no connection")}
	errUnknown = &runnerclient.Error{BytesSent: true, Status: runnerclient.Status{FreeSlots: -1}, Err: errors.New("closed early")}
)

// Guards against slots that are exceeded or never freed, work for runners that leave, late or repeated sending, and
// calls that end twice, never, with the answer of another or with not-run although they may have run.
func TestTaskAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(Options{Limits: queuer.Limits{Total: 6, Workspace: 6, Class: 6, Caller: 6}})
		table := []hostclient.Host{runnerAt("a", "d1", "r1"), runnerAt("b", "d2", "r1"), runnerAt("c", "d3", "r2")}
		b.setRunners(table, b.now)
		type history struct {
			call           *call
			sends          int
			written, mayBe bool // of attempts that have ended
			replied        bool
		}
		calls, seen := map[model.RequestID]*history{}, map[*attempt]bool{}
		var order []*history
		check := func(t *rapid.T) {
			waiting := 0
			for _, s := range b.services {
				waiting += s.waiting()
			}
			if b.accepted != waiting+b.inFlight || b.inFlight != len(b.open) {
				t.Fatalf("accepted %d, waiting %d, in progress %d, open %d", b.accepted, waiting, b.inFlight, len(b.open))
			}
			for _, a := range b.open {
				if seen[a] {
					continue
				}
				seen[a] = true
				h, r := calls[a.req.ID], b.services["s"].runners[a.host]
				h.sends++
				switch {
				case r == nil || r.leaving || r.inFlight > r.share:
					t.Fatalf("request sent to runner %s: %+v", a.host, r)
				case !b.now.Before(a.req.Deadline) || h.replied || h.sends > maxAttempts:
					t.Fatalf("request %s sent late or %d times", a.req.ID, h.sends)
				case !h.call.req.Idempotent && h.written:
					t.Fatalf("non-idempotent request %s sent again after its first byte", a.req.ID)
				}
			}
			for _, h := range order {
				select {
				case res := <-h.call.reply:
					id := h.call.req.ID
					open := slices.ContainsFunc(b.open, func(a *attempt) bool { return a.req.ID == id })
					switch {
					case h.replied || open:
						t.Fatalf("request %s ended twice or while in progress", id)
					case res.err == nil && string(res.answer.Body) != string(id):
						t.Fatalf("request %s got the answer %q", id, res.answer.Body)
					case res.err != nil && (res.err.Outcome == model.OutcomeNotRun) == h.mayBe:
						t.Fatalf("request %s was told %v, may have run: %v", id, res.err, h.mayBe)
					}
					h.replied = true
				default:
				}
			}
		}
		settle := func() { // what the timer of Run does
			for _, s := range b.services {
				b.dispatch(s, b.now)
			}
			b.collect()
		}
		complete := func(a *attempt, err error) {
			var e *runnerclient.Error
			h := calls[a.req.ID]
			h.written = h.written || !errors.As(err, &e) || e.BytesSent
			h.mayBe = h.mayBe || !runnerclient.NotRun(err)
			b.complete(a, err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := fmt.Sprintf("%04d", len(order))
				h := &history{}
				calls[model.RequestID(id)], order = h, append(order, h)
				h.call = b.add(id, rapid.Bool().Draw(t, "idempotent"), time.Duration(rapid.IntRange(1, 5000).Draw(t, "ttl"))*time.Millisecond)
			},
			"complete": func(t *rapid.T) {
				if len(b.open) > 0 {
					b.freeSlots = rapid.IntRange(-1, 5).Draw(t, "free")
					complete(rapid.SampledFrom(b.open).Draw(t, "attempt"), rapid.SampledFrom([]error{nil, nil, errRefused, errLeaving, errUnsent, errUnknown}).Draw(t, "end"))
				}
			},
			"cancel": func(t *rapid.T) {
				if len(order) > 0 {
					b.cancel(rapid.SampledFrom(order).Draw(t, "call").call)
				}
			},
			"time": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				settle()
			},
			"share": func(t *rapid.T) {
				hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
				b.setShare(rapid.IntRange(0, hosts-1).Draw(t, "rank"), hosts, b.now)
				b.collect()
			},
			"runners": func(t *rapid.T) {
				hosts := slices.Clone(table[:rapid.IntRange(0, len(table)).Draw(t, "listed")])
				for i := range hosts {
					hosts[i].State = rapid.SampledFrom([]hostclient.State{hostclient.StateLive, hostclient.StateLeaving}).Draw(t, "state")
				}
				b.setRunners(hosts, b.now)
				b.collect()
			},
			"config": func(t *rapid.T) {
				set := config()
				if rapid.Bool().Draw(t, "removed") {
					delete(set.Services, "s")
				}
				b.setConfig(set, b.now)
				b.collect()
			},
			"": check,
		})
		for b.now = b.now.Add(time.Minute); len(b.open) > 0; {
			complete(b.open[0], nil)
			check(t)
		}
		settle()
		check(t)
		for _, h := range order {
			if !h.replied {
				t.Fatalf("request %s has no end", h.call.req.ID)
			}
		}
		if b.accepted != 0 || b.inFlight != 0 {
			t.Fatalf("%d accepted and %d in progress at the end", b.accepted, b.inFlight)
		}
	})
}

// Guards against slots given out twice or to nobody when all entry hosts agree on membership.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, hosts := rapid.IntRange(0, 64).Draw(t, "n"), rapid.IntRange(1, 40).Draw(t, "hosts")
		id := model.HostID(rapid.String().Draw(t, "id"))
		sum := 0
		for rank := range hosts {
			share := shareOf(id, n, rank, hosts)
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
