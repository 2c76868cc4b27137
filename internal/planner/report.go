package planner

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func (p *Planner) report(ctx context.Context, r reserver.Report) {
	p.dirty = true
	now := time.Now()
	if rc, ok := r.(reserver.RoleChanged); ok {
		p.roleChanged(ctx, rc)
		return
	}
	if p.sched == nil {
		return
	}
	switch r := r.(type) {
	case reserver.WorkerUp:
		p.workers[r.Host.ID] = r.Host
		p.upsert(r.Host)
	case reserver.WorkerDown:
		delete(p.workers, r.Worker)
		p.sched.RemoveWorker(r.Worker, now)
		p.cfg.Logger.Warn("worker is down", "worker", string(r.Worker), "listed", r.Listed)
	case reserver.WorkerRestarted:
		p.cfg.Logger.Warn("worker restarted", "worker", string(r.Worker))
	case reserver.GangStarted:
		p.started(ctx, r)
	case reserver.GangRefused:
		if r.Gang == probe {
			p.probed(r)
			return
		}
		p.cfg.Logger.Debug("gang refused", "gang", string(r.Gang), "worker", string(r.Worker), "kind", string(r.Kind))
		delete(p.gangs, r.Gang)
		p.sched.Refused(r.Gang, now)
	case reserver.GangAdopted:
		p.adopted(ctx, r, now)
	case reserver.MemberFailed:
		p.cfg.Logger.Warn("gang member failed", "gang", string(r.Gang), "task", string(r.Task),
			"worker", string(r.Worker), "cause", string(r.Cause), "error", r.Error)
	case reserver.GangLost:
		p.cfg.Logger.Warn("gang lost", "gang", string(r.Gang), "reason", r.Reason)
	case reserver.GangPartial:
		p.cfg.Asserter.Violated(asserter.PartialGang, "gang", string(r.Gang), "job", string(r.Job), "running", r.Running,
			"size", r.Size, "since", r.Since, "members", r.Members)
	case reserver.WorkerOver:
		p.cfg.Asserter.Violated(asserter.OverCommitted, "worker", string(r.Worker), "held", r.Held, "declared", r.Declared,
			"tasks", r.Tasks)
	case reserver.GangEnded:
		p.gangEnded(ctx, r, now)
	}
}

// roleChanged starts with a new scheduler at each takeover, because all gangs and workers are learned again.
func (p *Planner) roleChanged(ctx context.Context, r reserver.RoleChanged) {
	p.cfg.Logger.Info("role changed", "role", string(r.Role), "term", r.Term.Number, "reason", r.Reason)
	p.role, p.term = r.Role, r.Term
	switch r.Role {
	case reserver.RoleTakingOver:
		p.takeOver(ctx)
	case reserver.RolePlanner:
		if p.sched == nil {
			p.takeOver(ctx)
		}
	case reserver.RoleStandby, reserver.RoleSteppedDown:
		p.sched, p.gangs, p.workers = nil, nil, nil
	}
}

func (p *Planner) takeOver(ctx context.Context) {
	p.sched = scheduler.New(p.cfg.Options)
	p.gangs = map[model.GangID]*gang{}
	p.workers = map[model.HostID]hostclient.Host{}
	p.sched.SetConfig(p.set, p.cfg.Domain)
	p.sched.SetUsedElsewhere(p.elsewhere)
	p.held, p.probing = true, false
	// Jobs from this offset on are accepted after the takeover, so no earlier planner can have started them.
	hold := p.next
	if !p.caughtUp {
		hold = offsetMax
	}
	p.sched.HoldBefore(hold)
	for _, j := range p.inOrder() {
		p.submit(ctx, j)
	}
}

