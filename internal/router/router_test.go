package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func (b *bench) openAt(host model.HostID) (as []*attempt) {
	for _, a := range b.open {
		if a.host == host {
			as = append(as, a)
		}
	}
	return as
}

// Guards against traffic over longer or paid links while a nearer runner is free, and beyond the link budget.
func TestNearestFirstWithinLinkBudget(t *testing.T) {
	is := is.New(t)
	var link model.Bytes
	b := newBench(Options{
		LinkBytesPerSecond: 10, // a burst of 2 bytes, so that one request exhausts it
		Hooks:              Hooks{OnLinkBytes: func(_ model.WorkspaceID, _ model.ClassID, n model.Bytes) { link += n }},
	})
	b.setRunners([]hostclient.Host{runnerAt("own", "d1", "r1"), runnerAt("near", "d2", "r1"), runnerAt("far", "d3", "r2")}, b.now)
	for i := range 9 {
		b.add(fmt.Sprint(i), true, time.Hour)
		is.Equal(len(b.openAt("own")), min(i+1, 5))
		is.Equal(len(b.openAt("near")), min(max(i-4, 0), 1)) // another domain's runner, whose free slots are not known
		is.Equal(len(b.openAt("far")), min(max(i-5, 0), 1))
	}
	is.Equal(link, model.Bytes(4))
	wake := b.services["s"].wake(b.task, b.now)
	is.True(wake.After(b.now) && wake.Before(b.now.Add(time.Second))) // the timer waits for the link, not for a deadline
	b.now = wake
	b.dispatch(b.services["s"], b.now)
	b.collect()
	is.Equal(len(b.openAt("far")), 1) // the link is ready, the one request to find out is in progress
	b.freeSlots = 4
	b.complete(b.openAt("far")[0], nil)
	is.Equal(len(b.openAt("far")), 1) // three slots may be used, the link pays for one
	is.Equal(link, model.Bytes(4+1+4))
	b.complete(b.openAt("near")[0], nil)
	is.Equal(len(b.openAt("near")), 1) // the last one that waited
	for i := range 5 {
		b.add(fmt.Sprint(9+i), true, time.Hour)
	}
	is.Equal(len(b.openAt("near")), 3) // of the four free ones, one is left to the runner's own domain
}

// Guards against a long back-off from a runner that is merely full, and a short one from a runner that fails.
func TestRefusalsBackOffBriefly(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{})
	refusing, failing := &runner{}, &runner{}
	for range 20 {
		b.now = b.now.Add(time.Hour)
		refusing.failed(errRefused.Status, true, b.now, b.now, b.rng)
		failing.failed(errUnknown.Status, false, b.now, b.now, b.rng)
	}
	is.True(refusing.retryAt.Sub(b.now) <= refusalMax)
	is.True(failing.retryAt.Sub(b.now) >= backoffMax/2)
}

// Guards against a slow or failing runner that gets its full share of the work, and against one that is never
// tried again.
func TestSlowAndFailingRunnersAreAvoided(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{})
	b.setRunners([]hostclient.Host{runnerAt("fast", "d1", "r1"), runnerAt("slow", "d1", "r1"), runnerAt("bad", "d1", "r1")}, b.now)
	got := map[model.HostID]int{}
	for i := range 300 {
		b.add(fmt.Sprint(i), true, time.Hour)
		a := b.open[0]
		got[a.host]++
		switch a.host {
		case "slow":
			b.now = b.now.Add(100 * time.Millisecond)
		default:
			b.now = b.now.Add(10 * time.Millisecond)
		}
		if a.host == "bad" {
			b.complete(a, errUnknown)
			if len(b.open) > 0 { // the retry goes elsewhere
				is.True(b.open[0].host != "bad")
				b.complete(b.open[0], nil)
			}
			continue
		}
		b.complete(a, nil)
	}
	is.True(got["fast"] > 2*got["slow"]) // an even choice between two would pick slow as often as fast
	is.True(got["bad"] > 1)              // trials
	is.True(got["bad"] < 12)             // 100 ms doubled each time, for some 6 s of work
	bad := b.services["s"].runners["bad"]
	b.now = b.now.Add(backoffMax)
	is.Equal(bad.free(b.now), 1) // of 5 slots, for one trial
}

// Guards against retries that add more than their budget to the load of runners that fail everything.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	is := is.New(t)
	retries := 0
	b := newBench(Options{Hooks: Hooks{OnRetry: func(model.WorkspaceID, model.ClassID) { retries++ }}})
	for i := range 8 {
		b.hostList = append(b.hostList, runnerAt(fmt.Sprint(i), "d1", "r1"))
	}
	b.setRunners(b.hostList, b.now)
	const requests = 200
	for i := range requests {
		b.add(fmt.Sprint(i), true, time.Hour)
		for len(b.open) > 0 {
			b.complete(b.open[0], errUnknown)
		}
		for _, r := range b.services["s"].runners {
			r.retryAt = time.Time{} // without the back-off, which alone would keep the retries low
		}
	}
	is.True(retries > 10)
	is.True(retries <= requests/10+3)
}

