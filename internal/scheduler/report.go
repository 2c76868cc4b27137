package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxFailures bounds the failed attempts of a job in domains with too few
// workers for it to fail on distinct ones.
const maxFailures = 6

// The bounds of the back-off after a refused or failed start.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

type gangState int

const (
	claimed  gangState = iota // waits for victims to leave
	starting                  // start decided
	running
)

// gang is an attempt that holds room on workers.
type gang struct {
	allocator.Gang
	job      *job // nil after a cancellation
	state    gangState
	attempt  int
	class    model.ClassID
	level    level
	caller   *account
	forJob   model.JobID // reclaims the room of a doomed gang
	deadline time.Time   // of the checkpoint of a doomed gang
	aged     bool        // took its room by age; not preempted for a share
	forShare bool        // claims room of lent work beyond a share
	trial    bool        // runs on a worker in probation
	decided  uint64      // pass that decided the start
	gone     bool        // dropped; the lists of a pass skip it
}

// Submit adds an accepted job that has no outcome yet; a known job is left as it is.
func (s *Scheduler) Submit(m model.Job, now time.Time) {
	if m.State.Final() {
		return
	}
	j := s.jobs[m.Spec.ID]
	if j == nil {
		j = &job{}
		s.jobs[m.Spec.ID] = j
	}
	if j.known {
		return
	}
	j.known = true
	j.spec, j.accepted, j.offset = m.Spec, m.AcceptedAt, m.Offset
	j.attempt = max(j.attempt, m.Attempt)
	s.classify(j, true)
	if g := j.gang; g != nil {
		g.class, g.level = j.spec.Class, j.level
		if g.caller == nil {
			g.caller = s.caller(j.spec.Workspace, j.spec.Caller)
			g.caller.run(service(&g.Shape), now)
		}
		s.alloc.Expect(&g.Gang, g.StartedAt.Add(s.typical(&j.spec)))
		return
	}
	s.enqueue(j)
	s.asked(j.spec.Shape).submitted++
	s.recheck = s.recheck || s.set != nil && s.impossible(&j.spec) != ""
}

// Cancel forgets a job and returns its gang when one still holds workers.
func (s *Scheduler) Cancel(id model.JobID, now time.Time) (model.GangID, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	s.forget(j)
	g := j.gang
	if g == nil {
		return "", false
	}
	if g.state == claimed {
		s.drop(g, now)
		return "", false
	}
	g.job = nil
	return g.ID, true
}

func (s *Scheduler) forget(j *job) {
	s.dequeue(j)
	delete(s.jobs, j.spec.ID)
	s.faults.ForgetJob(j.spec.ID)
	s.dirty = true
}

// Adopt takes over a whole gang found running on workers; the job may be submitted before or later.
func (s *Scheduler) Adopt(r Running, now time.Time) {
	if s.gangs[r.Gang] != nil {
		s.Started(r.Gang, now)
		return
	}
	j := s.jobs[r.Job]
	if j == nil {
		j = &job{spec: model.JobSpec{ID: r.Job, Workspace: r.Workspace, Caller: r.Caller, Class: r.Class, Shape: r.Shape}}
		s.jobs[r.Job] = j
	}
	j.attempt = max(j.attempt, r.Attempt)
	if j.gang != nil && j.gang.state == claimed {
		s.drop(j.gang, now)
	}
	g := &gang{state: running, attempt: r.Attempt, class: r.Class, job: j}
	g.Gang = allocator.Gang{
		ID: r.Gang, Job: r.Job, Workspace: r.Workspace, Shape: r.Shape,
		Members: slices.Clone(r.Members), StartedAt: r.StartedAt,
	}
	if j.known {
		s.dequeue(j)
		g.class, g.level = j.spec.Class, j.level
	}
	if r.Caller != "" || j.known {
		g.caller = s.caller(r.Workspace, j.spec.Caller)
	}
	g.ExpectedEnd = r.StartedAt.Add(s.typical(&j.spec))
	if j.gang == nil {
		j.gang = g
		s.promote = append(s.promote, g)
	} else {
		g.job = nil
		s.orphans = append(s.orphans, g)
	}
	s.alloc.Charge(&g.Gang)
	s.hold(g, now)
}

// hold books what a charged gang uses.
func (s *Scheduler) hold(g *gang, now time.Time) {
	s.gangs[g.ID] = g
	s.used[g.Workspace] += g.Shape.Total()
	s.workspace(g.Workspace).run(service(&g.Shape), now)
	if g.caller != nil {
		g.caller.run(service(&g.Shape), now)
	}
	s.dirty = true
}

