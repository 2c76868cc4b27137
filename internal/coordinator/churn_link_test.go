package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/fake/log"
	"chestnutmux.example/chestnutmux/internal/fake/worker"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// linkFault is a fault of the calls from one host to one worker.
type linkFault string

const (
	linkSound     linkFault = ""
	linkRefused   linkFault = "refused"    // the connection is refused, so the request is not sent
	linkSilent    linkFault = "silent"     // the request is lost
	linkOneWay    linkFault = "one-way"    // the request is carried out, its response is lost
	linkLate      linkFault = "late"       // the request gets no response and is carried out after newer ones
	linkReset     linkFault = "reset"      // the connection is reset, and the request is carried out
	linkResetLate linkFault = "reset-late" // the connection is reset, and the request is carried out after newer ones
	linkSlow      linkFault = "slow"       // the request and its response are delayed
)

// Times of the faults of a link.
const (
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
	maxSlowDelay = 1500 * time.Millisecond
)

// churnLink holds the faults of the calls from one host to the workers and to the log.
type churnLink struct {
	cluster *cluster
	host    *testHost
	// outlivesRestart says that late requests are carried out by a worker that was restarted meanwhile.
	outlivesRestart bool

	mu          sync.Mutex
	rng         *rand.Rand
	workers     map[model.HostID]linkFault
	readFault   log.CallFault
	appendFault log.CallFault
}

func newChurnLink(c *cluster, h *testHost, outlivesRestart bool) *churnLink {
	return &churnLink{
		cluster: c, host: h, outlivesRestart: outlivesRestart, rng: rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
		workers: map[model.HostID]linkFault{},
	}
}

func (l *churnLink) setWorker(id model.HostID, f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workers[id] = f
}

func (l *churnLink) setLog(read, appends log.CallFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readFault, l.appendFault = read, appends
}

// clear ends all faults of the link.
func (l *churnLink) clear() {
	l.setLog(log.NoFault, log.NoFault)
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.workers)
}

// randomDelay returns a random duration from minDelay up to maxDelay.
func (l *churnLink) randomDelay(minDelay, maxDelay time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return minDelay + time.Duration(l.rng.Int64N(int64(maxDelay-minDelay)))
}

// workerFault returns the fault of the next call to a worker.
func (l *churnLink) workerFault(id model.HostID) linkFault {
	l.host.awaitPauseEnd()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workers[id]
}

// Start implements dispatcher.WorkerClient.
func (l *churnLink) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	return callOverLink(ctx, l, w.ID, func() (dispatcher.Response, error) {
		resp, err := l.cluster.fleet.StartRun(w.ID, req, time.Now())
		l.cluster.note(w.ID, "gets start", req.Run.Task.String(), req.Run.Number, "fence", req.Fence, "lease until", req.LeaseUntil, "at", resp.Clock, err)
		return resp, err
	})
}

// Stop implements dispatcher.WorkerClient.
func (l *churnLink) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	return callOverLink(ctx, l, w.ID, func() (dispatcher.Response, error) {
		resp, err := l.cluster.fleet.StopRun(w.ID, req, time.Now())
		l.cluster.note(w.ID, "gets stop", req.Run.Task.String(), req.Run.Number, "fence", req.Fence, err)
		return resp, err
	})
}

// RenewLease implements dispatcher.WorkerClient.
func (l *churnLink) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	return callOverLink(ctx, l, w.ID, func() (dispatcher.Report, error) { return l.cluster.fleet.RenewLeaseAndWait(ctx, w.ID, req) })
}

// callOverLink makes a call to a worker under the current fault of the link.
func callOverLink[Out any](ctx context.Context, l *churnLink, id model.HostID, send func() (Out, error)) (out Out, err error) {
	switch l.workerFault(id) {
	case linkRefused:
		return out, errors.Mark(syscall.ECONNREFUSED, dispatcher.ErrNotSent)
	case linkSilent:
	case linkOneWay:
		_, _ = callIfUp(l, id, send)
	case linkLate:
		sendLate(l, id, send)
	case linkReset:
		_, _ = callIfUp(l, id, send)
		return out, syscall.ECONNRESET
	case linkResetLate:
		sendLate(l, id, send)
		return out, syscall.ECONNRESET
	case linkSlow:
		return callSlowly(ctx, l, id, send)
	default:
		out, err = callIfUp(l, id, send)
		if ctx.Err() != nil && err == nil {
			err = ctx.Err()
		}
		return out, err
	}
	<-ctx.Done()
	return out, ctx.Err()
}

