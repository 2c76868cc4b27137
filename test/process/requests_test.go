package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/fake/launcher"
	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/internal/fake/runner"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// callers send service requests and keep what they were told.
type callers struct {
	c    *cluster
	http *http.Client
	run  time.Duration // of each request on its runner

	mu   sync.Mutex
	told map[model.RequestID][]model.Outcome
	errs map[model.ErrorKind]int
	last map[model.ErrorKind]*model.Error
	bad  []string // answers that are not whole, also refusals without retry-after, or that belong to another request
}

func (c *cluster) callers() *callers {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	c.t.Cleanup(t.CloseIdleConnections)
	return &callers{
		c: c, http: &http.Client{Transport: t}, run: 30 * time.Millisecond,
		told: map[model.RequestID][]model.Outcome{}, errs: map[model.ErrorKind]int{},
		last: map[model.ErrorKind]*model.Error{},
	}
}

func newID() model.RequestID { return model.RequestID(uuid.Must(uuid.NewV7()).String()) }

// call sends one request and checks that the answer is whole and belongs to it.
func (x *callers) call(h *launcher.Host, token string, call client.CallRequest) error {
	call.Service = service
	call.Body = fmt.Appendf(nil, `{"run-ms":%d,"id":%q}`, x.run.Milliseconds(), call.RequestID)
	if call.Deadline.IsZero() {
		call.Deadline = time.Now().Add(8 * time.Second)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(call.Deadline)+2*time.Second)
	defer cancel()
	a, err := (&client.Client{BaseURL: h.URL(), Token: token, HTTPClient: x.http}).Call(ctx, call)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.told[call.RequestID] = append(x.told[call.RequestID], outcomeOf(err))
	if err != nil {
		x.errs[kindOf(err)]++
		x.last[kindOf(err)] = errorOf(err)
		if kindOf(err) == model.ErrorKindOverloaded && errorOf(err).RetryAfterMS <= 0 {
			x.bad = append(x.bad, string(call.RequestID)+": refused without retry-after")
		}
		return err
	}
	var got runner.RunResponse
	sum := sha256.Sum256(call.Body)
	if json.Unmarshal(a.Body, &got) != nil || got.RequestID != call.RequestID || got.SHA256 != hex.EncodeToString(sum[:]) {
		x.bad = append(x.bad, string(call.RequestID)+": "+string(a.Body))
	}
	return nil
}

// check compares what the callers were told with what the runners ran.
func (x *callers) check() (answered, notRun, unknown int) {
	x.c.t.Helper()
	runs, err := x.c.RunCounts()
	x.c.is.NoErr(err)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range x.bad {
		x.c.t.Errorf("not a whole answer: %s", b)
	}
	for id, told := range x.told {
		n := runs.ByRequestID[id]
		got := map[model.Outcome]int{}
		for _, o := range told {
			got[o]++
		}
		answered, notRun, unknown = answered+got[model.OutcomeAnswered], notRun+got[model.OutcomeNotRun], unknown+got[model.OutcomeUnknown]
		switch {
		case n > 1:
			x.c.t.Errorf("request %s ran %d times, told %v", id, n, told)
		case n != 0 && got[model.OutcomeNotRun] > 0:
			x.c.t.Errorf("request %s was told not-run and ran, told %v", id, told)
		case n == 0 && got[model.OutcomeAnswered] > 0:
			x.c.t.Errorf("request %s was answered and never ran, told %v", id, told)
		}
	}
	return answered, notRun, unknown
}

// Guards against non-idempotent requests that run twice, or run although a caller was told not-run, while repeats
// with one id arrive on several hosts, a host is killed, the log fails and answers are lost.
func TestNonIdempotentUnderFailures(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA, domainB)})
	x := c.callers()
	victim := c.Hosts[1]
	stop := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				x.repeats(newID(), i+n, (i+n)%3)
			}
		})
	}
	for _, s := range []struct {
		set fault.Faults
		dur time.Duration
	}{
		{fault.Faults{SlowMS: 700}, time.Second},
		{fault.Faults{Frozen: true}, time.Second},
		// Longer than callers wait for a claim, so that claims are withdrawn.
		{fault.Faults{AnswerLost: true}, 6 * time.Second},
		{fault.Faults{Down: true}, 6 * time.Second},
	} {
		time.Sleep(time.Second)
		c.is.NoErr(c.SetFaults(platform.LogName, s.set))
		time.Sleep(s.dur)
		c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
	}
	for i, r := range c.Fakes.Runners {
		if i%3 == 0 {
			c.is.NoErr(c.SetFaults(r.Name, fault.Faults{AnswerLost: true}))
		}
	}
	time.Sleep(500 * time.Millisecond)
	c.is.NoErr(c.KillHost(victim))
	wg.Wait()
	answered, notRun, unknown := x.check()
	t.Logf("%d ids: told %d answered, %d not-run, %d unknown; kinds %v", len(x.told), answered, notRun, unknown, x.errs)
	c.is.True(answered > 100) // most of the time everything is healthy
}