// drop frees what a gang holds; its job neither waits nor ends by that.
func (s *Scheduler) drop(g *gang, now time.Time) {
	delete(s.gangs, g.ID)
	s.alloc.Free(&g.Gang)
	s.used[g.Workspace] -= g.Shape.Total()
	s.workspace(g.Workspace).run(-service(&g.Shape), now)
	if g.caller != nil {
		g.caller.run(-service(&g.Shape), now)
	}
	g.gone = true
	if g.state == claimed {
		s.claims = slices.DeleteFunc(s.claims, func(x *gang) bool { return x == g })
	}
	if g.job != nil && g.job.gang == g {
		g.job.gang = nil
	}
	s.dirty = true
}

// Started reports that all members of a gang run.
func (s *Scheduler) Started(id model.GangID, now time.Time) {
	if g := s.gangs[id]; g != nil && g.state == starting {
		g.state = running
		g.StartedAt = now
		if g.job != nil {
			g.job.refusals = 0
			s.alloc.Expect(&g.Gang, now.Add(s.typical(&g.job.spec)))
		}
	}
}

// Refused reports that no member of a gang was started; the job waits again after a back-off.
func (s *Scheduler) Refused(id model.GangID, now time.Time) {
	if g := s.gangs[id]; g != nil {
		s.endTrial(g)
		j := g.job
		s.drop(g, now)
		if j != nil {
			j.refusals++
			s.again(j, now.Add(backoff(j.spec.ID, j.refusals)))
		}
	}
}

// Preempted reports that a gang has stopped after a preempt decision; the job waits again.
func (s *Scheduler) Preempted(id model.GangID, now time.Time) {
	if g := s.gangs[id]; g != nil {
		s.endTrial(g)
		j := g.job
		s.drop(g, now)
		s.preempted++
		s.again(j, time.Time{})
	}
}

// again queues a job whose gang has left; a job that was only adopted waits for its record.
func (s *Scheduler) again(j *job, notBefore time.Time) {
	if j == nil {
		return
	}
	if !j.known {
		return // Submit queues it; until then its attempt number is kept
	}
	j.notBefore = notBefore
	s.enqueue(j)
	s.recheck = s.recheck || s.set != nil && s.impossible(&j.spec) != ""
}

// Ended reports that a gang holds no worker any more, and why.
func (s *Scheduler) Ended(id model.GangID, e End, now time.Time) {
	g := s.gangs[id]
	if g == nil {
		return
	}
	j := g.job
	s.drop(g, now)
	switch e.Reason {
	case EndFinished:
		run := time.Duration(e.RunMS) * time.Millisecond
		if run <= 0 {
			run = now.Sub(g.StartedAt)
		}
		if g.class != "" {
			s.runs.Learn(g.Workspace, g.class, run)
		}
		for _, w := range g.Members {
			s.faults.Succeeded(w)
			s.heal(w)
		}
		if j != nil {
			s.forget(j)
		}
	case EndFailed:
		s.failed(j, g, e, now)
	case EndCanceled:
		s.endTrial(g)
		if j != nil {
			s.forget(j)
		}
	default:
		s.endTrial(g)
		s.again(j, time.Time{})
	}
}

func (s *Scheduler) failed(j *job, g *gang, e End, now time.Time) {
	fail := false
	for _, w := range e.FailedOn {
		v := s.faults.Failed(g.Job, w, now)
		if v.Quarantine && s.alloc.Health(w) != allocator.Gone && s.alloc.Health(w) != allocator.Leaving {
			s.alloc.SetHealth(w, allocator.Quarantined)
		}
		fail = fail || v.FailJob
	}
	s.endTrial(g)
	if j == nil {
		return
	}
	j.lastError = e.Error
	if j.failures++; fail || j.failures >= maxFailures {
		if j.known {
			s.pending = append(s.pending, Fail{j.spec.ID, fmt.Sprintf("failed %d times on distinct workers, last error: %s", j.failures, e.Error)})
		}
		s.forget(j)
		return
	}
	s.again(j, now.Add(backoff(j.spec.ID, j.failures)))
}

// endTrial lets a worker in probation get another trial task when the last one gave no verdict.
func (s *Scheduler) endTrial(g *gang) {
	if g.trial {
		s.faults.EndTrial(g.Members[0])
	}
}

// heal makes a worker usable again when its quarantine is over.
func (s *Scheduler) heal(w model.HostID) {
	h := s.alloc.Health(w)
	if (h == allocator.Quarantined || h == allocator.Probation) && !s.faults.Quarantined(w) {
		s.alloc.SetHealth(w, allocator.Usable)
	}
}

// backoff doubles with every try, with a jitter derived from the job so that
// planners behave alike in repeated runs.
func backoff(id model.JobID, try int) time.Duration {
	d := min(firstBackoff<<min(try, 10), maxBackoff)
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", id, try)
	return d/2 + time.Duration(h.Sum32()%1000)*d/2000
}