// Guards against a drain that loses accepted requests or accepts new ones, and a stop that leaves callers waiting.
func TestDrainAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := make(chan *attempt, 10)
		r := New(Options{Domain: "d1", Dial: func(h hostclient.Host, _ runnerclient.Options) Sender { return fakeSender{h.ID, started} }})
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- r.Run(ctx) }()
		do := func(id string, ctx context.Context, idempotent bool) chan error {
			ch := make(chan error, 1)
			go func() {
				_, err := r.Do(ctx, Request{ID: model.RequestID(id), Service: "s", Workspace: "w", Idempotent: idempotent, Deadline: time.Now().Add(time.Minute)})
				ch <- err
			}()
			synctest.Wait()
			return ch
		}
		outcome := func(err error) model.Outcome {
			var e *model.Error
			if !errors.As(err, &e) {
				return model.OutcomeAnswered
			}
			return e.Outcome
		}
		is.Equal(outcome(<-do("early", ctx, true)), model.OutcomeNotRun)
		r.SetConfig(config())
		r.SetRunners([]hostclient.Host{runnerAt("a", "d1", "r1")})
		r.SetRank(0, 5) // one slot
		caller, leave := context.WithCancel(ctx)
		running := do("running", caller, false)
		left := do("left", caller, true)
		patient, giveUp := context.WithCancel(ctx)
		queued := do("queued", patient, true)
		is.Equal(r.Load(), Load{Queued: 2, InFlight: 1})
		leave()
		is.Equal(outcome(<-left), model.OutcomeNotRun)
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(ctx) }()
		synctest.Wait()
		is.Equal(outcome(<-do("refused", ctx, true)), model.OutcomeNotRun)
		is.Equal(len(drained), 0)
		a := <-started
		is.NoErr(a.ctx.Err()) // its caller left, but it is not idempotent
		a.answer <- reply{}
		is.NoErr(<-running)
		a = <-started
		expired := do("late", ctx, true)
		is.Equal(outcome(<-expired), model.OutcomeNotRun)
		giveUp()
		<-a.ctx.Done()
		is.Equal(a.ctx.Err(), context.Canceled) // it is idempotent, so its slot is freed before the deadline
		a.answer <- reply{err: a.ctx.Err()}
		is.Equal(outcome(<-queued), model.OutcomeUnknown)
		is.NoErr(<-drained)
		stop()
		is.NoErr(<-stopped)
		is.Equal(outcome(<-do("after", ctx, true)), model.OutcomeNotRun)
	})
}

// Guards against deadlines that nobody watches while requests wait, and against an aborted request told as not-run.
func TestDeadlinesAndAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dial := func(hostclient.Host, runnerclient.Options) Sender { return frozenSender{} }
		r := New(Options{Domain: "d1", Dial: dial})
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		r.SetConfig(config())
		r.SetRunners([]hostclient.Host{runnerAt("a", "d1", "r1")})
		r.SetRank(0, 5)
		start := time.Now()
		ends := make(chan string, 3)
		for i := range 3 {
			go func() {
				_, err := r.Do(ctx, Request{ID: model.RequestID(fmt.Sprint(i)), Service: "s", Workspace: "w", Deadline: start.Add(time.Duration(3-i) * time.Second)})
				var e *model.Error
				errors.As(err, &e)
				ends <- fmt.Sprint(i, " ", e.Outcome, " ", time.Since(start))
			}()
			synctest.Wait()
		}
		is.Equal(<-ends, "2 not-run 1s") // queued behind the one slot
		is.Equal(<-ends, "1 not-run 2s")
		stop()
		is.Equal(<-ends, "0 unknown 2s") // in progress
		synctest.Wait()
	})
}

// frozenSender never answers.
type frozenSender struct{ fakeSender }

func (frozenSender) Send(ctx context.Context, _ runnerclient.Request) (runnerclient.Answer, error) {
	<-ctx.Done()
	return runnerclient.Answer{}, ctx.Err()
}

// Guards against parts that work alone but not together: real connections, a runner that refuses, one that answers.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	runner := func(id string, h http.HandlerFunc) hostclient.Host {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		host := runnerAt(id, "d1", "r1")
		host.Addr = strings.TrimPrefix(s.URL, "http://")
		return host
	}
	refuses := runner("refuses", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	echoes := runner("echoes", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		io.Copy(w, req.Body)
	})
	r := New(Options{Domain: "d1", Seed: 1})
	go r.Run(t.Context())
	r.SetConfig(config())
	r.SetRank(0, 1)
	r.SetRunners([]hostclient.Host{refuses, echoes})
	for i := range 20 {
		id := fmt.Sprint(i)
		ans, err := r.Do(t.Context(), Request{ID: model.RequestID(id), Service: "s", Workspace: "w", Idempotent: true, Body: []byte(id), Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		is.Equal(string(ans.Body), id)
		is.Equal(ans.Runner, model.HostID("echoes"))
	}
}
