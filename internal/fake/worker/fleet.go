package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Options sets the behaviour of all workers of a fleet; zero fields take the defaults.
type Options struct {
	DefaultRunTime   time.Duration // of a run whose payload gives none
	StopDuration     time.Duration // from a stop to the end of the run
	GangTimeout      time.Duration // how long a member waits for the others
	MaxLeaseDuration time.Duration
	// CheckpointInterval is the work between two checkpoints.
	CheckpointInterval time.Duration
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		p *time.Duration
		v time.Duration
	}{
		{&o.DefaultRunTime, time.Second},
		{&o.StopDuration, 50 * time.Millisecond},
		{&o.GangTimeout, 3 * time.Second},
		{&o.MaxLeaseDuration, 10 * time.Second},
		{&o.CheckpointInterval, time.Second},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
}

// Fleet is the state of all workers of a deployment; its methods may be called by any goroutine.
type Fleet struct {
	opts Options

	mu      sync.Mutex
	workers map[model.HostID]*state
	gangs   map[gangKey]*gang
	ledger  Ledger
	nextEnd time.Time // no run ends before, unless an order changes that
}

// NewFleet returns a fleet without workers.
func NewFleet(o Options) *Fleet {
	o.setDefaults()
	return &Fleet{opts: o, workers: map[model.HostID]*state{}, gangs: map[gangKey]*gang{}, ledger: newLedger()}
}

// state is one worker.
type state struct {
	id       model.HostID
	capacity model.Resources
	born     time.Time
	fence    model.FencingToken
	lease    time.Time
	runs     map[model.RunRef]*run
	killed   map[model.TaskRef]model.RunNumber // highest run stopped or ended, by task
	ended    []model.RunEnd
	void     int64 // ends up to this number were not acknowledged before the lease ended; they count for nothing
	lastEnd  int64
	failAll  bool
}

// run is a run on a worker.
type run struct {
	id       model.RunRef
	need     model.Resources
	gang     *gang
	came     time.Time
	works    time.Time // when it began to work; zero while a gang waits
	work     time.Duration
	saved    time.Duration // progress of the checkpoint it resumed from
	stopping time.Time     // when a stop takes effect
	fails    bool
}

type gangKey struct {
	step   model.StepRef
	number model.RunNumber
}

// gang is one run of a gang over several workers.
type gang struct {
	members int
	present map[model.TaskRef]*state
	begun   bool
}

// AddWorker adds a worker that starts at the time.
func (f *Fleet) AddWorker(id model.HostID, capacity model.Resources, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = &state{id: id, capacity: capacity}
	f.workers[id].restart(now)
}

// RestartWorker loses all that a worker knows, as the end of its process does.
func (f *Fleet) RestartWorker(id model.HostID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.workers[id]
	f.settle(now)
	f.nextEnd = time.Time{}
	for _, r := range s.runs {
		f.leave(s, r)
		f.endOthers(r, model.EndGangMemberEnded, now)
	}
	s.restart(now)
}

func (s *state) restart(now time.Time) {
	if !now.After(s.born) {
		now = s.born.Add(time.Millisecond) // incarnations are told apart by milliseconds
	}
	s.born = now
	s.fence, s.lease, s.lastEnd, s.ended, s.void = 0, time.Time{}, 0, nil, 0
	s.runs = map[model.RunRef]*run{}
	s.killed = map[model.TaskRef]model.RunNumber{}
}

// SetFailRuns makes a worker fail each run that it starts from now on.
func (f *Fleet) SetFailRuns(id model.HostID, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failAll = on
}

func (s *state) clock(now time.Time) dispatcher.WorkerTime {
	return dispatcher.WorkerTime(now.Sub(s.born).Milliseconds())
}

// extend prolongs the lease of everything on the worker; it never shortens.
func (f *Fleet) extend(s *state, until dispatcher.WorkerTime, now time.Time) {
	if now.After(s.lease) {
		s.void = s.lastEnd
	}
	t := s.born.Add(time.Duration(until) * time.Millisecond)
	if most := now.Add(f.opts.MaxLeaseDuration); t.After(most) {
		t = most
	}
	if t.After(s.lease) {
		s.lease = t
	}
}

// admit checks the fence of an order.
func (s *state) admit(fence model.FencingToken) error {
	if fence < s.fence {
		return &dispatcher.RefusedError{Reason: dispatcher.RefusedStaleFence}
	}
	s.fence = fence
	return nil
}

// StartRun carries out a start order.
func (f *Fleet) StartRun(id model.HostID, o dispatcher.StartRequest, now time.Time) (dispatcher.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(now)
	f.nextEnd = time.Time{}
	s := f.workers[id]
	if err := s.admit(o.Fence); err != nil {
		return dispatcher.Response{}, err
	}
	reply := dispatcher.Response{Clock: s.clock(now)}
	if s.runs[o.Run] != nil {
		return reply, nil
	}
	if o.Run.Number <= s.killed[o.Run.Task] {
		return reply, &dispatcher.RefusedError{Reason: dispatcher.RefusedStaleRun}
	}
	if o.LeaseUntil <= s.clock(now) {
		return reply, &dispatcher.RefusedError{Reason: dispatcher.RefusedLeaseExpired}
	}
	f.extend(s, o.LeaseUntil, now)
	work, saved := f.plan(o)
	r := &run{id: o.Run, need: o.Need, came: now, work: work, saved: saved, fails: s.failAll}
	s.runs[o.Run] = r
	f.ledger.started(s, r)
	f.join(s, r, o.GangSize, now)
	return reply, nil
}

