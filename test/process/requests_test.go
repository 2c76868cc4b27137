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

// serviceClient sends service requests and records the outcome of each call.
type serviceClient struct {
	cluster    *cluster
	httpClient *http.Client
	runTime    time.Duration // run time of each request on its runner

	mu               sync.Mutex
	outcomes         map[model.RequestID][]model.Outcome // outcomes of all calls with each request id
	errorCounts      map[model.ErrorKind]int             // number of failed calls of each kind
	lastErrors       map[model.ErrorKind]*model.Error
	invalidResponses []string // incomplete responses, responses to another request, and overload errors without retry-after
}

func (c *cluster) newServiceClient() *serviceClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	c.t.Cleanup(transport.CloseIdleConnections)
	return &serviceClient{
		cluster: c, httpClient: &http.Client{Transport: transport}, runTime: 30 * time.Millisecond,
		outcomes: map[model.RequestID][]model.Outcome{}, errorCounts: map[model.ErrorKind]int{},
		lastErrors: map[model.ErrorKind]*model.Error{},
	}
}

func newRequestID() model.RequestID { return model.RequestID(uuid.Must(uuid.NewV7()).String()) }

// call sends one request, records its outcome and checks that the response is complete and belongs to the request.
func (s *serviceClient) call(h *launcher.Host, token string, req client.CallRequest) error {
	req.Service = serviceID
	req.Body = fmt.Appendf(nil, `{"run-ms":%d,"id":%q}`, s.runTime.Milliseconds(), req.RequestID)
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(8 * time.Second)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(req.Deadline)+2*time.Second)
	defer cancel()
	resp, err := (&client.Client{BaseURL: h.URL(), Token: token, HTTPClient: s.httpClient}).Call(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[req.RequestID] = append(s.outcomes[req.RequestID], outcomeOf(err))
	if err != nil {
		s.errorCounts[kindOf(err)]++
		s.lastErrors[kindOf(err)] = modelError(err)
		if kindOf(err) == model.ErrorKindOverloaded && modelError(err).RetryAfterMS <= 0 {
			s.invalidResponses = append(s.invalidResponses, string(req.RequestID)+": refused without retry-after")
		}
		return err
	}
	var body runner.RunResponse
	sum := sha256.Sum256(req.Body)
	if json.Unmarshal(resp.Body, &body) != nil || body.RequestID != req.RequestID || body.SHA256 != hex.EncodeToString(sum[:]) {
		s.invalidResponses = append(s.invalidResponses, string(req.RequestID)+": "+string(resp.Body))
	}
	return nil
}

// check compares the recorded outcomes with the runs that the runners counted, and returns the number of calls with each outcome.
func (s *serviceClient) check() (answered, notRun, unknown int) {
	s.cluster.t.Helper()
	runCounts, err := s.cluster.RunCounts()
	s.cluster.is.NoErr(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, response := range s.invalidResponses {
		s.cluster.t.Errorf("invalid response: %s", response)
	}
	for id, outcomes := range s.outcomes {
		runs := runCounts.ByRequestID[id]
		counts := map[model.Outcome]int{}
		for _, o := range outcomes {
			counts[o]++
		}
		answered, notRun, unknown = answered+counts[model.OutcomeAnswered], notRun+counts[model.OutcomeNotRun], unknown+counts[model.OutcomeUnknown]
		switch {
		case runs > 1:
			s.cluster.t.Errorf("request %s ran %d times, outcomes %v", id, runs, outcomes)
		case runs != 0 && counts[model.OutcomeNotRun] > 0:
			s.cluster.t.Errorf("request %s was reported as not-run but ran, outcomes %v", id, outcomes)
		case runs == 0 && counts[model.OutcomeAnswered] > 0:
			s.cluster.t.Errorf("request %s was answered but never ran, outcomes %v", id, outcomes)
		}
	}
	return answered, notRun, unknown
}

// Guards against non-idempotent requests that run twice, or run although a call with their id was reported as not-run. The
// test sends retries of each request to several hosts while a host is killed, the log fails and responses are lost.
func TestNonIdempotentUnderFailures(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA, domainB)})
	svc := c.newServiceClient()
	killedHost := c.Hosts[1]
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				svc.callWithRetries(newRequestID(), i+n, (i+n)%3)
			}
		})
	}
	for _, phase := range []struct {
		logFaults fault.Faults
		duration  time.Duration
	}{
		{fault.Faults{SlowMS: 700}, time.Second},
		{fault.Faults{Frozen: true}, time.Second},
		// Longer than a call waits for its claim, so that hosts refuse requests whose claims the log may have stored.
		{fault.Faults{ResponseLost: true}, 6 * time.Second},
		{fault.Faults{Down: true}, 6 * time.Second},
	} {
		time.Sleep(time.Second)
		c.is.NoErr(c.SetFaults(platform.LogName, phase.logFaults))
		time.Sleep(phase.duration)
		c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{}))
	}
	for i, r := range c.Fakes.Runners {
		if i%3 == 0 {
			c.is.NoErr(c.SetFaults(r.Name, fault.Faults{ResponseLost: true}))
		}
	}
	time.Sleep(500 * time.Millisecond)
	c.is.NoErr(c.KillHost(killedHost))
	wg.Wait()
	answered, notRun, unknown := svc.check()
	t.Logf("%d request IDs: %d calls answered, %d not-run, %d unknown; error kinds %v", len(svc.outcomes), answered, notRun, unknown, svc.errorCounts)
	c.is.True(answered > 100) // the system is healthy most of the time
}

