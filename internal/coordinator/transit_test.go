package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// slowTransitClient delivers start requests late, but within their timeout, which grows as the response times of renewals vary.
type slowTransitClient struct {
	slowDialClient
	calls atomic.Int64
}

// Start implements dispatcher.WorkerClient.
func (c *slowTransitClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	if deadline, _ := ctx.Deadline(); c.isSlow() && time.Until(deadline) < c.dial {
		<-ctx.Done()
		return dispatcher.Response{}, ctx.Err()
	}
	return c.slowDialClient.Start(ctx, w, req)
}

// RenewLease implements dispatcher.WorkerClient.
func (c *slowTransitClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	n := c.calls.Add(1)
	time.Sleep(time.Duration(n%2) * 700 * time.Millisecond)
	return c.WorkerClient.RenewLease(ctx, w, req)
}

// Guards against a start of an isolated leader that reaches a restarted worker after it has connected, later than its successor counts with.
func TestSlowTransitStartsNothingOnRestartedWorkers(t *testing.T) {
	for _, transit := range []time.Duration{700, 1000, 1500} {
		for _, phase := range []time.Duration{25, 75, 125} {
			t.Run(fmt.Sprint(int(transit), "-", int(phase)), func(t *testing.T) {
				playIsolatedStart(t, phase*time.Millisecond, true, func(c dispatcher.WorkerClient, isSlow func() bool) dispatcher.WorkerClient {
					return &slowTransitClient{slowDialClient: slowDialClient{WorkerClient: c, dial: transit * time.Millisecond, isSlow: isSlow}}
				})
			})
		}
	}
}
