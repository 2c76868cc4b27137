package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// event is a change that the goroutine of the dispatcher applies to the state of the dispatcher.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// reportEvent is the outcome of a lease renewal, either a report or an error.
type reportEvent struct {
	worker      model.HostID
	report      Report
	err         error
	sentAt      time.Time
	respondedAt time.Time
	maxWait     time.Duration // time for which the worker may have delayed the report
	ackedSeq    int64         // sequence number of the last run end that the request acknowledged
	handled     chan struct{} // closed once the event has been applied
}

// startEvent is the outcome of a start request.
type startEvent struct {
	worker      model.HostID
	run         model.RunRef
	response    Response
	sentAt      time.Time
	respondedAt time.Time
	err         error
}

// stopEvent is the outcome of a stop request.
type stopEvent struct {
	worker      model.HostID
	run         model.RunRef
	number      int // number of the stop request among those of the run
	response    Response
	sentAt      time.Time
	respondedAt time.Time
	err         error
}

// jobEvent contains a job that was added or changed in the log.
type jobEvent struct{ job journaler.Job }

// workersEvent contains a new list of workers from the platform.
type workersEvent struct{ workers []model.Worker }

// entitlementsEvent contains the guarantees and quotas of a new configuration.
type entitlementsEvent struct{ entitlements Entitlements }

// statusEvent asks for the status of all workers.
type statusEvent struct{ result chan<- []model.WorkerStatus }

// appendEvent is the outcome of an append to the log.
type appendEvent struct {
	batch *batch
	err   error
}

// resignEvent makes the leader resign, because the host is shutting down or for a reason.
type resignEvent struct{ reason journaler.ResignReason }
