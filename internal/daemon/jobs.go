package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/appender"
	"chestnutmux.example/chestnutmux/internal/follower"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// jobsTask follows the jobs stream, admits submissions and wakes those who wait for a job.
type jobsTask struct {
	host     model.HostID
	fold     reducer.Jobs
	follower *follower.Follower
	appender *appender.Appender
	awaiter  awaiter
	admitter *admitter.Admitter
	planner  *planner.Planner
	waiters  map[model.JobID][]chan struct{} // closed at the end of the job; used on the follower's goroutine only
	caughtUp bool
	settled  atomic.Bool // the fold has been as new as the log, or as can be had without it
}

func newJobsTask(host model.HostID, domain model.DomainID, log *logclient.Client, app *appender.Appender) *jobsTask {
	t := &jobsTask{
		host: host, appender: app, admitter: admitter.New(domain), waiters: map[model.JobID][]chan struct{}{},
	}
	t.fold.OnEvent = t.event
	t.follower = follower.New(follower.Config{Log: log, Stream: logclient.StreamJobs, Fold: &t.fold, Read: t.read})
	return t
}

func (t *jobsTask) read(s follower.Status) {
	t.awaiter.advance(s.Next)
	t.planner.Post(planner.JobsCaughtUp{CaughtUp: s.CaughtUp || t.caughtUp, Next: s.Next})
	// A later outage of the log does not make the state worse than it was.
	t.caughtUp = t.caughtUp || s.CaughtUp
	if t.caughtUp || !s.UnreachableSince.IsZero() {
		t.settled.Store(true)
	}
}

// event runs on the follower's goroutine for each change of the fold.
func (t *jobsTask) event(e reducer.JobEvent) {
	if e.Kind == reducer.JobsReplaced {
		t.replaced()
		return
	}
	t.admitter.Apply(e.Job.Job, time.Now())
	t.planner.Post(planner.JobChanged{Event: e})
	if e.Kind == reducer.JobEnded {
		t.wake(e.Job.Spec.ID)
	}
}

func (t *jobsTask) replaced() {
	live := t.fold.Live()
	t.admitter.Reset()
	for _, j := range live {
		t.admitter.Apply(j.Job, time.Now())
	}
	t.planner.Post(planner.JobsReplaced{Live: live})
	for id := range t.waiters {
		if j, ok := t.fold.Get(id); !ok || j.State.Final() {
			t.wake(id)
		}
	}
}

func (t *jobsTask) wake(id model.JobID) {
	for _, ch := range t.waiters[id] {
		close(ch)
	}
	delete(t.waiters, id)
}

// configChanged puts a configuration in force for admission.
func (t *jobsTask) configChanged(ctx context.Context, v *configView) {
	// It fails only when the follower has stopped, and then nothing is admitted.
	_ = t.follower.Do(ctx, func() { t.admitter.SetConfig(v.set) })
}

// submit accepts a job once its record is in the log.
func (t *jobsTask) submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	home, repeated, err := t.admit(ctx, spec)
	if err != nil || repeated != nil {
		return pick(repeated), err
	}
	offset, err := t.append(ctx, reducer.JobEntry{Submitted: &reducer.Submitted{Spec: spec, Home: home, Host: t.host}})
	if err != nil {
		return model.Job{}, err
	}
	if err := t.awaiter.wait(ctx, offset); err != nil {
		return model.Job{}, unread("job", err)
	}
	job, err := t.accepted(ctx, spec)
	return pick(job), err
}

func pick(j *model.Job) model.Job {
	if j == nil {
		return model.Job{}
	}
	return *j
}

// admit chooses a home, or finds the job that an earlier submission with the same id and content made.
func (t *jobsTask) admit(ctx context.Context, spec model.JobSpec) (home model.DomainID, repeated *model.Job, err error) {
	var result error
	err = t.follower.Do(ctx, func() {
		if j, identical, ok := t.fold.Submission(spec); ok {
			repeated, result = same(j, identical, spec)
			return
		}
		home, result = t.admitter.Admit(spec, time.Now())
	})
	if err != nil {
		return "", nil, notReady(err)
	}
	return home, repeated, result
}

