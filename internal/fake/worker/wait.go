package worker

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// RenewLeaseAndWait handles a request to renew the lease and waits for a run to end, for at most the requested time.
// It returns an error if the worker restarts during the wait.
func (f *Fleet) RenewLeaseAndWait(ctx context.Context, id model.HostID, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	if req.MaxWait == 0 {
		return f.RenewLease(id, req, time.Now())
	}
	incarnation, hasEnds, err := f.beginWait(id, req)
	if err != nil {
		return dispatcher.Report{}, err
	}
	for deadline := time.Now().Add(req.MaxWait); !hasEnds && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(pollInterval)
		if f.Incarnation(id) != incarnation {
			return dispatcher.Report{}, errWorkerRestarted
		}
		hasEnds = f.HasUnacknowledgedEnds(id, req.AckedThrough, time.Now())
	}
	return f.RenewLease(id, dispatcher.RenewLeaseRequest{Fence: req.Fence, AckedThrough: req.AckedThrough}, time.Now())
}

// beginWait handles a request whose report follows after the wait.
func (f *Fleet) beginWait(id model.HostID, req dispatcher.RenewLeaseRequest) (incarnation int64, hasEnds bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.renewLease(id, req, time.Now())
	if err != nil {
		return 0, false, err
	}
	return s.startedAt.UnixMilli(), len(s.pendingEnds) > 0, nil
}

// errWorkerRestarted is returned for a call if the worker restarted before it could respond.
var errWorkerRestarted = errors.New("worker: restarted while the call was in progress")

// Incarnation returns a number that changes whenever the worker restarts.
func (f *Fleet) Incarnation(id model.HostID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].startedAt.UnixMilli()
}

// HasUnacknowledgedEnds reports whether a worker has run ends above the acknowledged sequence number.
func (f *Fleet) HasUnacknowledgedEnds(id model.HostID, ackedThrough int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueEnds(now)
	return f.workers[id].lastEndSequence > ackedThrough
}