func (p *Planner) upsert(h hostclient.Host) {
	rack, ok := p.set.FailureDomains[p.cfg.Domain].Racks[h.Rack]
	if !ok {
		p.cfg.Logger.Warn("worker stands in an undeclared rack", "worker", string(h.ID), "rack", string(h.Rack),
			"remedy", "declare the rack in the failure domain")
		p.sched.RemoveWorker(h.ID, time.Now())
		return
	}
	health := allocator.Usable
	if h.State == hostclient.StateLeaving {
		health = allocator.Leaving
	}
	p.sched.UpsertWorker(allocator.Worker{
		ID: h.ID, Rack: h.Rack, Index: h.Index, Health: health,
		Accelerators: rack.Accelerators, Cores: rack.Cores, MemoryMB: rack.MemoryMB,
	}, time.Now())
}

func (p *Planner) started(ctx context.Context, r reserver.GangStarted) {
	g, ok := p.gangs[r.Gang]
	if !ok {
		return
	}
	g.startedAt = r.At
	p.sched.Started(r.Gang, r.At)
	if j, ok := p.jobs[r.Job]; ok {
		p.cfg.Recorder.JobStarted(j.Job, r.At)
		// A later attempt has waited since its preemption or failure, not since the acceptance of the job.
		urgent := p.set.Classes[j.Spec.Class].Urgency == model.UrgencyUrgent
		if urgent && g.guaranteed && g.attempt == 1 {
			p.cfg.Recorder.UrgentStart.Record(string(j.Spec.Workspace), r.At.Sub(j.AcceptedAt))
		}
		p.cfg.Logger.Info("job started", "job", string(r.Job), "gang", string(r.Gang),
			"workspace", string(j.Spec.Workspace), "class", string(j.Spec.Class))
	}
	p.write(ctx, reducer.JobEntry{Started: &reducer.Started{Job: r.Job, Domain: p.cfg.Domain, Attempt: g.attempt}}, recorded{})
}

// adopted takes over a gang that an earlier planner started; its spec is the whole record of the job.
func (p *Planner) adopted(ctx context.Context, r reserver.GangAdopted, now time.Time) {
	j, known := p.jobs[r.Job]
	if p.caughtUp && !known || known && j.CancelRequested {
		p.cfg.Logger.Info("stopping a gang whose job has ended or moved", "gang", string(r.Gang))
		p.gangs[r.Gang] = &gang{job: r.Job, attempt: attemptOf(r.Gang), cancelled: known}
		p.post(ctx, reserver.StopGang{Gang: r.Gang, Reason: "the job has ended or moved"})
		return
	}
	var spec model.JobSpec
	if err := json.Unmarshal(r.Spec, &spec); err != nil {
		p.cfg.Logger.Error("gang carries an unreadable job record", "gang", string(r.Gang), "error", err.Error())
	}
	members := make([]model.HostID, 0, len(r.Members))
	for _, m := range r.Members {
		members = append(members, m.Worker)
	}
	p.gangs[r.Gang] = &gang{job: r.Job, attempt: attemptOf(r.Gang), startedAt: now.Add(-r.Run)}
	p.sched.Adopt(scheduler.Running{
		Job: r.Job, Attempt: attemptOf(r.Gang), Gang: r.Gang, Workspace: r.Workspace,
		Caller: spec.Caller, Class: spec.Class, Shape: spec.Shape, Members: members, StartedAt: now.Add(-r.Run),
	}, now)
	p.cfg.Logger.Info("gang adopted", "gang", string(r.Gang), "members", len(members))
	if known && j.Attempt < attemptOf(r.Gang) {
		// The earlier planner may have died before its record of the start was durable.
		p.write(ctx, reducer.JobEntry{Started: &reducer.Started{Job: r.Job, Domain: p.cfg.Domain, Attempt: attemptOf(r.Gang)}}, recorded{})
	}
}

