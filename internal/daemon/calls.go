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

// defaultMaxBody bounds the body of a request to a service that names no bound.
const defaultMaxBody model.Bytes = 1 << 20

// Call runs a service request.
func (d *Daemon) Call(ctx context.Context, r server.AuthenticatedCall) (client.CallResponse, error) {
	if err := d.CheckReady(); err != nil {
		return client.CallResponse{}, repeated(r, err)
	}
	d.calls.Add(1)
	defer d.calls.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	req := router.Request{
		ID: r.RequestID, Service: r.Service, Workspace: r.Workspace, Caller: r.Caller, Class: r.Class,
		Idempotent: r.Idempotent, Body: r.Body, Deadline: r.Deadline,
	}
	if r.Idempotent {
		a, err := d.router.Do(ctx, req)
		return client.CallResponse{Body: a.Body, Runner: a.Runner}, repeated(r, err)
	}
	res := d.claimer.Do(ctx, claimer.Request{
		Workspace: r.Workspace, ID: r.RequestID, Digest: digest(r), Repeat: r.IsRetry,
	}, func(ctx context.Context) claimer.Result {
		return d.send(ctx, req)
	})
	if res.Error != nil {
		return client.CallResponse{}, res.Error
	}
	return client.CallResponse{Body: res.Body, Runner: res.Runner}, nil
}

// repeated makes a not-run unknown when an earlier call with the id may have run on another host.
//
// The claimer does this for the requests that reach it, since it knows when not-run is certain.
func repeated(r server.AuthenticatedCall, err error) error {
	if err == nil || !r.IsRetry {
		return err
	}
	e := *asError(err)
	if e.Outcome == model.OutcomeNotRun {
		e.Outcome = model.OutcomeUnknown
	}
	return &e
}

// send sends a claimed request.
func (d *Daemon) send(ctx context.Context, req router.Request) claimer.Result {
	a, err := d.router.Do(ctx, req)
	if err == nil {
		return claimer.Result{Body: a.Body, ContentType: a.ContentType, Runner: a.Runner}
	}
	return claimer.Result{Error: asError(err)}
}

// digest tells repeats of a request from other requests with the same id.
func digest(r server.AuthenticatedCall) string {
	h := sha256.New()
	for _, part := range []string{string(r.Caller), string(r.Service), string(r.Class)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// MaxBodySize bounds the body of a request to the service.
func (d *Daemon) MaxBodySize(id model.ServiceID) model.Bytes {
	return cmp.Or(d.view.Load().set.Services[id].MaxBody, defaultMaxBody)
}