// accepted returns the job that holds the id after the record of the submission was applied.
func (t *jobsTask) accepted(ctx context.Context, spec model.JobSpec) (job *model.Job, err error) {
	var result error
	err = t.follower.Do(ctx, func() {
		j, identical, ok := t.fold.Submission(spec)
		if !ok {
			result = unread("job", errors.New("its record is not in the state"))
			return
		}
		job, result = same(j, identical, spec)
	})
	if err != nil {
		return nil, unread("job", err)
	}
	return job, result
}

func same(j reducer.Job, identical bool, spec model.JobSpec) (*model.Job, error) {
	if j.Spec.Workspace != spec.Workspace || !identical {
		return nil, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindConflict,
			Message: "another job has the id " + string(spec.ID), Remedy: "choose a new id, such as a UUID",
		}
	}
	return &j.Job, nil
}

func (t *jobsTask) append(ctx context.Context, e reducer.JobEntry) (model.Offset, error) {
	entry, err := reducer.Encode(e)
	if err != nil {
		return 0, errors.Wrap(err, "daemon: cannot encode the entry")
	}
	res, err := t.appender.Append(ctx, entry)
	return res.Offset, err
}

// Append records an entry of the planner and repeats until ctx ends.
func (t *jobsTask) Append(ctx context.Context, e reducer.JobEntry) error {
	for {
		_, err := t.append(ctx, e)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryAppend):
		}
	}
}

// retryAppend is the pause before an entry that the queue of the appender refused is offered again.
const retryAppend = 500 * time.Millisecond

// get returns a job of the workspace, once it has ended or at the deadline.
func (t *jobsTask) get(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error) {
	ended := make(chan struct{})
	job, err := t.lookup(ctx, ws, id, ended)
	if err != nil || job.State.Final() {
		return job, err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = t.follower.Do(context.WithoutCancel(ctx), func() { t.unwait(id, ended) })
	return t.lookup(ctx, ws, id, nil)
}

// lookup returns a job of the workspace and registers ended when the job is live.
func (t *jobsTask) lookup(ctx context.Context, ws model.WorkspaceID, id model.JobID, ended chan struct{}) (model.Job, error) {
	var job reducer.Job
	var ok bool
	err := t.follower.Do(ctx, func() {
		job, ok = t.fold.Get(id)
		ok = ok && job.Spec.Workspace == ws
		if ok && !job.State.Final() && ended != nil {
			t.waiters[id] = append(t.waiters[id], ended)
		}
	})
	if err != nil {
		return model.Job{}, notReady(err)
	}
	if !ok && !t.settled.Load() {
		return model.Job{}, notReady(errors.New("the jobs are still being read from the log"))
	}
	if !ok {
		// The same answer for a job of another workspace, so that ids of others cannot be probed.
		return model.Job{}, &model.Error{
			Kind: model.KindNotFound, Message: "no job " + string(id) + " in the workspace",
			Remedy: "check the id; outcomes are kept for " + reducer.FinalKeep.String(),
		}
	}
	return job.Job, nil
}

func (t *jobsTask) unwait(id model.JobID, ended chan struct{}) {
	list := t.waiters[id]
	for i, ch := range list {
		if ch == ended {
			list[i] = list[len(list)-1]
			t.waiters[id] = list[:len(list)-1]
			break
		}
	}
	if len(t.waiters[id]) == 0 {
		delete(t.waiters, id)
	}
}

func (t *jobsTask) list(ctx context.Context, ws model.WorkspaceID) ([]model.Job, error) {
	var all []reducer.Job
	err := t.follower.Do(ctx, func() { all = append(t.fold.Live(), t.fold.Final()...) })
	if err != nil {
		return nil, notReady(err)
	}
	jobs := []model.Job{}
	for _, j := range all {
		if j.Spec.Workspace == ws {
			jobs = append(jobs, j.Job)
		}
	}
	return jobs, nil
}

// cancel asks the planner of the home to end a job; a final job stays as it is.
func (t *jobsTask) cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	job, err := t.lookup(ctx, ws, id, nil)
	if err != nil || job.State.Final() {
		return err
	}
	_, err = t.append(ctx, reducer.JobEntry{Cancel: &reducer.Cancel{Job: id, By: string(ws)}})
	return err
}

// snapshot returns the state for a peer.
func (t *jobsTask) snapshot(ctx context.Context) (json.RawMessage, model.Offset, error) {
	var s reducer.JobsSnapshot
	if err := t.follower.Do(ctx, func() { s = t.fold.Snapshot() }); err != nil {
		return nil, 0, err
	}
	data, err := json.Marshal(s)
	return data, s.Next, err
}
