package router

import (
	"context"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Router is the handle of the router's task; its methods may be called by any goroutine while Run runs.
type Router struct{ opts Options }

// New returns a router; Run must be started before any other method returns.
func New(o Options) *Router { return &Router{opts: o} }

// Run is the router's task; when ctx ends, queued requests are not run and those in progress are aborted.
func (r *Router) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// Do runs a request and returns its whole answer, or a *model.Error with outcome not-run or unknown.
// When ctx ends, a queued request is removed; a non-idempotent one in progress continues to its deadline.
func (r *Router) Do(ctx context.Context, req Request) (Answer, error) {
	return Answer{}, &model.Error{Outcome: model.OutcomeNotRun, Kind: model.KindNotReady, Message: "router is not running"}
}

// SetRunners replaces the runner table with the runners of the host list; other roles are ignored.
func (r *Router) SetRunners(hosts []hostclient.Host) {}

// SetShare sets this host's rank among the entry hosts that use the runners.
func (r *Router) SetShare(rank, hosts int) {}

// SetConfig takes services, classes and workspace weights from a configuration, which must not change afterwards.
func (r *Router) SetConfig(set *model.Set) {}

// Drain refuses new requests from now on and returns once all accepted ones have ended, or with ctx's error.
func (r *Router) Drain(ctx context.Context) error { return nil }

// Load returns a snapshot of the router's load.
func (r *Router) Load() Load { return Load{} }
