package coordinator

import (
	"context"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// recoveringClient calls workers and turns a panic, for example while a response is decoded, into an error. The outcome of the call
// is then unknown. It implements dispatcher.WorkerClient.
type recoveringClient struct {
	client    dispatcher.WorkerClient
	recoverer *recoverer.Recoverer
}

// Start implements dispatcher.WorkerClient.
func (c *recoveringClient) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (r dispatcher.Response, err error) {
	err = c.recoverer.Call("worker client", func() (err error) {
		r, err = c.client.Start(ctx, w, req)
		return err
	})
	return r, err
}

// Stop implements dispatcher.WorkerClient.
func (c *recoveringClient) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (r dispatcher.Response, err error) {
	err = c.recoverer.Call("worker client", func() (err error) {
		r, err = c.client.Stop(ctx, w, req)
		return err
	})
	return r, err
}

// RenewLease implements dispatcher.WorkerClient.
func (c *recoveringClient) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (r dispatcher.Report, err error) {
	err = c.recoverer.Call("worker client", func() (err error) {
		r, err = c.client.RenewLease(ctx, w, req)
		return err
	})
	return r, err
}
