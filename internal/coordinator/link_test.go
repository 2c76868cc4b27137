package coordinator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/pacer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// link transfers data in one direction, one message after the other, at a limited rate.
type link struct {
	rate pacer.BytesPerSecond

	mu        sync.Mutex
	busyUntil time.Time
}

// transfer waits until a message of n bytes has crossed the link.
func (l *link) transfer(n int) {
	l.mu.Lock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / float64(l.rate) * float64(time.Second)))
	at := l.busyUntil
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// linkedWorkers calls workers over the link of one host. It implements dispatcher.WorkerClient.
type linkedWorkers struct {
	worker.DirectClient
	out, in *link
}

const (
	// callOverhead is the size of a request or response without its body, in bytes.
	callOverhead = 400
	// rowBytes is the size of a run in a report.
	rowBytes = 60
)

// overLink makes a call whose request and response cross the link. A request whose caller has given up still arrives.
func overLink[Out any](ctx context.Context, c *linkedWorkers, requestBytes int, responseBytes func(Out) int, call func() (Out, error)) (Out, error) {
	type outcome struct {
		out Out
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		c.out.transfer(requestBytes)
		out, err := call()
		c.in.transfer(responseBytes(out))
		done <- outcome{out, err}
	}()
	select {
	case o := <-done:
		return o.out, o.err
	case <-ctx.Done():
		var zero Out
		return zero, ctx.Err()
	}
}

func smallResponse(dispatcher.Response) int { return callOverhead }

func (c *linkedWorkers) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	return overLink(ctx, c, callOverhead+len(req.Payload), smallResponse, func() (dispatcher.Response, error) {
		return c.DirectClient.Start(context.Background(), w, req)
	})
}

func (c *linkedWorkers) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	return overLink(ctx, c, callOverhead, smallResponse, func() (dispatcher.Response, error) {
		return c.DirectClient.Stop(context.Background(), w, req)
	})
}

func (c *linkedWorkers) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	size := func(r dispatcher.Report) int { return callOverhead + rowBytes*(len(r.Running)+len(r.Ended)) }
	return overLink(ctx, c, callOverhead, size, func() (dispatcher.Report, error) {
		return c.DirectClient.RenewLease(context.Background(), w, req)
	})
}

// Guards against a leader that fills its link with start requests, so that it loses what runs and repeats what has been done.
func TestBurstBeyondLink(t *testing.T) {
	t.Parallel()
	for _, rate := range []pacer.BytesPerSecond{50_000, 100_000, 200_000} {
		t.Run(fmt.Sprint("rate=", int(rate)), func(t *testing.T) { testBurstBeyondLink(t, rate, rate) })
	}
	t.Run("unknown-rate", func(t *testing.T) { testBurstBeyondLink(t, 100_000, 0) })
}

// testBurstBeyondLink submits work whose start requests take the link 10 s, over 4 s. The leader knows the known rate.
func testBurstBeyondLink(t *testing.T, rate, known pacer.BytesPerSecond) {
	t.Parallel()
	const (
		payloadBytes = 4000
		tasksPerJob  = 20
		linkTime     = 10 * time.Second
		burstTime    = 4 * time.Second
	)
	runInCluster(t, 1, 1, 6, 8, func(c *cluster, is *is.I) {
		h := c.hosts[0]
		h.cancel()
		h.linkRate = known
		h.workers = &linkedWorkers{
			DirectClient: worker.DirectClient{Fleet: c.fleet}, out: &link{rate: rate}, in: &link{rate: rate},
		}
		h.start()
		c.awaitLeader()
		time.Sleep(3 * time.Second)
		jobs := int(float64(rate) * linkTime.Seconds() / (payloadBytes + callOverhead) / tasksPerJob)
		var ids []model.JobID
		start := time.Now()
		for i := range jobs {
			s := job(fmt.Sprint("j", i), model.Priority(i%3), 1500*time.Millisecond, model.Step{Count: tasksPerJob, Need: accelerators(1), Gang: i%2 == 0})
			s.Payload = `{"run-ms":1500,"padding":"` + strings.Repeat("x", payloadBytes) + `"}`
			c.submit(s)
			ids = append(ids, s.ID)
			time.Sleep(burstTime / time.Duration(jobs))
		}
		c.awaitEnd(4*linkTime-time.Since(start), ids...)
		report := c.fleet.LedgerReport()
		is.Equal(report.CompletedTasks, jobs*tasksPerJob)
		is.Equal(report.CompletedTwice, 0) // a task whose end a worker holds is not started again
		c.checkWorkerViolations()
	})
}
