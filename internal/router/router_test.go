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

func (f *fixture) inProgressAt(host model.HostID) (attempts []*attempt) {
	for _, a := range f.inProgress {
		if a.host == host {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// Guards against requests sent over longer or paid links while a nearer runner is free, or beyond the link budget.
func TestNearestFirstWithinLinkBudget(t *testing.T) {
	is := is.New(t)
	var linkBytes model.Bytes
	f := newFixture(Options{
		LinkBytesPerSecond: 10, // a burst of 2 bytes, which one request exceeds
		Hooks:              Hooks{OnLinkBytes: func(_ model.WorkspaceID, _ model.ClassID, n model.Bytes) { linkBytes += n }},
	})
	f.setRunners([]hostclient.Host{runnerAt("own", "d1", "r1"), runnerAt("near", "d2", "r1"), runnerAt("far", "d3", "r2")}, f.now)
	for i := range 9 {
		f.submitNew(fmt.Sprint(i), true, time.Hour)
		is.Equal(len(f.inProgressAt("own")), min(i+1, 5))
		is.Equal(len(f.inProgressAt("near")), min(max(i-4, 0), 1)) // one request, as the number of free slots is unknown
		is.Equal(len(f.inProgressAt("far")), min(max(i-5, 0), 1))
	}
	is.Equal(linkBytes, model.Bytes(4))
	wakeup := f.services["s"].nextWakeup(f.eventLoop, f.now)
	is.True(wakeup.After(f.now) && wakeup.Before(f.now.Add(time.Second))) // the timer is set for the link budget, not for a deadline
	f.now = wakeup
	f.dispatch(f.services["s"], f.now)
	f.collectStarted()
	is.Equal(len(f.inProgressAt("far")), 1) // the link is ready, but a runner with an unknown number of free slots gets one request
	f.freeSlots = 4
	f.completeAttempt(f.inProgressAt("far")[0], nil)
	is.Equal(len(f.inProgressAt("far")), 1) // three slots are available, but the link budget allows one request
	is.Equal(linkBytes, model.Bytes(4+1+4))
	f.completeAttempt(f.inProgressAt("near")[0], nil)
	is.Equal(len(f.inProgressAt("near")), 1) // the last waiting request
	for i := range 5 {
		f.submitNew(fmt.Sprint(9+i), true, time.Hour)
	}
	is.Equal(len(f.inProgressAt("near")), 3) // one of the four free slots is left for the hosts of the runner's own domain
}

// Guards against a long backoff from a runner that only refuses requests because it is full, and against a short backoff from
// a runner that fails.
func TestRefusalBackoff(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{})
	refusing, failing := &runner{}, &runner{}
	for range 20 {
		f.now = f.now.Add(time.Hour)
		refusing.recordFailure(errRefused.Status, true, f.now, f.now, f.rng)
		failing.recordFailure(errUnknown.Status, false, f.now, f.now, f.rng)
	}
	is.True(refusing.retryAt.Sub(f.now) <= refusalBackoffMax)
	is.True(failing.retryAt.Sub(f.now) >= backoffMax/2)
}

// Guards against a slow or failing runner that gets as many requests as the others, and against a failing one that is never
// tried again.
func TestSlowAndFailingRunnersAreAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(Options{})
	f.setRunners([]hostclient.Host{runnerAt("fast", "d1", "r1"), runnerAt("slow", "d1", "r1"), runnerAt("bad", "d1", "r1")}, f.now)
	got := map[model.HostID]int{}
	for i := range 300 {
		f.submitNew(fmt.Sprint(i), true, time.Hour)
		a := f.inProgress[0]
		got[a.host]++
		switch a.host {
		case "slow":
			f.now = f.now.Add(100 * time.Millisecond)
		default:
			f.now = f.now.Add(10 * time.Millisecond)
		}
		if a.host == "bad" {
			f.completeAttempt(a, errUnknown)
			if len(f.inProgress) > 0 { // the retry goes to another runner
				is.True(f.inProgress[0].host != "bad")
				f.completeAttempt(f.inProgress[0], nil)
			}
			continue
		}
		f.completeAttempt(a, nil)
	}
	is.True(got["fast"] > 2*got["slow"]) // if slowness were ignored, slow would be chosen as often as fast
	is.True(got["bad"] > 1)              // trial requests
	is.True(got["bad"] < 12)             // backoff doubles from 100 ms over about 6 s of requests
	bad := f.services["s"].runners["bad"]
	f.now = f.now.Add(backoffMax)
	is.Equal(bad.freeSlots(f.now), 1) // one trial request, although the runner has 5 slots
}

// Guards against retries beyond the retry budget when every runner fails.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	is := is.New(t)
	retries := 0
	f := newFixture(Options{Hooks: Hooks{OnRetry: func(model.WorkspaceID, model.ClassID) { retries++ }}})
	for i := range 8 {
		f.hostList = append(f.hostList, runnerAt(fmt.Sprint(i), "d1", "r1"))
	}
	f.setRunners(f.hostList, f.now)
	const requests = 200
	for i := range requests {
		f.submitNew(fmt.Sprint(i), true, time.Hour)
		for len(f.inProgress) > 0 {
			f.completeAttempt(f.inProgress[0], errUnknown)
		}
		for _, r := range f.services["s"].runners {
			r.retryAt = time.Time{} // disables the backoff, which alone would keep the retries low
		}
	}
	is.True(retries > 10)
	is.True(retries <= requests/10+3)
}