// callIfUp makes a call that the worker's system refuses if the worker is down.
func callIfUp[Out any](l *churnLink, id model.HostID, send func() (Out, error)) (out Out, err error) {
	if l.cluster.fleet.IsDown(id, time.Now()) {
		return out, errors.Mark(syscall.ECONNREFUSED, dispatcher.ErrNotSent)
	}
	return send()
}

// sendLate makes a call after a delay. Its caller doesn't learn the outcome.
func sendLate[Out any](l *churnLink, id model.HostID, send func() (Out, error)) {
	before := l.cluster.fleet.Incarnation(id)
	go func() {
		time.Sleep(l.randomDelay(minLateDelay, maxLateDelay))
		if l.outlivesRestart || l.cluster.fleet.Incarnation(id) == before {
			_, _ = callIfUp(l, id, send)
		}
	}()
}

// callSlowly makes a call whose request and response are delayed. The request arrives even if the caller does not wait.
func callSlowly[Out any](ctx context.Context, l *churnLink, id model.HostID, send func() (Out, error)) (out Out, err error) {
	type outcome struct {
		out Out
		err error
	}
	done := make(chan outcome, 1)
	before := l.cluster.fleet.Incarnation(id)
	go func() {
		time.Sleep(l.randomDelay(0, maxSlowDelay))
		if l.cluster.fleet.Incarnation(id) != before {
			done <- outcome{err: syscall.ECONNRESET} // the connection ended with the process
			return
		}
		var o outcome
		o.out, o.err = callIfUp(l, id, send)
		time.Sleep(l.randomDelay(0, maxSlowDelay))
		done <- o
	}()
	select {
	case o := <-done:
		return o.out, o.err
	case <-ctx.Done():
		return out, ctx.Err()
	}
}

// Append implements journaler.Log.
func (l *churnLink) Append(ctx context.Context, records []journaler.Record, cond journaler.AppendCondition) (model.Offset, error) {
	return l.stream(func() log.CallFault { return l.appendFault }).Append(ctx, records, cond)
}

// Read implements journaler.Log.
func (l *churnLink) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	return l.stream(func() log.CallFault { return l.readFault }).Read(ctx, from, wait)
}

// ReadNewest implements journaler.Log.
func (l *churnLink) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	return l.stream(func() log.CallFault { return l.readFault }).ReadNewest(ctx, after)
}

// stream returns the log under a fault of this host, or under the fault of all hosts.
func (l *churnLink) stream(own func() log.CallFault) *log.DirectStream {
	return &log.DirectStream{Log: l.cluster.log, StreamName: "jobs", InjectFault: func() log.CallFault {
		if f := l.host.logFault(); f != log.NoFault {
			return f
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		return own()
	}}
}

// workerList is the platform's list of workers, which may be empty or old for a time. It implements Registry.
type workerList struct {
	fleet *worker.Fleet

	mu      sync.Mutex
	entries []listedWorker
	hidden  time.Time // the list is empty until then
	frozen  []model.Worker
	oldTill time.Time // the list is as frozen until then
}

// listedWorker is a worker of the list.
type listedWorker struct {
	model.Worker
	leavesAt time.Time // time at which a draining worker ends at the earliest; zero if it does not drain
}

// current returns the list as the platform shows it now.
func (l *workerList) current(now time.Time) []model.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentLocked(now)
}

func (l *workerList) currentLocked(now time.Time) []model.Worker {
	switch {
	case now.Before(l.hidden):
		return nil
	case now.Before(l.oldTill):
		return l.frozen
	}
	var out []model.Worker
	for _, e := range l.entries {
		w := e.Worker
		w.Incarnation = l.fleet.Incarnation(w.ID)
		if !e.leavesAt.IsZero() {
			w.State, w.MinRemainingMS = model.WorkerDraining, model.Millis(max(0, e.leavesAt.Sub(now).Milliseconds()))
		}
		out = append(out, w)
	}
	return out
}

// Follow implements Registry.
func (l *workerList) Follow(ctx context.Context, refresh <-chan struct{}, update func([]model.Worker)) {
	for ctx.Err() == nil {
		update(l.current(time.Now()))
		select {
		case <-ctx.Done():
		case <-refresh:
		case <-time.After(400 * time.Millisecond):
		}
	}
}
