package daemon

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// submitTimeout bounds the wait of a caller for the log.
	submitTimeout = 5 * time.Second
	// jobPoll is the pause between looks at a job whose end is awaited.
	jobPoll = 20 * time.Millisecond
	// maxJobID bounds the ids of jobs, a workspace of 63 characters and a caller's id of 128.
	maxJobID = 192
	// defaultMaxWaiting is the most waiting jobs of a workspace and class when the configuration names no bound.
	defaultMaxWaiting = 10_000
	// overloadRetryMS is the advice to callers whose queue is full.
	overloadRetryMS model.Millis = 5_000
)

// Submit accepts a job.
func (d *Daemon) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	if err := d.CheckReady(); err != nil {
		return model.Job{}, err
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.Must(uuid.NewV7()).String())
	}
	s, err := d.submission(spec)
	if err != nil {
		return model.Job{}, err
	}
	if known, ok := d.coordinator.Replica().Job(s.ID); ok {
		if !same(known.Submission, s) {
			return model.Job{}, conflict(spec.ID)
		}
		return view(known), nil
	}
	if err := d.bounded(s); err != nil {
		return model.Job{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := d.acceptor.Submit(ctx, s); err != nil {
		return model.Job{}, err
	}
	return d.accepted(ctx, s)
}

// accepted reads the job back; of two submissions with one id, the first in the log counts.
func (d *Daemon) accepted(ctx context.Context, s *model.Submission) (model.Job, error) {
	if err := d.coordinator.CatchUp(ctx); err != nil {
		return view(journaler.Job{Submission: s}), nil // it is in the log, only not read back yet
	}
	j, ok := d.coordinator.Replica().Job(s.ID)
	if !ok {
		return view(journaler.Job{Submission: s}), nil
	}
	if !same(j.Submission, s) {
		return model.Job{}, conflict(s.ID)
	}
	return view(j), nil
}

// submission checks a job and converts it.
func (d *Daemon) submission(spec model.JobSpec) (*model.Submission, error) {
	if len(spec.ID) > maxJobID || slices.ContainsFunc([]byte(spec.ID), func(c byte) bool { return c <= ' ' || c == '/' || c >= 0x7f }) {
		return nil, invalidJob("the job id is not usable", "use up to 128 printable ASCII characters without space and slash, such as a UUID")
	}
	set := d.view.Load().set
	class, ok := set.Classes[spec.Class]
	if !ok {
		return nil, invalidJob(fmt.Sprintf("there is no class %q", spec.Class), "use a published class")
	}
	if len(spec.Steps) > 0 && spec.Shape != (model.Shape{}) {
		return nil, invalidJob("the job has a shape and steps", "give one of them")
	}
	s := spec.Submission(queueOf(spec.Class, class))
	for i, st := range s.Steps {
		if st.Count < 1 || st.Need.Accelerators < 0 || st.Need.Cores < 0 || st.Need.MemoryMB < 0 {
			return nil, invalidJob(fmt.Sprintf("step %d has no tasks or a negative size", i), "give each step at least one task")
		}
		for _, a := range st.DependsOn {
			if a < 0 || a >= i {
				return nil, invalidJob(fmt.Sprintf("step %d waits for step %d", i, a), "let steps wait for earlier ones only")
			}
		}
	}
	return s, possible(s, set)
}

// possible refuses a job that the declared inventory or the quota can never hold.
func possible(s *model.Submission, set model.ConfigSet) error {
	nodes := inventory(set)
	quota := set.Workspaces[s.Workspace].Quota
	for _, st := range s.Steps {
		r := &placer.Request{
			Count: st.Count, Need: st.Need, Gang: st.Gang, OneRack: st.OneRack, Label: st.Label, MaxPerWorker: st.MaxPerWorker,
		}
		if !placer.Feasible(nodes, r) {
			return never("the declared inventory can never hold the job")
		}
		if need := st.Need.Accelerators; st.Gang && need*model.Accelerators(st.Count) > quota || need > quota {
			return never(fmt.Sprintf("the job needs more than the quota of %d accelerators", quota))
		}
	}
	return nil
}

// inventory returns the declared workers of all active failure domains, empty.
func inventory(set model.ConfigSet) []*placer.Node {
	var out []*placer.Node
	for id, dom := range set.FailureDomains {
		if dom.State == model.DomainLost {
			continue
		}
		for rack, r := range dom.Racks {
			for range r.Workers {
				out = append(out, &placer.Node{
					Domain: id, Rack: model.RackID(string(id) + "/" + string(rack)),
					Capacity: model.Resources{Cores: model.MilliCores(r.Cores) * 1000, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators},
				})
			}
		}
	}
	return out
}

// bounded refuses a job when too many of its workspace and class wait.
func (d *Daemon) bounded(s *model.Submission) error {
	set := d.view.Load().set
	waiting := d.coordinator.Replica().QueuedJobCounts(s.Workspace)
	n := 0
	for _, v := range waiting {
		n += v
	}
	class := cmp.Or(set.Classes[model.ClassID(s.Queue.ID)].MaxWaitingJobs, defaultMaxWaiting)
	workspace := cmp.Or(set.Workspaces[s.Workspace].MaxWaitingJobs, defaultMaxWaiting)
	if waiting[s.Queue.ID] < class && n < workspace {
		return nil
	}
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindOverloaded, Message: "too many jobs of the workspace wait",
		Remedy: "retry later", RetryAfterMS: overloadRetryMS,
	}
}

