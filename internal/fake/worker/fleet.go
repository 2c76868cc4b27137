package worker

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxListedEnds is the maximum number of run ends in a report.
const maxListedEnds = 500

// Options configures all workers of a fleet; zero fields take the defaults.
type Options struct {
	DefaultRunTime   time.Duration // run time of a task whose payload has no run-ms
	StopDuration     time.Duration // time from a stop request to the end of the run
	GangTimeout      time.Duration // time that a gang member waits for the others to start
	MaxLeaseDuration time.Duration // a longer lease is cut to this duration
	// CheckpointInterval is the amount of work between two checkpoints.
	CheckpointInterval time.Duration
}

func (opts *Options) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&opts.DefaultRunTime, time.Second},
		{&opts.StopDuration, 50 * time.Millisecond},
		{&opts.GangTimeout, 3 * time.Second},
		{&opts.MaxLeaseDuration, 10 * time.Second},
		{&opts.CheckpointInterval, time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Fleet simulates all workers of a deployment; its methods may be called concurrently.
type Fleet struct {
	opts Options

	mu          sync.Mutex
	workers     map[model.HostID]*workerState
	gangs       map[gangKey]*gang
	ledger      ledger
	nextEndTime time.Time // no run ends before this time; the zero value makes applyDueEnds check all runs
}

// NewFleet returns a fleet without workers.
func NewFleet(opts Options) *Fleet {
	opts.setDefaults()
	return &Fleet{opts: opts, workers: map[model.HostID]*workerState{}, gangs: map[gangKey]*gang{}, ledger: newLedger()}
}

// workerState is the state of one worker.
type workerState struct {
	id              model.HostID
	capacity        model.Resources
	formerCapacity  model.Resources // also allowed until shrinkCountsAt
	shrinkCountsAt  time.Time
	startedAt       time.Time // also the origin of its clock and, in Unix milliseconds, its incarnation
	highestFence    model.FencingToken
	leaseEnd        time.Time
	runs            map[model.RunRef]*run
	highestEndedRun map[model.TaskRef]model.RunNumber // highest number among the ended and stopped runs of each task
	pendingEnds     []model.RunEnd                    // unacknowledged run ends, by ascending sequence number
	// The ledger ignores acknowledgements up to this sequence number, because the lease had expired before they arrived.
	ignoredAcksThrough int64
	lastEndSequence    int64     // sequence number of the latest run end
	failRuns           bool      // each run that starts fails
	downUntil          time.Time // the worker has crashed and refuses connections until then
	clockRate          float64   // rate of its clock relative to real time; 0 means 1
	slowness           float64   // run time as a multiple of that in the payload
}

// run is a run of a task on a worker.
type run struct {
	ref             model.RunRef
	resources       model.Resources
	gang            *gang
	startedAt       time.Time
	workStartedAt   time.Time     // zero while the run waits for the other members of its gang
	slowness        float64       // of its worker or, from the start of its gang on, of the slowest one
	totalWork       time.Duration // work of the whole task
	resumedProgress time.Duration // work done at the checkpoint that the run resumed from
	stopAt          time.Time     // time at which a requested stop takes effect; zero if none was requested
	willFail        bool
}

// gangKey identifies a run of a gang; all members have the same run number.
type gangKey struct {
	step      model.StepRef
	runNumber model.RunNumber
}

// gang is one run of a gang on several workers.
type gang struct {
	size          int
	workersByTask map[model.TaskRef]*workerState // members whose runs have started and not ended
	started       bool                           // set once all members have started
}

// AddWorker adds a worker that starts now.
func (f *Fleet) AddWorker(id model.HostID, capacity model.Resources, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = &workerState{id: id, capacity: capacity, slowness: 1}
	f.workers[id].reset(now)
}

// RestartWorker restarts a worker without any of its state, as if its process had ended.
func (f *Fleet) RestartWorker(id model.HostID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.workers[id]
	f.applyDueEnds(now)
	f.nextEndTime = time.Time{}
	f.loseRuns(s, now)
	s.reset(now)
	s.downUntil = time.Time{}
}

// RestartWorkerAs restarts a worker like RestartWorker. The capacity of the new process counts from its start on.
func (f *Fleet) RestartWorkerAs(id model.HostID, capacity model.Resources, now time.Time) {
	f.RestartWorker(id, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.workers[id]
	s.capacity, s.shrinkCountsAt = capacity, time.Time{}
}

func (s *workerState) reset(now time.Time) {
	if !now.After(s.startedAt) {
		now = s.startedAt.Add(time.Millisecond) // incarnations must differ in milliseconds
	}
	s.startedAt = now
	s.highestFence, s.leaseEnd, s.lastEndSequence, s.pendingEnds, s.ignoredAcksThrough = 0, time.Time{}, 0, nil, 0
	s.runs = map[model.RunRef]*run{}
	s.highestEndedRun = map[model.TaskRef]model.RunNumber{}
}

// SetFailRuns sets whether the worker fails each run that starts from now on.
func (f *Fleet) SetFailRuns(id model.HostID, fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failRuns = fail
}

// SetClockRate sets the rate of a worker's clock relative to real time. It must be called before the worker is used.
func (f *Fleet) SetClockRate(id model.HostID, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].clockRate = rate
}

// workerTime returns the reading of the worker's clock, which counts milliseconds since its start.
func (s *workerState) workerTime(now time.Time) dispatcher.WorkerTime {
	return dispatcher.WorkerTime(s.onClock(now.Sub(s.startedAt)).Milliseconds())
}

// onClock returns the length of a real time on the worker's clock.
func (s *workerState) onClock(d time.Duration) time.Duration {
	if s.clockRate == 0 {
		return d
	}
	return time.Duration(float64(d) * s.clockRate)
}

// fromClock returns the real time that a time on the worker's clock takes.
func (s *workerState) fromClock(d time.Duration) time.Duration {
	if s.clockRate == 0 {
		return d
	}
	return time.Duration(float64(d) / s.clockRate)
}

// extendLease extends the worker lease; a requested end before the current one leaves it unchanged.
func (f *Fleet) extendLease(s *workerState, leaseUntil dispatcher.WorkerTime, now time.Time) {
	if now.After(s.leaseEnd) {
		s.ignoredAcksThrough = s.lastEndSequence
	}
	leaseEnd := s.startedAt.Add(s.fromClock(time.Duration(leaseUntil) * time.Millisecond))
	if maxEnd := now.Add(s.fromClock(f.opts.MaxLeaseDuration)); leaseEnd.After(maxEnd) {
		leaseEnd = maxEnd
	}
	if leaseEnd.After(s.leaseEnd) {
		s.leaseEnd = leaseEnd
	}
}

// checkFence refuses a request with a lower fencing token than the highest seen, and otherwise records its token.
func (s *workerState) checkFence(fence model.FencingToken) error {
	if fence < s.highestFence {
		return &dispatcher.RefusedError{Reason: dispatcher.RefusedStaleFence}
	}
	s.highestFence = fence
	return nil
}

// StartRun handles a start request; a retry has no effect if the run has already started. A request that is refused as stale extends the lease
// all the same.
func (f *Fleet) StartRun(id model.HostID, req dispatcher.StartRequest, now time.Time) (dispatcher.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueEnds(now)
	f.nextEndTime = time.Time{}
	s := f.workers[id]
	if err := s.checkFence(req.Fence); err != nil {
		return dispatcher.Response{}, err
	}
	resp := dispatcher.Response{Clock: s.workerTime(now)}
	if s.runs[req.Run] != nil {
		return resp, nil
	}
	if req.Run.Number <= s.highestEndedRun[req.Run.Task] {
		f.extendLease(s, req.LeaseUntil, now)
		return resp, &dispatcher.RefusedError{Reason: dispatcher.RefusedStaleRun}
	}
	if req.LeaseUntil <= s.workerTime(now) {
		return resp, &dispatcher.RefusedError{Reason: dispatcher.RefusedLeaseExpired}
	}
	f.extendLease(s, req.LeaseUntil, now)
	if f.crashesWorker(req) {
		f.ledger.startsByTask[req.Run.Task.String()]++
		f.crash(s, now)
		return dispatcher.Response{}, errCrashed
	}
	totalWork, resumedProgress := f.runDurations(req)
	r := &run{ref: req.Run, resources: req.Need, startedAt: now, totalWork: totalWork, resumedProgress: resumedProgress, willFail: s.failRuns, slowness: s.slowness}
	s.runs[req.Run] = r
	f.ledger.recordStart(s, r)
	f.joinGang(s, r, req.GangSize, now)
	return resp, nil
}

// runDurations returns the total work of the task and the progress at the checkpoint that the run resumes from.
func (f *Fleet) runDurations(req dispatcher.StartRequest) (totalWork, resumedProgress time.Duration) {
	var payload struct {
		RunMS model.Millis `json:"run-ms"`
	}
	totalWork = f.opts.DefaultRunTime
	if json.Unmarshal([]byte(req.Payload), &payload) == nil && payload.RunMS > 0 {
		totalWork = time.Duration(payload.RunMS) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(strings.TrimPrefix(string(req.Checkpoint), "at-ms:"), 10, 64); err == nil {
		resumedProgress = time.Duration(ms) * time.Millisecond
	}
	return totalWork, resumedProgress
}

// joinGang adds a run to its gang. The members begin to work once all have joined; a run without a gang begins at once.
func (f *Fleet) joinGang(s *workerState, r *run, size int, now time.Time) {
	if size <= 1 {
		r.workStartedAt = now
		return
	}
	key := gangKey{step: r.ref.Task.StepRef, runNumber: r.ref.Number}
	g := f.gangs[key]
	if g == nil {
		g = &gang{size: size, workersByTask: map[model.TaskRef]*workerState{}}
		f.gangs[key] = g
	}
	r.gang = g
	g.workersByTask[r.ref.Task] = s
	if len(g.workersByTask) < size {
		return
	}
	g.started = true
	slowest := 0.0
	for _, w := range g.workersByTask {
		slowest = max(slowest, w.slowness)
	}
	for ref, w := range g.workersByTask {
		member := w.runs[model.RunRef{Task: ref, Number: r.ref.Number}]
		member.workStartedAt, member.slowness = now, slowest
	}
}

// StopRun handles a stop request; if the run has not started yet, a later request to start it is refused.
func (f *Fleet) StopRun(id model.HostID, req dispatcher.StopRequest, now time.Time) (dispatcher.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueEnds(now)
	f.nextEndTime = time.Time{}
	s := f.workers[id]
	if err := s.checkFence(req.Fence); err != nil {
		return dispatcher.Response{}, err
	}
	s.highestEndedRun[req.Run.Task] = max(s.highestEndedRun[req.Run.Task], req.Run.Number)
	if r := s.runs[req.Run]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(f.opts.StopDuration)
	}
	return dispatcher.Response{Clock: s.workerTime(now)}, nil
}

// RenewLease handles a request to renew the lease: it also discards acknowledged run ends and returns the worker's report.
func (f *Fleet) RenewLease(id model.HostID, req dispatcher.RenewLeaseRequest, now time.Time) (dispatcher.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := f.renewLease(id, req, now)
	if err != nil {
		return dispatcher.Report{}, err
	}
	return f.buildReport(s, now), nil
}

// renewLease handles a request to renew the lease and returns its worker.
func (f *Fleet) renewLease(id model.HostID, req dispatcher.RenewLeaseRequest, now time.Time) (*workerState, error) {
	f.applyDueEnds(now)
	s := f.workers[id]
	if err := s.checkFence(req.Fence); err != nil {
		return nil, err
	}
	if now.After(s.leaseEnd) {
		s.ignoredAcksThrough = s.lastEndSequence
	}
	for len(s.pendingEnds) > 0 && s.pendingEnds[0].Sequence <= req.AckedThrough {
		if s.pendingEnds[0].Sequence > s.ignoredAcksThrough {
			f.ledger.recordAcknowledgment(s, s.pendingEnds[0])
		}
		s.pendingEnds = s.pendingEnds[1:]
	}
	if req.LeaseUntil > 0 {
		f.extendLease(s, req.LeaseUntil, now)
	}
	return s, nil
}

// buildReport returns the running and the unacknowledged ended runs of a worker.
func (f *Fleet) buildReport(s *workerState, now time.Time) dispatcher.Report {
	listed := s.pendingEnds[:min(len(s.pendingEnds), maxListedEnds)]
	report := dispatcher.Report{Clock: s.workerTime(now), Incarnation: s.startedAt.UnixMilli(), Ended: append([]model.RunEnd{}, listed...)}
	if len(s.runs) > 0 {
		report.Running = make([]model.RunProgress, 0, len(s.runs))
	}
	for _, r := range s.runs {
		report.Running = append(report.Running, model.RunProgress{Run: r.ref, Checkpoint: f.checkpointAt(r, now), PercentDone: r.percentDone(now)})
	}
	return report
}

// checkpointAt returns the latest checkpoint of the run, or an empty one if its progress is below one checkpoint interval.
func (f *Fleet) checkpointAt(r *run, now time.Time) model.Checkpoint {
	progress := r.progressAt(now) / f.opts.CheckpointInterval * f.opts.CheckpointInterval
	if progress <= 0 {
		return ""
	}
	return model.Checkpoint("at-ms:" + strconv.FormatInt(progress.Milliseconds(), 10))
}

// progressAt returns the work done so far, including the work before the checkpoint that the run resumed from.
func (r *run) progressAt(now time.Time) time.Duration {
	if r.workStartedAt.IsZero() {
		return r.resumedProgress
	}
	return min(r.resumedProgress+time.Duration(float64(now.Sub(r.workStartedAt))/r.slowness), r.totalWork)
}

func (r *run) percentDone(now time.Time) int {
	return int(100 * r.progressAt(now) / r.totalWork)
}
