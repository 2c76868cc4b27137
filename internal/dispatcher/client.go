package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// WorkerClient sends requests to workers.
//
// After an error other than a RefusedError or ErrNotSent, the outcome is unknown: the worker may have executed the request, or may
// still execute it.
type WorkerClient interface {
	// Start starts a run.
	Start(ctx context.Context, w model.Worker, req StartRequest) (Response, error)
	// Stop stops a run.
	Stop(ctx context.Context, w model.Worker, req StopRequest) (Response, error)
	// RenewLease renews the worker lease and returns the worker's report. The worker delays the report by up to MaxWait until a
	// run ends.
	RenewLease(ctx context.Context, w model.Worker, req RenewLeaseRequest) (Report, error)
}

// WorkerTime is a time on the monotonic clock of a worker, in milliseconds.
type WorkerTime int64

// StartRequest asks a worker to start a run. It extends the worker lease, which covers all runs on the worker.
type StartRequest struct {
	Run        model.RunRef       `json:"run"`
	Payload    string             `json:"payload"`
	Checkpoint model.Checkpoint   `json:"checkpoint,omitempty"` // checkpoint that the run resumes from
	Fence      model.FencingToken `json:"fence"`
	LeaseUntil WorkerTime         `json:"lease-until-ms"`    // end of the worker lease that the request grants
	Need       model.Resources    `json:"need"`              // resources that the run uses
	GangSize   int                `json:"members,omitempty"` // number of members of the gang; 0 for a task that is not part of a gang
}

// StopRequest asks a worker to stop a run. If the run has not started yet, the worker refuses a later request to start it.
type StopRequest struct {
	Run   model.RunRef       `json:"run"`
	Fence model.FencingToken `json:"fence"`
}

// RenewLeaseRequest renews the worker lease and asks for a report of the runs on the worker.
type RenewLeaseRequest struct {
	Fence        model.FencingToken `json:"fence"`
	AckedThrough int64              `json:"acknowledged"`             // the worker may discard run ends up to this sequence number
	LeaseUntil   WorkerTime         `json:"lease-until-ms,omitempty"` // new end of the worker lease; 0 leaves the lease unchanged
	MaxWait      time.Duration      `json:"wait-ns,omitempty"`        // maximum time to wait for a run end that is not acknowledged
}

// Response is the response to a StartRequest or a StopRequest.
type Response struct {
	Clock WorkerTime `json:"clock-ms"` // time of the response on the worker's clock
}

// Report is the response to a RenewLeaseRequest and lists the runs of a worker.
type Report struct {
	Clock       WorkerTime          `json:"clock-ms"`    // time of the response on the worker's clock
	Incarnation int64               `json:"incarnation"` // changes with each restart of the worker
	Running     []model.RunProgress `json:"running"`
	Ended       []model.RunEnd      `json:"ended"` // run ends that are not acknowledged, by sequence number; at most maxReportedEnds
}

// RefusedError reports that a worker refused a request without executing it.
type RefusedError struct{ Reason Refusal }

// Error implements error.
func (e *RefusedError) Error() string {
	return "dispatcher: worker refused the request: " + string(e.Reason)
}

// isStaleFence reports whether a worker has refused a request because it has seen a higher fencing token.
func isStaleFence(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Reason == RefusedStaleFence
}

// Refusal is the reason why a worker refused a request.
type Refusal string

// Reasons for a refusal.
const (
	RefusedStaleFence Refusal = "fence" // the worker has seen a higher fencing token
	// RefusedStaleRun says that the worker has had a run of the task with a higher number. The fake worker sends it if a run of the
	// task with the same or a higher number has ended or was requested to stop. The dispatcher removes the refused run and later
	// starts the task again with a higher number.
	RefusedStaleRun              Refusal = "old"
	RefusedLeaseExpired          Refusal = "late"      // the worker lease in the request has expired
	RefusedInsufficientResources Refusal = "room"      // the run needs more resources than are free
	RefusedUnhealthy             Refusal = "unhealthy" // the worker accepts no runs at present
	RefusedWrongWorker           Refusal = "gone"      // another worker now uses the address
	RefusedInvalid               Refusal = "invalid"   // the request is malformed or invalid
)

// ErrNotSent reports that no connection could be made, so the worker cannot have received the request.
var ErrNotSent = errors.New("dispatcher: no connection to the worker; request not sent")
