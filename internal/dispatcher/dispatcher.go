package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// eventBuffer is the number of messages that wait for the dispatcher before senders block.
	eventBuffer = 4096
	// tick is the longest pause between looks at leases and deadlines.
	tick = 150 * time.Millisecond
	// passShare is the time from one pass to the next, as a multiple of the time that the pass took.
	passShare = 4
	// startLease is the lease that a start grants to a worker without other work; the next report extends it.
	startLease = 3 * time.Second
)

// ErrDeposed ends a dispatcher whose term is over.
var ErrDeposed = errors.New("dispatcher: another host leads")

// Dispatcher directs the workers during one term; set the fields before Run.
type Dispatcher struct {
	Term          journaler.Term
	TermOffset    model.Offset // of the first record of the term
	Log           journaler.Log
	Workers       WorkerClient
	Logger        hclog.Logger
	Metrics       *Metrics
	LeaseDuration time.Duration                           // of everything that runs on a worker
	StopTimeout   time.Duration                           // that a worker may take to stop a run
	JobRetention  time.Duration                           // that the state of an ended job is kept
	LookupJob     func(model.JobID) (journaler.Job, bool) // jobs that have ended, too
	// OnViolation is called when an invariant does not hold.
	OnViolation func(inv asserter.Invariant, args ...any)

	ctx        context.Context
	events     chan event
	jobs       map[model.JobID]*job
	finished   map[model.JobID]bool // in this term; the log may still show an earlier state
	workers    map[model.HostID]*worker
	fleetDirty bool
	limits     Limits
	journal    journal
	planned    bool      // the plan is up to date
	lookedAt   time.Time // of the last pass
	lookAt     time.Time // of the next pass, at the earliest
	settled    bool      // every worker that a former leader may have used is known
	headroom   map[model.ServiceID]*headroom
	observedAt time.Time // of the last observation of the headroom
	reclaimer  placer.PreemptionPlanner
	adopted    []*step // gangs that may lack members that a former leader started
	order      int64
	err        error
}

// Init prepares the dispatcher for messages.
func (d *Dispatcher) Init() {
	d.events = make(chan event, eventBuffer)
	d.jobs = map[model.JobID]*job{}
	d.finished = map[model.JobID]bool{}
	d.workers = map[model.HostID]*worker{}
	d.headroom = map[model.ServiceID]*headroom{}
	d.journal.init(d)
}

// UpdateJob reports a job that changed in the log.
func (d *Dispatcher) UpdateJob(j journaler.Job) { d.post(&changed{job: j}) }

// UpdateWorkers reports the platform's list of workers.
func (d *Dispatcher) UpdateWorkers(workers []model.Worker) { d.post(&listed{workers: workers}) }

// SetLimits reports what the configuration guarantees to each workspace and allows it.
func (d *Dispatcher) SetLimits(l Limits) { d.post(&limited{limits: l}) }

// Limits are the bounds of the configuration on accelerators in use.
type Limits struct {
	Guaranteed map[model.WorkspaceID]model.Accelerators // for jobs of priority 0, at any time
	Quota      map[model.WorkspaceID]model.Accelerators // most in use at once; a workspace without an entry has none
}

func (d *Dispatcher) post(e event) {
	d.events <- e
}

// Run directs the workers until the context ends or another leader takes over; then it returns ErrDeposed.
//
// jobs are the jobs as folded when the term began, fleet the workers that former leaders used.
func (d *Dispatcher) Run(ctx context.Context, jobs []journaler.Job, fleet []journaler.FleetWorker, listed []model.Worker) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	d.takeOver(jobs, fleet, listed)
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for d.err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.events:
			d.apply(e)
		case <-timer.C:
		}
		d.look(time.Now())
		d.journal.flush(time.Now())
		timer.Reset(time.Until(d.nextAt()))
	}
	return d.err
}

// look expires leases and plans when something has changed, or after a tick.
//
// A pass over a large fleet takes milliseconds, and a busy fleet sends hundreds of events a second. The pause after a pass
// leaves most of the processor to the calls to workers: otherwise they would time out, and sound runs be taken as lost.
func (d *Dispatcher) look(now time.Time) {
	if now.Before(d.lookAt) || d.planned && now.Before(d.lookedAt.Add(tick)) {
		return
	}
	d.planned = true
	d.expire(now)
	d.plan(now)
	took := time.Since(now)
	d.lookedAt = now
	d.lookAt = now.Add(passShare * took)
	d.Metrics.PassDuration.Record("pass", took)
}

