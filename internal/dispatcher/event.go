package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// event is applied by the dispatcher's goroutine.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// reportEvent is the outcome of a lease renewal: a report, or an error.
type reportEvent struct {
	worker     model.HostID
	report     Report
	err        error
	sentAt     time.Time
	answeredAt time.Time
	ackedEnd   int64         // last run end that the request acknowledged
	handled    chan struct{} // closed once the event has been applied
}

// startEvent is the outcome of a start request.
type startEvent struct {
	worker     model.HostID
	run        model.RunRef
	reply      Response
	answeredAt time.Time
	err        error
}

// stopEvent is the outcome of a stop request.
type stopEvent struct {
	worker     model.HostID
	run        model.RunRef
	reply      Response
	answeredAt time.Time
	err        error
}

// jobEvent reports that a job was added or changed in the log.
type jobEvent struct{ job journaler.Job }

// workersEvent carries a new list of workers from the platform.
type workersEvent struct{ workers []model.Worker }

// limitsEvent carries new limits from the configuration.
type limitsEvent struct{ limits Limits }

// statusEvent asks for the status of all workers.
type statusEvent struct{ reply chan<- []model.WorkerStatus }

// appendEvent is the outcome of an append to the log.
type appendEvent struct {
	batch *batch
	err   error
}

// resignEvent ends the term because the host shuts down.
type resignEvent struct{}
