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

// Request is a service request of an authenticated caller.
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
	Attempts    int // number of times the request was sent, including the last one
}

// Sender sends requests to one runner; runnerclient.Client implements it.
type Sender interface {
	// Send sends the request once and returns the complete response. If it fails, runnerclient.IsNotRun(err) reports
	// whether the request was certainly not run.
	Send(ctx context.Context, req runnerclient.Request) (runnerclient.Response, error)
	// SetMaxConns sets the maximum number of connections from this host to the runner.
	SetMaxConns(n int)
	// Close closes idle connections; requests in progress finish.
	Close()
}

// NewSenderFunc is a function that creates the sender for a runner without opening a connection.
type NewSenderFunc func(host hostclient.Host, o runnerclient.Options) Sender

// Hooks are callbacks for metrics and invariant violations. Nil functions are skipped; the others must return quickly and
// be safe for concurrent use.
type Hooks struct {
	// OnQueueWait is called at the first attempt of a request with the time since its arrival.
	OnQueueWait func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	// OnServiceTime is called with the duration of each successful attempt.
	OnServiceTime func(ws model.WorkspaceID, class model.ClassID, d time.Duration)
	// OnOutcome is called when a call ends; kind is empty if the caller gets a response.
	OnOutcome func(ws model.WorkspaceID, class model.ClassID, outcome model.Outcome, kind model.ErrorKind)
	// OnShed is called when a request is refused by the queue or displaced from it.
	OnShed func(ws model.WorkspaceID, class model.ClassID, kind model.ErrorKind)
	// OnRetry is called when a failed request is scheduled for another attempt.
	OnRetry func(ws model.WorkspaceID, class model.ClassID)
	// OnLinkBytes is called with the size of each request or response body that is sent over the link between regions.
	OnLinkBytes func(ws model.WorkspaceID, class model.ClassID, n model.Bytes)
	// OnWrongResponse is called when a response carries the id of another request, with the name of the violation and a
	// description.
	OnWrongResponse func(name, detail string)
	// OnViolation is called when a send violates an invariant; args are key-value pairs for the log.
	OnViolation func(inv asserter.Invariant, args ...any)
}

// Options configures a Router. Zero values select the defaults.
type Options struct {
	Domain model.DomainID
	Region model.RegionID
	Limits queuer.Limits // limits of the queue of each service
	// LinkBytesPerSecond is the rate at which all entry hosts of this failure domain together may send and receive over
	// the link between regions.
	LinkBytesPerSecond model.Bytes
	NewSender          NewSenderFunc
	Hooks              Hooks
	Seed               uint64 // seed of the choice of runners and of the backoff; 0 selects a random seed
}

// Load is a snapshot of the router's load for heartbeats and status. It is encoded as JSON under its field names.
type Load struct {
	Queued   int // number of requests that wait for their first attempt or for a retry
	InFlight int // number of requests in progress at runners
	Free     int // number of free slots in this host's share, over all runners that accept requests
}
