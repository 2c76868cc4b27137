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

// Response is the complete response of a runner.
type Response struct {
	Body        []byte
	ContentType string
	Runner      model.HostID
	Attempts    int
}

// Sender sends requests to one runner; runnerclient.Client implements it.
type Sender interface {
	// Send returns the complete response, or an error for which runnerclient.IsNotRun reports whether the request
	// was certainly not run.
	Send(ctx context.Context, req runnerclient.Request) (runnerclient.Response, error)
	// SetMaxConns sets the maximum number of connections from this host to the runner.
	SetMaxConns(n int)
	// Close closes idle connections; requests in progress finish.
	Close()
}

// NewSenderFunc returns the sender for a runner without opening a connection.
type NewSenderFunc func(host hostclient.Host, o runnerclient.Options) Sender

// Hooks are callbacks for metrics and invariant violations. Nil functions are skipped; the others must return quickly and
// be safe for concurrent use.
type Hooks struct {
	// OnQueueWait gets the time from the arrival of a request to its first attempt.
	OnQueueWait func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	// OnServiceTime gets the duration of a successful attempt.
	OnServiceTime func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	// OnOutcome is called when a call ends; kind is empty if it was answered.
	OnOutcome func(ws model.WorkspaceID, class model.ClassID, outcome model.Outcome, kind model.ErrorKind)
	// OnShed is called when a request is refused by the queue or displaced from it.
	OnShed func(ws model.WorkspaceID, class model.ClassID, kind model.ErrorKind)
	// OnRetry is called when a failed request is scheduled for another attempt.
	OnRetry func(ws model.WorkspaceID, class model.ClassID)
	// OnLinkBytes gets the body sizes of requests and responses sent over the link between regions.
	OnLinkBytes func(ws model.WorkspaceID, class model.ClassID, n model.Bytes)
	// OnWrongAnswer is called when a response carries the id of another request.
	OnWrongAnswer func(name, detail string)
	// OnViolation is called when an invariant of sending is violated; args are key-value pairs for the log.
	OnViolation func(inv asserter.Invariant, args ...any)
}

// Options configures a Router. Zero values select the defaults.
type Options struct {
	Domain model.DomainID
	Region model.RegionID
	Limits queuer.Limits // limits of the queue of each service
	// LinkBytesPerSecond is the total rate at which the entry hosts of this failure domain may send and receive over the
	// link between regions.
	LinkBytesPerSecond model.Bytes
	NewSender          NewSenderFunc
	Hooks              Hooks
	Seed               uint64 // seed of the random choices; 0 selects a random seed
}

// Load is a snapshot of the router's load for heartbeats and status. It is encoded as JSON under its field names.
type Load struct {
	Queued   int // waiting requests
	InFlight int // requests in progress at runners
	Free     int // free slots in this host's share, over all runners that accept requests
}
