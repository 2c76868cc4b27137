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

// defaultMaxBodyBytes is the maximum size of a request body if the configuration of the service sets none.
const defaultMaxBodyBytes model.Bytes = 1 << 20

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
		response, err := d.router.Do(ctx, req)
		return client.CallResponse{Body: response.Body, Runner: response.Runner}, unknownIfRetry(r, err)
	}
	result := d.claimer.Do(ctx, claimer.Request{
		Workspace: r.Workspace, ID: r.RequestID, Digest: requestDigest(r), IsRetry: r.IsRetry,
	}, func(ctx context.Context) claimer.Result {
		return d.forwardClaimed(ctx, req)
	})
	if result.Error != nil {
		return client.CallResponse{}, result.Error
	}
	return client.CallResponse{Body: result.Body, Runner: result.Runner}, nil
}

// unknownIfRetry changes the outcome of an error from not-run to unknown if the request is a retry, because an earlier
// attempt may have been run, perhaps through another host. The errors of the claimer need no change: it reports not-run only
// if no attempt can have been run.
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

// forwardClaimed sends a claimed request to a runner and returns the response or the error as a result.
func (d *Daemon) forwardClaimed(ctx context.Context, req router.Request) claimer.Result {
	response, err := d.router.Do(ctx, req)
	if err == nil {
		return claimer.Result{Body: response.Body, ContentType: response.ContentType, Runner: response.Runner}
	}
	return claimer.Result{Error: asModelError(err)}
}

// requestDigest returns a digest of the content of a request. The claimer uses it to tell a retry from another request with
// the same id.
func requestDigest(r server.AuthenticatedCall) string {
	h := sha256.New()
	for _, field := range []string{string(r.Caller), string(r.Service), string(r.Class)} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// MaxBodyBytes returns the maximum size of the body of a request to the service.
func (d *Daemon) MaxBodyBytes(id model.ServiceID) model.Bytes {
	return cmp.Or(d.config.Load().set.Services[id].MaxBodyBytes, defaultMaxBodyBytes)
}
