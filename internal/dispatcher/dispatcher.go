package dispatcher

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/evacuator"
	"chestnutmux.example/chestnutmux/internal/fitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/internal/pacer"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/internal/starttracker"
	"chestnutmux.example/chestnutmux/internal/throttler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// eventBufferSize is the capacity of the event queue. Senders block while it is full.
	eventBufferSize = 4096
	// maxPassInterval is the maximum time between two scheduling passes. Each pass also checks leases and deadlines.
	maxPassInterval = 150 * time.Millisecond
	// passIntervalFactor is the minimum time between the starts of two passes, as a multiple of the duration of the earlier one.
	passIntervalFactor = 4
	// deferredPassDelay is the minimum time between two passes while the rate limit of start requests keeps work waiting.
	deferredPassDelay = 30 * time.Millisecond
	// maxStartLease is the maximum duration of the worker lease that a start request grants; the next lease renewal extends the
	// lease.
	maxStartLease = 3 * time.Second
)

// ErrTermEnded is returned by Run when another leader has taken over or this host has resigned.
var ErrTermEnded = errors.New("dispatcher: term ended")

// Dispatcher schedules jobs on the workers during one term. The exported fields must be set before Init.
type Dispatcher struct {
	Term          journaler.Term
	TermOffset    model.Offset // log offset of the first record of the term
	ElectedAt     time.Time    // time at which the append of the term was sent; zero means the time of Init
	Log           journaler.Log
	Workers       WorkerClient
	Logger        hclog.Logger
	Metrics       *Metrics
	Recoverer     *recoverer.Recoverer                    // handles panics of appends; may be nil
	LeaseDuration time.Duration                           // duration of the worker lease, without which a worker may not run tasks
	MaxLease      time.Duration                           // longest lease that a worker grants; 0 means LeaseDuration
	LinkRate      pacer.BytesPerSecond                    // rate of this host's link; 0 means unknown
	Throttler     *throttler.Throttler                    // bounds the memory of start requests; nil sets no bound
	LearnRunTimes bool                                    // expect the run times of finished runs instead of the callers' estimates
	JobRetention  time.Duration                           // time for which the records of an ended job stay in the log
	LookupJob     func(model.JobID) (journaler.Job, bool) // returns a job by its ID, including ended jobs
	// OldOrphans returns jobs of which the log has had only a cancellation since before a time; nil removes none.
	OldOrphans func(before time.Time, n int) []model.JobID
	// Evacuator says in which failure domains nothing is started; nil means that there are none. UpdateEvacuations notifies the dispatcher of
	// changes.
	Evacuator *evacuator.Evacuator
	// OnViolation is called when an invariant is violated; args are key and value pairs for the log line.
	OnViolation func(inv asserter.Invariant, args ...any)
	// RefreshWorkers asks for a new list of workers without delay; may be nil.
	RefreshWorkers func()

	ctx               context.Context
	events            chan event
	jobs              map[model.JobID]*job
	endedJobs         map[model.JobID]bool // jobs that ended in this term; the log may still show an earlier state
	workers           map[model.HostID]*worker
	possibleCrashes   map[model.HostID]*possibleCrash
	pendingStarts     starttracker.Tracker[lateStop]
	fleetDirty        bool // the fleet record in the log is outdated
	entitlements      Entitlements
	journal           journal
	leaseLimit        *leaselimiter.Limit                    // shared with the sessions
	scheduleUpToDate  bool                                   // no event since the last pass requires another one
	lastPassAt        time.Time                              // start time of the last pass
	nextPassAt        time.Time                              // earliest start time of the next pass
	formerRunsKnown   bool                                   // all runs that former leaders may have started are known, or can no longer be active
	demand            map[model.ServiceID]*reserver.Reserver // smoothed demand per service, from which headroom is derived
	demandUpdatedAt   time.Time                              // time of the last update of demand
	preemptionPlanner placer.PreemptionPlanner
	preemptionBudget  preemptor.Budget
	planningRound     int64     // number of the planning round, from 1; see maxPlannedNodes
	decisionLoggedAt  time.Time // time of the last log line on a step that does not preempt
	pacer             pacer.Pacer
	runTimes          runTimes
	fleet             fitter.Fleet     // the most that this and former leaders have seen of the workers
	startsDeferred    bool             // the last pass has left work waiting because of the rate limit of start requests
	adoptedGangs      []*step          // gangs that may have runs of former leaders, not yet checked for missing members
	evacuated         []model.DomainID // evacuated failure domains at the last event
	oldView           oldView
	lastArrival       int64                            // job.arrival of the newest job
	waitLoggedAt      time.Time                        // time of the last log line on a waiting step
	orderLoggedAt     time.Time                        // time of the last log line on work that waits beyond its target
	sharesLoggedAt    time.Time                        // time of the last log line on a workspace that waits beyond its share
	accuracy          map[queueKey]*sequencer.Accuracy // accuracy of the estimated run times of each queue
	err               error                            // makes Run return when it is set
}