// nextAt returns when the loop has something to do without an event.
func (d *Dispatcher) nextAt() time.Time {
	at := d.lookedAt.Add(tick)
	if !d.planned {
		at = d.lookAt
	}
	if due := d.journal.dueAt(); due.Before(at) {
		at = due
	}
	return at
}

// apply handles a message and those that wait behind it.
func (d *Dispatcher) apply(e event) {
	now := time.Now()
	for {
		e.apply(d, now)
		select {
		case e = <-d.events:
		default:
			return
		}
	}
}

// depose ends the term.
func (d *Dispatcher) depose(reason string, kv ...any) {
	if d.err != nil {
		return
	}
	d.Logger.Warn("term over", append([]any{"fence", d.Term.Fence, "reason", reason}, kv...)...)
	d.err = ErrDeposed
}

func (e *limited) apply(d *Dispatcher, _ time.Time) {
	d.limits = e.limits
	d.planned = false
}

// addJob takes a job into the plan.
func (d *Dispatcher) addJob(j journaler.Job, now time.Time) *job {
	out := newJob(j, now)
	d.order++
	out.order = d.order
	out.old = j.AcceptedOffset < d.TermOffset
	d.jobs[out.sub.ID] = out
	d.Metrics.Jobs.Add("accepted", 1)
	return out
}

func (e *changed) apply(d *Dispatcher, now time.Time) {
	id := e.job.Submission.ID
	j := d.jobs[id]
	if j == nil {
		if d.finished[id] || e.job.Progress.State.IsFinal() {
			return
		}
		j = d.addJob(e.job, now)
	}
	d.planned = false
	if e.job.Cancelled && !j.cancelled {
		j.cancelled = true
	}
	if j.cancelled {
		d.cancel(j, now)
	}
}

// cancel stops all tasks of a cancelled job.
func (d *Dispatcher) cancel(j *job, now time.Time) {
	if j.state.IsFinal() && j.state != model.JobCancelled {
		return
	}
	d.Logger.Info("job cancelled", "job", j.sub.ID, "was", j.state, "running", j.active())
	d.finish(j, model.JobCancelled, "", now)
}

// finish gives a job its final state and stops what still runs.
func (d *Dispatcher) finish(j *job, st model.JobState, reason string, now time.Time) {
	j.state, j.reason = st, reason
	for _, s := range j.steps {
		s.claim = nil
		for _, t := range s.tasks {
			if t.active != nil && st != model.JobFinished {
				d.stopRun(t.active, "job "+string(st), now)
			}
		}
	}
	d.Metrics.ended(j, now)
	d.Logger.Info("job ended", "job", j.sub.ID, "queue", j.sub.Queue.ID, "state", st, "reason", reason,
		"after-ms", now.Sub(j.seenAt).Milliseconds())
	d.journal.mark(j, true)
	d.finished[j.sub.ID] = true
	d.planned = false
	d.forget(j)
}

// forget drops an ended job once nothing of it runs.
func (d *Dispatcher) forget(j *job) {
	if j.state.IsFinal() && !j.active() {
		delete(d.jobs, j.sub.ID)
	}
}

// expire gives up runs whose leases have ended without a report.
func (d *Dispatcher) expire(now time.Time) {
	for _, w := range d.workers {
		w.forgive(now)
		d.unstick(w, now)
		if len(w.runs) > 0 && w.lapsed(now) {
			d.lapse(w, now)
		}
		if !w.listed && len(w.runs) == 0 && (w.settled || now.After(w.settleBy)) {
			d.Logger.Info("worker gone", "worker", w.info.ID)
			w.session.close()
			delete(d.workers, w.info.ID)
			d.fleetDirty = true
		}
	}
	if !d.settled {
		d.settle(now)
	}
	d.checkGangs(now)
}

// lapse takes the runs of a worker that has not answered for a lease as ended.
func (d *Dispatcher) lapse(w *worker, now time.Time) {
	d.Logger.Warn("lease lapsed", "worker", w.info.ID, "runs", len(w.runs), "last-answer-ms", now.Sub(w.clockAt).Milliseconds())
	w.suspect(now, 1)
	for _, r := range w.runs {
		d.Metrics.Runs.Add("lapsed", 1)
		d.remove(r, now)
	}
}

// Resign ends the term and tells the other hosts through the log.
func (d *Dispatcher) Resign() { d.post(&resign{}) }

func (e *resign) apply(d *Dispatcher, now time.Time) {
	d.Logger.Info("leader resigns")
	d.journal.resign = true
}