// plan returns the length of the run and the progress it resumes from.
func (f *Fleet) plan(o dispatcher.StartRequest) (work, saved time.Duration) {
	var p struct {
		RunMS model.Millis `json:"run-ms"`
	}
	work = f.opts.DefaultRunTime
	if json.Unmarshal([]byte(o.Payload), &p) == nil && p.RunMS > 0 {
		work = time.Duration(p.RunMS) * time.Millisecond
	}
	if ms, err := strconv.ParseInt(strings.TrimPrefix(string(o.Checkpoint), "at-ms:"), 10, 64); err == nil {
		saved = time.Duration(ms) * time.Millisecond
	}
	return work, saved
}

// join adds a member to its gang, which begins to work once it is whole.
func (f *Fleet) join(s *state, r *run, members int, now time.Time) {
	if members <= 1 {
		r.works = now
		return
	}
	k := gangKey{step: r.id.Task.StepRef, number: r.id.Number}
	g := f.gangs[k]
	if g == nil {
		g = &gang{members: members, present: map[model.TaskRef]*state{}}
		f.gangs[k] = g
	}
	r.gang = g
	g.present[r.id.Task] = s
	if len(g.present) < members {
		return
	}
	g.begun = true
	for ref, w := range g.present {
		w.runs[model.RunRef{Task: ref, Number: r.id.Number}].works = now
	}
}

// StopRun carries out a stop order; a run that is not there yet will be refused.
func (f *Fleet) StopRun(id model.HostID, o dispatcher.StopRequest, now time.Time) (dispatcher.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(now)
	f.nextEnd = time.Time{}
	s := f.workers[id]
	if err := s.admit(o.Fence); err != nil {
		return dispatcher.Response{}, err
	}
	s.killed[o.Run.Task] = max(s.killed[o.Run.Task], o.Run.Number)
	if r := s.runs[o.Run]; r != nil && r.stopping.IsZero() {
		r.stopping = now.Add(f.opts.StopDuration)
	}
	return dispatcher.Response{Clock: s.clock(now)}, nil
}

// RenewLease renews the lease, forgets acknowledged ends and lists the runs.
func (f *Fleet) RenewLease(id model.HostID, o dispatcher.RenewLeaseRequest, now time.Time) (dispatcher.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(now)
	s := f.workers[id]
	if err := s.admit(o.Fence); err != nil {
		return dispatcher.Report{}, err
	}
	if now.After(s.lease) {
		s.void = s.lastEnd
	}
	for len(s.ended) > 0 && s.ended[0].Sequence <= o.AckedThrough {
		if s.ended[0].Sequence > s.void {
			f.ledger.acknowledged(s.ended[0])
		}
		s.ended = s.ended[1:]
	}
	if o.LeaseUntil > 0 {
		f.extend(s, o.LeaseUntil, now)
	}
	return f.report(s, now), nil
}

func (f *Fleet) report(s *state, now time.Time) dispatcher.Report {
	rep := dispatcher.Report{Clock: s.clock(now), Incarnation: s.born.UnixMilli(), Ended: append([]model.RunEnd{}, s.ended...)}
	for _, r := range s.runs {
		rep.Running = append(rep.Running, model.RunProgress{Run: r.id, Checkpoint: f.checkpoint(r, now), PercentDone: r.percent(now)})
	}
	return rep
}

// checkpoint returns the progress that the run has saved.
func (f *Fleet) checkpoint(r *run, now time.Time) model.Checkpoint {
	p := r.progress(now) / f.opts.CheckpointInterval * f.opts.CheckpointInterval
	if p <= 0 {
		return ""
	}
	return model.Checkpoint(fmt.Sprintf("at-ms:%d", p.Milliseconds()))
}

func (r *run) progress(now time.Time) time.Duration {
	if r.works.IsZero() {
		return r.saved
	}
	return min(r.saved+now.Sub(r.works), r.work)
}

func (r *run) percent(now time.Time) int {
	return int(100 * r.progress(now) / r.work)
}

// RenewLeaseAndWait carries out a hold order and waits for an end; a restart meanwhile breaks the call off.
func (f *Fleet) RenewLeaseAndWait(ctx context.Context, id model.HostID, o dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	rep, err := f.RenewLease(id, o, time.Now())
	deadline := time.Now().Add(o.MaxWait)
	for err == nil && len(rep.Ended) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(holdStep)
		if f.incarnation(id) != rep.Incarnation {
			return dispatcher.Report{}, errRestarted
		}
		if f.HasUnacknowledgedEnds(id, o.AckedThrough, time.Now()) {
			break
		}
	}
	if err != nil || o.MaxWait == 0 {
		return rep, err
	}
	return f.RenewLease(id, dispatcher.RenewLeaseRequest{Fence: o.Fence, AckedThrough: o.AckedThrough}, time.Now())
}

// errRestarted reports a call whose worker was restarted before it could answer.
var errRestarted = errors.New("worker: restarted while the call was in progress")

func (f *Fleet) incarnation(id model.HostID) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].born.UnixMilli()
}

// HasUnacknowledgedEnds reports whether a worker lists ends above the acknowledged number.
func (f *Fleet) HasUnacknowledgedEnds(id model.HostID, acknowledged int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle(now)
	return f.workers[id].lastEnd > acknowledged
}
