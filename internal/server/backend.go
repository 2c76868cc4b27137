package server

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Identity is who sent a request: a caller of a workspace, or an operator.
type Identity struct {
	Workspace model.WorkspaceID
	Caller    model.CallerID
	Operator  model.OperatorID
}

// AuthenticatedCall is a service request of an authenticated caller.
type AuthenticatedCall struct {
	client.CallRequest
	Workspace model.WorkspaceID
	Caller    model.CallerID
}

// Backend is what the HTTP interface needs of the entry host; errors are *model.Error.
type Backend interface {
	// Authenticate finds the owner of a bearer token.
	Authenticate(token string) (Identity, bool)
	// CheckReady returns what the host waits for, or nil.
	CheckReady() error
	Submit(ctx context.Context, spec model.JobSpec) (model.Job, error)
	// Job returns a job of the workspace once it has ended, or as it is at the deadline.
	Job(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error)
	Jobs(ctx context.Context, ws model.WorkspaceID) ([]model.Job, error)
	Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error
	Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error)
	Call(ctx context.Context, r AuthenticatedCall) (client.CallResponse, error)
	// MaxBodySize bounds the body of a request to the service.
	MaxBodySize(id model.ServiceID) model.Bytes
	Config(ctx context.Context) (model.ConfigResponse, error)
	Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error)
	Status(ctx context.Context) (model.HostStatus, error)
	// Drain starts the graceful shutdown and returns at once.
	Drain()
}