// Init prepares the dispatcher. It must be called once, before any other method.
func (d *Dispatcher) Init() {
	d.events = make(chan event, eventBufferSize)
	d.jobs = map[model.JobID]*job{}
	d.endedJobs = map[model.JobID]bool{}
	d.workers = map[model.HostID]*worker{}
	d.possibleCrashes = map[model.HostID]*possibleCrash{}
	d.demand = map[model.ServiceID]*reserver.Reserver{}
	d.planningRound = 1
	d.pacer.LinkRate = d.LinkRate
	d.MaxLease = max(d.MaxLease, d.LeaseDuration)
	d.fleet = d.Term.Load.Fleet
	if d.ElectedAt.IsZero() {
		d.ElectedAt = time.Now()
	}
	d.leaseLimit = &leaselimiter.Limit{}
	d.leaseLimit.Confirm(d.ElectedAt, d.LeaseDuration)
	d.journal.init(d)
}

// UpdateJob notifies the dispatcher of a job that was added or changed in the log.
func (d *Dispatcher) UpdateJob(j journaler.Job) { d.post(&jobEvent{job: j}) }

// UpdateWorkers notifies the dispatcher of a new list of workers from the platform.
func (d *Dispatcher) UpdateWorkers(workers []model.Worker) { d.post(&workersEvent{workers: workers}) }

// SetEntitlements replaces the guarantees and quotas of the workspaces.
func (d *Dispatcher) SetEntitlements(e Entitlements) { d.post(&entitlementsEvent{entitlements: e}) }

// Entitlements holds the configured guarantees and quotas of the workspaces.
type Entitlements struct {
	Guaranteed map[model.WorkspaceID]model.Accelerators // accelerators up to which jobs of priority 0 are scheduled before all others
	Quota      map[model.WorkspaceID]model.Accelerators // maximum number of accelerators in use; a workspace without an entry has no limit
	// ColdStartsPerSecond is the number of tasks a second that a cold worker of a service can bear to start; a service without an entry has no limit.
	ColdStartsPerSecond map[model.ServiceID]float64
}

// post queues an event for the goroutine of the dispatcher. It blocks while the event buffer is full.
func (d *Dispatcher) post(e event) {
	d.events <- e
}

// Run schedules jobs until the context is cancelled or the term ends. It returns ErrTermEnded when the term has ended.
//
// The argument jobs contains the jobs in the log at the start of the term, fleet the workers that former leaders used, and
// listed the platform's current list of workers.
func (d *Dispatcher) Run(ctx context.Context, jobs []journaler.Job, fleet []journaler.FleetWorker, listed []model.Worker) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ctx = ctx
	defer d.Metrics.setEvacuated(0, 0, 0) // the next leader counts
	defer d.Metrics.setWaiting(nil)
	defer d.Metrics.setWorkspaces(0, 0)
	defer d.Metrics.setBacklog(journaler.Load{})
	defer d.Metrics.setWithheld(nil)
	d.takeOver(jobs, fleet, listed)
	timer := time.NewTimer(maxPassInterval)
	defer timer.Stop()
	for d.err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-d.events:
			d.applyEvents(e)
		case <-timer.C:
		}
		d.runPassIfDue(time.Now())
		d.journal.flush(time.Now())
		timer.Reset(time.Until(d.nextWakeup()))
	}
	return d.err
}

