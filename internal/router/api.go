package router

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/queuer"
	"chestnutmux.example/chestnutmux/internal/runnerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Request is one service request of an authenticated caller.
type Request struct {
	ID          model.RequestID
	Service     model.ServiceID
	Workspace   model.WorkspaceID
	Caller      model.CallerID
	Class       model.ClassID // empty means the first class of the service
	Idempotent  bool
	ContentType string
	Body        []byte
	Deadline    time.Time // required
}

// Answer is the whole answer of a runner.
type Answer struct {
	Body        []byte
	ContentType string
	Runner      model.HostID
	Attempts    int
}

// Sender sends requests to one runner; runnerclient.Client is the real one.
type Sender interface {
	// Send returns the whole answer or an error that runnerclient.NotRun can tell apart.
	Send(ctx context.Context, req runnerclient.Request) (runnerclient.Answer, error)
	// SetMaxConns changes this host's share of the runner's connections.
	SetMaxConns(n int)
	// Close releases idle connections once nothing is in progress.
	Close()
}

// DialFunc makes the sender for a runner; it opens no connection.
type DialFunc func(host hostclient.Host, o runnerclient.Options) Sender

// Hooks observe the router; nil functions are skipped, and all must be fast and safe for concurrent use.
type Hooks struct {
	OnQueueWait   func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	OnServiceTime func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	OnOutcome     func(ws model.WorkspaceID, class model.ClassID, outcome model.Outcome, kind model.ErrorKind)
	OnShed        func(ws model.WorkspaceID, class model.ClassID, kind model.ErrorKind)
	OnRetry       func(ws model.WorkspaceID, class model.ClassID)
	OnLinkBytes   func(ws model.WorkspaceID, class model.ClassID, n model.Bytes)
	OnWrongAnswer func(name, detail string) // an answer carried the id of another request
	OnViolation   func(inv asserter.Invariant, args ...any)
}

// Options are the place and bounds of a Router; zero values mean the defaults.
type Options struct {
	Domain model.DomainID
	Region model.RegionID
	Limits queuer.Limits // of each service's queue
	// LinkBytesPerSecond is what the entry hosts of this failure domain together may send and receive over the
	// link between regions.
	LinkBytesPerSecond model.Bytes
	Dial               DialFunc
	Hooks              Hooks
	Seed               uint64 // of the random choices, 0 means a random one
}

// Load is a snapshot of the router for heartbeats and status.
type Load struct {
	Queued   int
	InFlight int
	Free     int // free slots of this host's share on runners that take requests
}
