package daemon

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"

	"chestnutmux.example/chestnutmux/internal/claimer"
	"chestnutmux.example/chestnutmux/internal/router"
	"chestnutmux.example/chestnutmux/internal/server"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// defaultMaxBodySize is the maximum size of a request body for a service without a configured limit.
const defaultMaxBodySize model.Bytes = 1 << 20

// Call runs a service request; a non-idempotent request is claimed in the log before it is sent to a runner.
func (d *Daemon) Call(ctx context.Context, r server.AuthenticatedCall) (client.CallResponse, error) {
	if err := d.CheckReady(); err != nil {
		return client.CallResponse{}, unknownIfRetry(r, err)
	}
	d.activeCalls.Add(1)
	defer d.activeCalls.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	req := router.Request{
		ID: r.RequestID, Service: r.Service, Workspace: r.Workspace, Caller: r.Caller, Class: r.Class,
		Idempotent: r.Idempotent, Body: r.Body, Deadline: r.Deadline,
	}
	if r.Idempotent {
		a, err := d.router.Do(ctx, req)
		return client.CallResponse{Body: a.Body, Runner: a.Runner}, unknownIfRetry(r, err)
	}
	res := d.claimer.Do(ctx, claimer.Request{
		Workspace: r.Workspace, ID: r.RequestID, Digest: requestDigest(r), IsRetry: r.IsRetry,
	}, func(ctx context.Context) claimer.Result {
		return d.forwardClaimed(ctx, req)
	})
	if res.Error != nil {
		return client.CallResponse{}, res.Error
	}
	return client.CallResponse{Body: res.Body, Runner: res.Runner}, nil
}

// unknownIfRetry changes the outcome of an error from not-run to unknown if the request is a retry, because an earlier
// attempt may have run through another host.
//
// Requests that reach the claimer don't need it: the claimer knows when not-run is certain.
func unknownIfRetry(r server.AuthenticatedCall, err error) error {
	if err == nil || !r.IsRetry {
		return err
	}
	e := *asModelError(err)
	if e.Outcome == model.OutcomeNotRun {
		e.Outcome = model.OutcomeUnknown
	}
	return &e
}

// forwardClaimed sends a claimed request to a runner.
func (d *Daemon) forwardClaimed(ctx context.Context, req router.Request) claimer.Result {
	a, err := d.router.Do(ctx, req)
	if err == nil {
		return claimer.Result{Body: a.Body, ContentType: a.ContentType, Runner: a.Runner}
	}
	return claimer.Result{Error: asModelError(err)}
}

// requestDigest returns a digest that distinguishes the retries of a request from other requests with the same id.
func requestDigest(r server.AuthenticatedCall) string {
	h := sha256.New()
	for _, part := range []string{string(r.Caller), string(r.Service), string(r.Class)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// MaxBodyBytes returns the maximum size of the body of a request to the service.
func (d *Daemon) MaxBodyBytes(id model.ServiceID) model.Bytes {
	return cmp.Or(d.config.Load().set.Services[id].MaxBodyBytes, defaultMaxBodySize)
}