// runPassIfDue checks all workers and schedules work, either after a change or once maxPassInterval has passed.
//
// A pass over a large fleet takes milliseconds, and a busy fleet sends hundreds of events a second. The pause after a pass
// leaves most of the CPU time to the calls to workers. Without it those calls time out, and healthy runs are considered lost.
func (d *Dispatcher) runPassIfDue(now time.Time) {
	if now.Before(d.nextPassAt) || d.scheduleUpToDate && now.Before(d.lastPassAt.Add(maxPassInterval)) {
		return
	}
	d.scheduleUpToDate, d.startsDeferred = true, false
	d.checkWorkers(now)
	d.learn(now)
	d.schedule(now)
	took := time.Since(now)
	d.lastPassAt = now
	d.nextPassAt = now.Add(passIntervalFactor * took)
	if d.startsDeferred {
		d.scheduleUpToDate = false
		d.nextPassAt = now.Add(max(passIntervalFactor*took, deferredPassDelay))
	}
	d.Metrics.PassDuration.Record("pass", took)
}

// nextWakeup returns the time at which Run has to continue if no event arrives.
func (d *Dispatcher) nextWakeup() time.Time {
	at := d.lastPassAt.Add(maxPassInterval)
	if !d.scheduleUpToDate {
		at = d.nextPassAt
	}
	if appendAt := d.journal.nextAppendAt(); appendAt.Before(at) {
		at = appendAt
	}
	return at
}

