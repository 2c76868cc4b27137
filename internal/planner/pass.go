package planner

import (
	"context"
	"encoding/json"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

func (p *Planner) pass(ctx context.Context, now time.Time) {
	p.dirty, p.passed = false, now
	decisions := p.sched.Pass(now)
	p.cfg.Recorder.PassTime.Record(string(p.cfg.Domain), time.Since(now))
	for _, d := range decisions {
		switch d := d.(type) {
		case scheduler.Start:
			p.start(ctx, d, now)
		case scheduler.Preempt:
			p.preempt(ctx, d)
		case scheduler.Reject:
			p.end(ctx, reducer.Ended{
				Job: d.Job, Domain: p.cfg.Domain, Attempt: p.jobs[d.Job].Attempt, State: model.JobNotRun, Error: d.Reason,
			}, "")
		case scheduler.Fail:
			p.end(ctx, reducer.Ended{
				Job: d.Job, Domain: p.cfg.Domain, Attempt: p.jobs[d.Job].Attempt, State: model.JobFailed, Error: d.Reason,
			}, "")
		}
	}
}

func (p *Planner) start(ctx context.Context, d scheduler.Start, now time.Time) {
	j, ok := p.jobs[d.Job]
	if !ok {
		p.sched.Refused(d.Gang, now)
		return
	}
	p.cfg.Asserter.Check(!p.hasGang(d.Job), asserter.DoubleStart, "job", string(d.Job), "gang", string(d.Gang))
	spec, err := json.Marshal(j.Spec)
	if err != nil {
		p.cfg.Logger.Error("job cannot be encoded", "job", string(d.Job), "error", err.Error())
		p.sched.Refused(d.Gang, now)
		return
	}
	p.gangs[d.Gang] = &gang{job: d.Job, attempt: d.Attempt, guaranteed: d.Guaranteed}
	s := j.Spec.Shape
	p.post(ctx, reserver.StartGang{
		Gang: d.Gang, Job: d.Job, Workspace: j.Spec.Workspace, AcceptedAt: j.AcceptedAt, Workers: d.Members,
		Accelerators: s.Accelerators, Cores: s.Cores, MemoryMB: s.MemoryMB, Spec: spec,
	})
}

// hasGang reports whether an attempt of the job is not known to have ended.
func (p *Planner) hasGang(id model.JobID) bool {
	for _, g := range p.gangs {
		if g.job == id && !g.ended {
			return true
		}
	}
	return false
}

func (p *Planner) preempt(ctx context.Context, d scheduler.Preempt) {
	g, ok := p.gangs[d.Gang]
	if !ok || g.preempting {
		return
	}
	g.preempting = true
	p.cfg.Logger.Info("gang preempted", "gang", string(d.Gang), "for", string(d.For))
	p.post(ctx, reserver.PreemptGang{Gang: d.Gang})
}

// end records the outcome of a job; once that is durable, the workers may forget the gang.
func (p *Planner) end(ctx context.Context, e reducer.Ended, id model.GangID) {
	p.decided[e.Job] = true
	if j, ok := p.jobs[e.Job]; ok {
		ended := j.Job
		ended.EndedAt = time.Now()
		p.cfg.Recorder.JobEnded(ended)
	}
	p.cfg.Logger.Info("job ended", "job", string(e.Job), "state", string(e.State), "error", e.Error)
	p.write(ctx, reducer.JobEntry{Ended: &e}, recorded{gang: id, job: e.Job})
}

// write appends an entry without blocking the task; it lasts as long as the log is down.
func (p *Planner) write(ctx context.Context, e reducer.JobEntry, done recorded) {
	go func() {
		if err := p.cfg.Journal.Append(ctx, e); err != nil {
			return // ctx ended; the next planner finds the gang on its workers
		}
		p.Post(done)
	}()
}