// Guards against a drain that loses accepted requests or accepts new ones, and against a stop that leaves callers waiting.
func TestDrainAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := make(chan *attempt, 10)
		r := New(Options{Domain: "d1", NewSender: func(h hostclient.Host, _ runnerclient.Options) Sender { return fakeSender{h.ID, started} }})
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
		r.SetHostIndex(0, 5) // gives this host one slot
		callerCtx, cancelCaller := context.WithCancel(ctx)
		running := do("running", callerCtx, false)
		cancelled := do("left", callerCtx, true)
		queuedCtx, cancelQueued := context.WithCancel(ctx)
		queued := do("queued", queuedCtx, true)
		is.Equal(r.Load(), Load{Queued: 2, InFlight: 1})
		cancelCaller()
		is.Equal(outcome(<-cancelled), model.OutcomeNotRun)
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(ctx) }()
		synctest.Wait()
		is.Equal(outcome(<-do("refused", ctx, true)), model.OutcomeNotRun)
		is.Equal(len(drained), 0)
		a := <-started
		is.NoErr(a.ctx.Err()) // its caller left, but the request is not idempotent
		a.responses <- fakeResponse{}
		is.NoErr(<-running)
		a = <-started
		expired := do("late", ctx, true)
		is.Equal(outcome(<-expired), model.OutcomeNotRun)
		cancelQueued()
		<-a.ctx.Done()
		is.Equal(a.ctx.Err(), context.Canceled) // the request is idempotent, so its slot is freed before the deadline
		a.responses <- fakeResponse{err: a.ctx.Err()}
		is.Equal(outcome(<-queued), model.OutcomeUnknown)
		is.NoErr(<-drained)
		stop()
		is.NoErr(<-stopped)
		is.Equal(outcome(<-do("after", ctx, true)), model.OutcomeNotRun)
	})
}

// Guards against waiting requests that don't end at their deadline, and against an aborted request reported as not-run.
func TestDeadlinesAndAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newSender := func(hostclient.Host, runnerclient.Options) Sender { return hangingSender{} }
		r := New(Options{Domain: "d1", NewSender: newSender})
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		r.SetConfig(config())
		r.SetRunners([]hostclient.Host{runnerAt("a", "d1", "r1")})
		r.SetHostIndex(0, 5)
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

// hangingSender gets no response until the context ends.
type hangingSender struct{ fakeSender }

func (hangingSender) Send(ctx context.Context, _ runnerclient.Request) (runnerclient.Response, error) {
	<-ctx.Done()
	return runnerclient.Response{}, ctx.Err()
}

// Guards against errors in the interaction of router and runnerclient, over real connections to a runner that refuses
// requests and one that echoes them.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	runner := func(id string, h http.HandlerFunc) hostclient.Host {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		host := runnerAt(id, "d1", "r1")
		host.Addr = strings.TrimPrefix(s.URL, "http://")
		return host
	}
	refusing := runner("refuses", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	echoing := runner("echoes", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
		io.Copy(w, req.Body)
	})
	r := New(Options{Domain: "d1", Seed: 1})
	go r.Run(t.Context())
	r.SetConfig(config())
	r.SetHostIndex(0, 1)
	r.SetRunners([]hostclient.Host{refusing, echoing})
	for i := range 20 {
		id := fmt.Sprint(i)
		resp, err := r.Do(t.Context(), Request{ID: model.RequestID(id), Service: "s", Workspace: "w", Idempotent: true, Body: []byte(id), Deadline: time.Now().Add(time.Minute)})
		is.NoErr(err)
		is.Equal(string(resp.Body), id)
		is.Equal(resp.Runner, model.HostID("echoes"))
	}
}