// repeats sends one request and its repeats through different hosts at once.
func (x *callers) repeats(id model.RequestID, from, n int) {
	var wg sync.WaitGroup
	for i := range n + 1 {
		h := x.c.Hosts[(from+i)%len(x.c.Hosts)]
		// Each of several calls with one id may have been sent before.
		wg.Go(func() { _ = x.call(h, tailoring, client.CallRequest{RequestID: id, IsRetry: n > 0}) })
	}
	wg.Wait()
	if n > 0 {
		_ = x.call(x.c.Hosts[(from+n+1)%len(x.c.Hosts)], tailoring, client.CallRequest{RequestID: id, IsRetry: true})
	}
	time.Sleep(20 * time.Millisecond)
}

// Guards against new work for a runner that leaves, whether the host list or only its answers say so.
func TestLeavingRunner(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	x := c.callers()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					_ = x.call(c.Hosts[(i+n)%2], workshop, client.CallRequest{RequestID: newID(), Idempotent: true})
				}
			}
		})
	}
	time.Sleep(time.Second)
	var leaving []string
	for _, r := range c.Fakes.Runners {
		if strings.HasPrefix(r.Name, string(domainA)) && len(leaving) < 5 {
			leaving = append(leaving, r.Name)
			c.is.NoErr(c.SetHostState(model.HostID(r.Name), "leaving"))
		}
	}
	begun := c.runsOn(leaving)
	time.Sleep(3 * time.Second) // the few seconds of the invariant; the host list lags by 500 ms
	before := c.runsOn(leaving)
	time.Sleep(3 * time.Second)
	after := c.runsOn(leaving)
	close(done)
	wg.Wait()
	t.Logf("requests on 5 leaving runners: %d before, %d in the first 3 s, %d afterwards", begun, before-begun, after-before)
	c.is.True(begun > 0)
	c.is.Equal(after, before)
	answered, notRun, unknown := x.check()
	t.Logf("told %d answered, %d not-run, %d unknown", answered, notRun, unknown)
	c.is.Equal(unknown, 0)
}

func (c *cluster) runsOn(names []string) (n int64) {
	c.t.Helper()
	for _, name := range names {
		s, err := c.FakeStats(name)
		c.is.NoErr(err)
		n += s["runs"]
	}
	return n
}

// Guards against shutdowns that cut requests off or refuse requests that they had accepted, such as those whose claim
// is on its way to the log: callers see whole answers, or a clean not-run for what arrives later.
func TestShutdownUnderLoad(t *testing.T) {
	c := start(t, launcher.Options{HostsPerDomain: hosts(domainA)})
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{SlowMS: 600}))
	x := c.callers()
	x.run = 700 * time.Millisecond // longer than the host waits before it refuses
	h := c.Hosts[1]
	var wg sync.WaitGroup
	refused := make([]time.Time, 60) // when the refused call of each caller began
	for i := range refused {
		wg.Go(func() {
			for refused[i].IsZero() {
				begun := time.Now()
				// New ids only, so that not-run is the whole truth about a request.
				if x.call(h, workshop, client.CallRequest{RequestID: newID(), Idempotent: i%2 == 0}) != nil {
					refused[i] = begun
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	signal := time.Now()
	c.is.NoErr(c.TerminateHost(h))
	t.Logf("the host ended %s after the signal", time.Since(signal))
	wg.Wait()
	answered, notRun, unknown := x.check()
	t.Logf("told %d answered, %d not-run, %d unknown; kinds %v", answered, notRun, unknown, x.errs)
	c.is.True(answered > 100)
	c.is.Equal(unknown, 0) // no request in progress was cut off
	c.is.Equal(notRun, len(refused))
	for _, begun := range refused {
		if early := signal.Sub(begun); early > 200*time.Millisecond {
			t.Errorf("a request was refused that began %s before the signal", early)
		}
	}
}