func invalidJob(message, remedy string) error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: message, Remedy: remedy}
}

func never(message string) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNeverRunnable, Message: message,
		Remedy: "ask for less, or declare more workers or a higher quota",
	}
}

func conflict(id model.JobID) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict, Message: fmt.Sprintf("job %s is another job", id),
		Remedy: "choose a new id, such as a UUID",
	}
}

// same reports whether two submissions ask for the same work.
func same(a, b *model.Submission) bool {
	x, y := *a, *b
	x.SentAtMS, y.SentAtMS = 0, 0
	x.Queue, y.Queue = model.Queue{ID: x.Queue.ID}, model.Queue{ID: y.Queue.ID}
	return reflect.DeepEqual(x, y)
}

// view returns a job as its caller sees it.
func view(j journaler.Job) model.Job {
	s := j.Submission
	return model.Job{
		Spec: model.JobSpec{
			ID: s.ID, Workspace: s.Workspace, Caller: s.Caller, Class: model.ClassID(s.Queue.ID), Steps: s.Steps, Payload: []byte(s.Payload),
		},
		State: j.State(), FailureReason: j.Progress.Reason, AcceptedAt: time.UnixMilli(s.SentAtMS),
	}
}

// Job returns a job once it has ended, or as it is at the deadline.
func (d *Daemon) Job(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error) {
	if _, err := d.acceptor.JobState(ctx, id, ws); err != nil {
		return model.Job{}, err
	}
	for {
		j, ok := d.coordinator.Replica().Job(id)
		if !ok {
			return model.Job{}, invalidJob("the job's records have expired", "ask for jobs soon after their end")
		}
		if j.State().IsFinal() || !time.Now().Before(deadline) || ctx.Err() != nil {
			return view(j), nil
		}
		sleep(ctx, min(jobPoll, time.Until(deadline)))
	}
}

// Jobs lists the jobs of a workspace.
func (d *Daemon) Jobs(_ context.Context, ws model.WorkspaceID) ([]model.Job, error) {
	var out []model.Job
	for _, j := range d.coordinator.Replica().Jobs() {
		if j.Submission.Workspace == ws {
			out = append(out, view(j))
		}
	}
	slices.SortFunc(out, func(a, b model.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out, nil
}

// Cancel asks for the end of a job.
func (d *Daemon) Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return d.acceptor.Cancel(ctx, id, ws)
}

// Explain tells why a job waits.
func (d *Daemon) Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	if _, err := d.acceptor.JobState(ctx, id, ws); err != nil {
		return model.Explanation{}, err
	}
	fold := d.coordinator.Replica()
	j, _ := fold.Job(id)
	term, _ := fold.Term()
	x := model.Explanation{Job: id, State: j.State(), Leader: term.Host}
	switch {
	case j.State().IsFinal():
		x.Reason = "the job has ended: " + string(j.State())
		if j.Progress.Reason != "" {
			x.Reason += ": " + j.Progress.Reason
		}
	case j.State() == model.JobRunning:
		x.Reason = "tasks of the job run or have run"
	case term.Fence == 0 || term.Resigned:
		x.Reason, x.Remedy = "no entry host leads at present", "ask again in a few seconds"
	default:
		x.QueuePosition = position(fold.Jobs(), j)
		x.Reason = fmt.Sprintf("the job waits for room; it is number %d of its priority and above", x.QueuePosition)
		x.Remedy = "wait, use a more urgent class, or cancel other jobs of the workspace"
	}
	return x, nil
}

// position counts the waiting jobs that come before j.
func position(all []journaler.Job, j journaler.Job) int {
	n := 1
	for _, o := range all {
		if o.State() != model.JobQueued || o.Submission.ID == j.Submission.ID {
			continue
		}
		before := cmp.Or(cmp.Compare(o.Submission.Queue.Priority, j.Submission.Queue.Priority), cmp.Compare(o.AcceptedOffset, j.AcceptedOffset))
		if before < 0 {
			n++
		}
	}
	return n
}