// applyEvents applies an event and all events that are queued after it.
func (d *Dispatcher) applyEvents(e event) {
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

// endTerm makes Run return ErrTermEnded, and logs the reason.
func (d *Dispatcher) endTerm(reason string, kv ...any) {
	if d.err != nil {
		return
	}
	d.Logger.Warn("term ended", append([]any{"fence", d.Term.Fence, "reason", reason}, kv...)...)
	d.err = ErrTermEnded
}

func (e *entitlementsEvent) apply(d *Dispatcher, _ time.Time) {
	d.entitlements = e.entitlements
	d.scheduleUpToDate = false
}

// addJob adds a job to the jobs to schedule.
func (d *Dispatcher) addJob(j journaler.Job, now time.Time) *job {
	added := newJob(j, now)
	d.lastArrival++
	added.arrival = d.lastArrival
	added.predatesTerm = j.AcceptedOffset < d.TermOffset
	if d.LearnRunTimes {
		added.runTimes = &d.runTimes
	}
	d.jobs[added.submission.ID] = added
	d.Metrics.Jobs.Add("accepted", 1)
	return added
}

// hasEnded reports whether a job needs no leader any more. A page of a snapshot may have the record of an ended job without its final state.
func hasEnded(j journaler.Job) bool { return j.Progress.State.IsFinal() || j.Submission.Digest != "" }

func (e *jobEvent) apply(d *Dispatcher, now time.Time) {
	id := e.job.Submission.ID
	if e.job.IsContested {
		d.journal.restoreSubmission(e.job)
	}
	j := d.jobs[id]
	if j == nil {
		if d.endedJobs[id] || hasEnded(e.job) {
			return
		}
		j = d.addJob(e.job, now)
	}
	j.winner = cmp.Or(e.job.Winner, j.winner)
	d.scheduleUpToDate = false
	if e.job.Cancelled && !j.cancelled {
		j.cancelled = true
	}
	if j.cancelled {
		d.cancelJob(j, now)
	}
}

// cancelJob ends a cancelled job and stops its runs.
func (d *Dispatcher) cancelJob(j *job, now time.Time) {
	if j.state.IsFinal() && j.state != model.JobCancelled {
		return
	}
	d.Logger.Info("job cancelled", "job", j.submission.ID, "was", j.state, "running", j.hasActiveRuns())
	d.endJob(j, model.JobCancelled, "", now)
}

// endJob sets the final state of a job. It stops the active runs of a job that has failed or was cancelled.
func (d *Dispatcher) endJob(j *job, state model.JobState, reason string, now time.Time) {
	j.state, j.reason = state, reason
	for _, s := range j.steps {
		s.reservation = nil
		for _, t := range s.tasks {
			if t.activeRun != nil && state != model.JobFinished {
				d.stopRun(t.activeRun, "job "+string(state), now)
			}
		}
	}
	d.Metrics.recordEnd(j, now)
	d.Logger.Info("job ended", "job", j.submission.ID, "queue", j.submission.Queue.ID, "state", state, "reason", reason,
		"after-ms", now.Sub(j.seenAt).Milliseconds())
	d.journal.markDirty(j, true)
	d.endedJobs[j.submission.ID] = true
	d.scheduleUpToDate = false
	d.removeEndedJob(j)
}

// removeEndedJob removes the job if it has ended and has no active runs.
func (d *Dispatcher) removeEndedJob(j *job) {
	if j.state.IsFinal() && !j.hasActiveRuns() {
		delete(d.jobs, j.submission.ID)
	}
}

// checkWorkers applies the rules that depend on time: it lowers the suspicion of workers, stops stalled runs, drops the runs of
// workers whose lease has expired, removes workers that are no longer needed, and completes the takeover from former leaders.
func (d *Dispatcher) checkWorkers(now time.Time) {
	for _, w := range d.workers {
		w.decaySuspicion(now)
		d.askUndescribed(w, now)
		d.stopStalledRuns(w, now)
		if len(w.runs) > 0 && w.isLost(now) {
			d.dropLostRuns(w, now)
		}
		if !w.listed && len(w.runs) == 0 && !w.mayHideRuns(now) {
			d.Logger.Info("worker removed", "worker", w.info.ID)
			w.session.close()
			delete(d.workers, w.info.ID)
			d.runTimes.estimator.ForgetWorker(w.info.ID)
			d.fleetDirty = true
		}
	}
	if !d.formerRunsKnown {
		d.checkFormerRuns(now)
	}
	d.checkPossibleCrashes(now)
	if len(d.evacuated) > 0 {
		d.countEvacuated(now)
	}
	d.logOldView(now)
	d.removeOldStarts(now)
	d.stopIncompleteGangs(now)
}

// askUndescribed asks a worker for a report at intervals while the list describes another process than the last report. Either of the two
// may be the older one.
func (d *Dispatcher) askUndescribed(w *worker, now time.Time) {
	if w.mayGetTasks() && w.hasReported && !w.isDescribed() && now.Sub(w.lastReportAt) >= probeInterval {
		w.session.askNow()
	}
}

// dropLostRuns removes all runs of a lost worker.
func (d *Dispatcher) dropLostRuns(w *worker, now time.Time) {
	d.Logger.Warn("worker lease expired, dropping its runs", "worker", w.info.ID, "runs", len(w.runs),
		"last-answer-ms", now.Sub(w.clockAt).Milliseconds())
	w.raiseSuspicion(now, 1)
	if w.hasCrashed {
		d.notePossibleCrash(w, slices.Collect(maps.Values(w.runs)), w.incarnation, w.leaseEndsAt(), now)
	}
	for _, r := range w.runs {
		d.Metrics.Runs.Add("lapsed", 1)
		d.logLostRun(r, "the lease of the worker has expired", now)
		d.removeRun(r, now)
	}
}

// logLostRun logs that a run has ended without a report of its worker, and how the last call to the worker failed.
func (d *Dispatcher) logLostRun(r *run, reason string, now time.Time) {
	d.Logger.Warn("run lost", "worker", r.worker.info.ID, "task", r.id.Task.String(), "run", r.id.Number, "state", r.state,
		"percent", r.percentDone, "reason", reason, "last-error", r.worker.lastError, "incarnation", r.worker.incarnation,
		"silent-ms", now.Sub(r.worker.clockAt).Milliseconds(), "lease-ended-ms-ago", now.Sub(r.worker.leaseEndsAt()).Milliseconds())
}

// Resign announces the end of the term to the other hosts through the log, and then ends the term.
func (d *Dispatcher) Resign(reason journaler.ResignReason) { d.post(&resignEvent{reason: reason}) }

func (e *resignEvent) apply(d *Dispatcher, now time.Time) {
	d.Logger.Info("resigning as leader", "reason", e.reason)
	d.journal.resigning, d.journal.resignReason = true, e.reason
}
