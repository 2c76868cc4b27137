package server

import (
	"context"
	"time"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Identity is the authenticated sender of a request, either a caller of a workspace or an operator.
type Identity struct {
	Workspace model.WorkspaceID
	Caller    model.CallerID
	Operator  model.OperatorID
}

// AuthenticatedCall is a service request with the caller that was authenticated by its token.
type AuthenticatedCall struct {
	client.CallRequest
	Workspace model.WorkspaceID
	Caller    model.CallerID
}

// Backend is the entry host behind the HTTP interface. Errors that are not a *model.Error are reported to clients with the
// outcome unknown.
type Backend interface {
	// Authenticate returns the owner of a bearer token, and whether there is one.
	Authenticate(token string) (Identity, bool)
	// CheckReady returns nil if the host accepts requests, else an error that says why it does not.
	CheckReady() error
	// Submit accepts a job. Submitting it again with the same id and content returns the accepted job.
	Submit(ctx context.Context, spec model.JobSpec) (model.Job, error)
	// Job waits until a job of the workspace has ended or the deadline has passed, and returns the job.
	Job(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error)
	// Jobs lists the jobs of the workspace.
	Jobs(ctx context.Context, ws model.WorkspaceID) ([]model.Job, error)
	// Cancel requests the cancellation of a job of the workspace.
	Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error
	// Explain returns the reason for the state of a job of the workspace.
	Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error)
	// Call runs a service request and returns the response of the runner.
	Call(ctx context.Context, r AuthenticatedCall) (client.CallResponse, error)
	// MaxBodyBytes returns the maximum size of the body of a request to the service.
	MaxBodyBytes(id model.ServiceID) model.Bytes
	// Config returns the configuration in force.
	Config(ctx context.Context) (model.ConfigResponse, error)
	// Publish changes the configuration and returns the new version.
	Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error)
	// Status returns the status of the host.
	Status(ctx context.Context) (model.HostStatus, error)
	// Drain starts the graceful shutdown and returns without waiting for it.
	Drain()
}
