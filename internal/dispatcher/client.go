package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// WorkerClient sends orders to workers.
//
// An error that is neither a RefusedError nor ErrNotSent leaves open whether the order is or will be carried out.
type WorkerClient interface {
	Start(ctx context.Context, w model.Worker, o StartRequest) (Reply, error)
	Stop(ctx context.Context, w model.Worker, o StopRequest) (Reply, error)
	RenewLease(ctx context.Context, w model.Worker, o RenewLeaseRequest) (Report, error)
}

// WorkerTime is a time on the steady clock of one worker, in milliseconds.
type WorkerTime int64

// StartRequest starts a run.
type StartRequest struct {
	Run        model.RunRef       `json:"run"`
	Payload    string             `json:"payload"`
	Checkpoint model.Checkpoint   `json:"checkpoint,omitempty"` // the run resumes from it
	Fence      model.FencingToken `json:"fence"`
	LeaseUntil WorkerTime         `json:"lease-until-ms"`
	Need       model.Resources    `json:"need"`
	GangSize   int                `json:"members,omitempty"` // of the gang; 0 for a task of its own
}

// StopRequest stops a run; a run that is not there yet will be refused.
type StopRequest struct {
	Run   model.RunRef       `json:"run"`
	Fence model.FencingToken `json:"fence"`
}

// RenewLeaseRequest renews the lease of a worker and asks for its runs.
type RenewLeaseRequest struct {
	Fence        model.FencingToken `json:"fence"`
	AckedThrough int64              `json:"acknowledged"` // ends up to this number may be forgotten
	LeaseUntil   WorkerTime         `json:"lease-until-ms,omitempty"`
	MaxWait      time.Duration      `json:"wait-ns,omitempty"` // for an end that is not acknowledged
}

// Reply is the answer to an order.
type Reply struct {
	Clock WorkerTime `json:"clock-ms"`
}

// Report lists the runs of a worker.
type Report struct {
	Clock       WorkerTime          `json:"clock-ms"`
	Incarnation int64               `json:"incarnation"`
	Running     []model.RunProgress `json:"running"`
	Ended       []model.RunEnd      `json:"ended"`
}

// RefusedError reports that a worker did nothing for an order.
type RefusedError struct{ Reason Refusal }

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return "dispatcher: the worker refused the order: " + string(e.Reason)
}

// Refusal is the reason why a worker did nothing.
type Refusal string

// The refusals of a worker.
const (
	RefusedStaleFence            Refusal = "fence"     // it has seen a higher fence
	RefusedStaleRun              Refusal = "old"       // a higher run of the task was there
	RefusedLeaseExpired          Refusal = "late"      // the lease of the order has expired
	RefusedInsufficientResources Refusal = "room"      // the run doesn't fit
	RefusedUnhealthy             Refusal = "unhealthy" // the worker takes nothing at present
	RefusedWrongWorker           Refusal = "gone"      // another worker has the address
	RefusedInvalid               Refusal = "invalid"
)

// ErrNotSent reports that no connection was made, so that the worker has not seen the order.
var ErrNotSent = errors.New("dispatcher: no connection to the worker; the order was not sent")