// callWithRetries sends one request and its retries through different hosts at once, and then a final retry.
func (s *serviceClient) callWithRetries(id model.RequestID, firstHost, retries int) {
	var wg sync.WaitGroup
	for i := range retries + 1 {
		h := s.cluster.Hosts[(firstHost+i)%len(s.cluster.Hosts)]
		// Of several concurrent calls with the same id, each may arrive after another one, so all are marked as retries.
		wg.Go(func() { _ = s.call(h, tailoringToken, client.CallRequest{RequestID: id, IsRetry: retries > 0}) })
	}
	wg.Wait()
	if retries > 0 {
		_ = s.call(s.cluster.Hosts[(firstHost+retries+1)%len(s.cluster.Hosts)], tailoringToken, client.CallRequest{RequestID: id, IsRetry: true})
	}
	time.Sleep(20 * time.Millisecond)
}

// Guards against new requests on a leaving runner, whether the host list or only the responses of the runner report that it
// is leaving.
func TestLeavingRunner(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	svc := c.newServiceClient()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					_ = svc.call(c.Hosts[(i+n)%2], workshopToken, client.CallRequest{RequestID: newRequestID(), Idempotent: true})
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
	runsAtStart := c.countRuns(leaving)
	time.Sleep(3 * time.Second) // the invariant tolerates a few seconds; the host list shows changes after 500 ms
	runsAfterGrace := c.countRuns(leaving)
	time.Sleep(3 * time.Second)
	finalRuns := c.countRuns(leaving)
	close(done)
	wg.Wait()
	t.Logf("requests on 5 leaving runners: %d before, %d in the first 3 s, %d afterwards",
		runsAtStart, runsAfterGrace-runsAtStart, finalRuns-runsAfterGrace)
	c.is.True(runsAtStart > 0)
	c.is.Equal(finalRuns, runsAfterGrace)
	answered, notRun, unknown := svc.check()
	t.Logf("%d calls answered, %d not-run, %d unknown", answered, notRun, unknown)
	c.is.Equal(unknown, 0)
}

// countRuns returns the total number of requests that the runners have run.
func (c *cluster) countRuns(runners []string) (runs int64) {
	c.t.Helper()
	for _, name := range runners {
		s, err := c.FakeStats(name)
		c.is.NoErr(err)
		runs += s["runs"]
	}
	return runs
}

// Guards against shutdowns that cut off accepted requests or refuse them, such as requests whose claim is being appended to
// the log. Callers must get complete responses, or the outcome not-run for requests that arrive later.
func TestShutdownUnderLoad(t *testing.T) {
	c := startCluster(t, launcher.Options{HostsPerDomain: twoHostsPerDomain(domainA)})
	c.is.NoErr(c.SetFaults(platform.LogName, fault.Faults{SlowMS: 600}))
	svc := c.newServiceClient()
	svc.runTime = 700 * time.Millisecond // longer than a draining host waits before it refuses requests
	h := c.Hosts[1]
	var wg sync.WaitGroup
	refusedSentAt := make([]time.Time, 60) // send time of the refused request of each sender
	for i := range refusedSentAt {
		wg.Go(func() {
			for refusedSentAt[i].IsZero() {
				sentAt := time.Now()
				// Each call has a new id, so that not-run is the final outcome of its request.
				if svc.call(h, workshopToken, client.CallRequest{RequestID: newRequestID(), Idempotent: i%2 == 0}) != nil {
					refusedSentAt[i] = sentAt
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	signaledAt := time.Now()
	c.is.NoErr(c.TerminateHost(h))
	t.Logf("the host ended %s after the signal", time.Since(signaledAt))
	wg.Wait()
	answered, notRun, unknown := svc.check()
	t.Logf("%d calls answered, %d not-run, %d unknown; error kinds %v", answered, notRun, unknown, svc.errorCounts)
	c.is.True(answered > 100)
	c.is.Equal(unknown, 0) // no request in progress was cut off
	c.is.Equal(notRun, len(refusedSentAt))
	for _, sentAt := range refusedSentAt {
		if age := signaledAt.Sub(sentAt); age > 200*time.Millisecond {
			t.Errorf("a request sent %s before the signal was refused", age)
		}
	}
}