func (p *Planner) gangEnded(ctx context.Context, r reserver.GangEnded, now time.Time) {
	g, ok := p.gangs[r.Gang]
	if !ok {
		g = &gang{job: r.Job, attempt: attemptOf(r.Gang)}
		p.spend(r.Job, g.attempt, now)
		p.gangs[r.Gang] = g
	}
	if g.ended {
		return
	}
	if p.superseded(r.Job, g.attempt) {
		p.cfg.Logger.Warn("outcome of an earlier attempt came late", "gang", string(r.Gang), "outcome", string(r.Outcome))
		p.sched.Ended(r.Gang, scheduler.End{Reason: scheduler.EndLost, Error: r.Error}, now)
		p.settled(ctx, r.Gang)
		return
	}
	g.ended = true
	p.cfg.Logger.Info("gang ended", "gang", string(r.Gang), "outcome", string(r.Outcome), "error", r.Error)
	switch {
	case r.Outcome == reserver.OutcomeFinished:
		p.sched.Ended(r.Gang, scheduler.End{Reason: scheduler.EndFinished, RunMS: model.Millis(r.Run.Milliseconds())}, now)
		p.drop(ctx, r.Job)
		p.end(ctx, reducer.Ended{Job: r.Job, Domain: p.cfg.Domain, Attempt: g.attempt, State: model.JobFinished}, r.Gang)
		return
	case g.cancelled:
		p.sched.Ended(r.Gang, scheduler.End{Reason: scheduler.EndCanceled}, now)
		p.drop(ctx, r.Job)
		p.end(ctx, reducer.Ended{Job: r.Job, Domain: p.cfg.Domain, Attempt: g.attempt, State: model.JobCancelled}, r.Gang)
		return
	case r.Outcome == reserver.OutcomeFailed:
		p.sched.Ended(r.Gang, scheduler.End{
			Reason: scheduler.EndFailed, Error: r.Error, FailedOn: []model.HostID{r.Worker},
			RunMS: model.Millis(r.Run.Milliseconds()),
		}, now)
	case r.Outcome == reserver.OutcomePreempted:
		p.sched.Preempted(r.Gang, now)
	default:
		p.sched.Ended(r.Gang, scheduler.End{Reason: scheduler.EndLost, Error: r.Error}, now)
	}
	p.settled(ctx, r.Gang)
}

// spend notes an attempt that an earlier planner started without a durable record, so that its number and the ids of
// its tasks are not used again.
func (p *Planner) spend(id model.JobID, attempt int, now time.Time) {
	j, ok := p.jobs[id]
	if !ok || j.Attempt >= attempt || p.decided[id] || p.hasGang(id) {
		return
	}
	j.Attempt = attempt
	p.jobs[id] = j
	p.sched.Cancel(id, now)
	p.sched.Submit(j.Job, now)
}

// settled lets the workers forget a gang on which no outcome of its job depends.
func (p *Planner) settled(ctx context.Context, id model.GangID) {
	delete(p.gangs, id)
	p.post(ctx, reserver.Acknowledge{Gang: id})
}

// superseded reports whether a later attempt of the job was started; the fold accepts no outcome of an earlier one.
func (p *Planner) superseded(id model.JobID, attempt int) bool {
	if j, ok := p.jobs[id]; ok && j.Attempt > attempt {
		return true
	}
	for _, g := range p.gangs {
		if g.job == id && g.attempt > attempt && !g.startedAt.IsZero() {
			return true
		}
	}
	return false
}

// drop takes a job with an outcome out of the scheduler, which does not know a gang that ended before the takeover.
func (p *Planner) drop(ctx context.Context, id model.JobID) {
	if gang, holds := p.sched.Cancel(id, time.Now()); holds {
		// A later attempt may have been asked for just before the outcome came, but it must not have started.
		g := p.gangs[gang]
		p.cfg.Asserter.Check(g == nil || g.startedAt.IsZero(), asserter.DoubleStart, "job", string(id), "gang", string(gang))
		p.post(ctx, reserver.StopGang{Gang: gang, Reason: "the job has an outcome"})
	}
}

// attemptOf reads the attempt from a gang id, "<job>/<attempt>".
func attemptOf(id model.GangID) int {
	i := strings.LastIndexByte(string(id), '/')
	n, err := strconv.Atoi(string(id)[i+1:])
	if err != nil {
		return 0
	}
	return n
}
