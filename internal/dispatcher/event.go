package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// event is a message to the dispatcher's goroutine.
type event interface {
	apply(d *Dispatcher, now time.Time)
}

// reported is a report of a worker, or the failure to get one.
type reported struct {
	worker     model.HostID
	report     Report
	err        error
	sentAt     time.Time
	answeredAt time.Time
	acked      int64
	done       chan struct{}
}

// started is the outcome of a start order.
type started struct {
	worker     model.HostID
	run        model.RunRef
	reply      Reply
	answeredAt time.Time
	err        error
}

// stopped is the outcome of a stop order.
type stopped struct {
	worker     model.HostID
	run        model.RunRef
	reply      Reply
	answeredAt time.Time
	err        error
}

// changed is a change of a job in the log.
type changed struct{ job journaler.Job }

// listed is a new list of workers.
type listed struct{ workers []model.Worker }

// limited are new limits of the configuration.
type limited struct{ limits Limits }

// asked asks for a description of the workers.
type asked struct{ reply chan<- []model.WorkerStatus }

// written is the outcome of an append of this leader.
type written struct {
	batch *flush
	err   error
}

// resign ends the term of a leader that shuts down.
type resign struct{}
