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
	// submitTimeout limits how long a submission or a cancellation waits for the log.
	submitTimeout = 5 * time.Second
	// jobPollInterval is the interval between checks whether a job has ended.
	jobPollInterval = 20 * time.Millisecond
	// maxJobIDLen is enough for a workspace of 63 characters, a separator and an id of 128 characters.
	maxJobIDLen = 192
	// defaultMaxQueuedJobs limits the queued jobs of a workspace, and of each of its classes, without a configured limit.
	defaultMaxQueuedJobs = 10_000
	// overloadRetryAfterMS is the Retry-After hint for callers when too many jobs are queued.
	overloadRetryAfterMS model.Millis = 5_000
)

// Submit accepts a job. Submitting it again with the same id and content returns the accepted job.
func (d *Daemon) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	if err := d.CheckReady(); err != nil {
		return model.Job{}, err
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.Must(uuid.NewV7()).String())
	}
	s, err := d.newSubmission(spec)
	if err != nil {
		return model.Job{}, err
	}
	if existing, ok := d.coordinator.Replica().Job(s.ID); ok {
		if !isSameJob(existing.Submission, s) {
			return model.Job{}, conflictError(spec.ID)
		}
		return jobView(existing), nil
	}
	if err := cmp.Or(d.checkQueueLimits(s), d.checkEvacuated(s)); err != nil {
		return model.Job{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := d.acceptor.Submit(ctx, s); err != nil {
		return model.Job{}, err
	}
	return d.readBack(ctx, s)
}

// readBack returns the job as the log contains it. If the log contains several submissions with the same id, the first one is
// valid, which may belong to another job.
func (d *Daemon) readBack(ctx context.Context, s *model.Submission) (model.Job, error) {
	if err := d.coordinator.CatchUp(ctx); err != nil {
		return jobView(journaler.Job{Submission: s}), nil // the job is in the log, but has not been read back yet
	}
	j, ok := d.coordinator.Replica().Job(s.ID)
	if !ok {
		return jobView(journaler.Job{Submission: s}), nil
	}
	if !isSameJob(j.Submission, s) {
		return model.Job{}, conflictError(s.ID)
	}
	return jobView(j), nil
}

// newSubmission validates a job and converts it to the form that is stored.
func (d *Daemon) newSubmission(spec model.JobSpec) (*model.Submission, error) {
	if len(spec.ID) > maxJobIDLen || slices.ContainsFunc([]byte(spec.ID), func(c byte) bool { return c <= ' ' || c == '/' || c >= 0x7f }) {
		return nil, invalidJobError("the job id is not usable", "use up to 128 printable ASCII characters without space and slash, such as a UUID")
	}
	set := d.config.Load().set
	class, ok := set.Classes[spec.Class]
	if !ok {
		return nil, invalidJobError(fmt.Sprintf("there is no class %q", spec.Class), "use a published class")
	}
	if len(spec.Steps) > 0 && spec.Shape != (model.Shape{}) {
		return nil, invalidJobError("the job has a shape and steps", "give one of them")
	}
	s := spec.Submission(queueForClass(spec.Class, class))
	for i, step := range s.Steps {
		if step.Count < 1 || step.Need.Accelerators < 0 || step.Need.Cores < 0 || step.Need.MemoryMB < 0 {
			return nil, invalidJobError(fmt.Sprintf("step %d has no tasks or a negative size", i), "give each step at least one task")
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return nil, invalidJobError(fmt.Sprintf("step %d waits for step %d", i, dependency), "let steps wait for earlier ones only")
			}
		}
	}
	if err := journaler.CheckSubmission(s); err != nil {
		return nil, invalidJobError(err.Error(), "submit smaller jobs")
	}
	return s, checkRunnable(s, set)
}

// checkRunnable returns an error for a job that could never run, because it exceeds the declared workers or the quota.
func checkRunnable(s *model.Submission, set model.ConfigSet) error {
	nodes := declaredNodes(set)
	quota := set.Workspaces[s.Workspace].Quota
	for _, step := range s.Steps {
		if !placer.Feasible(nodes, requestFor(&step)) {
			return neverRunnableError("the declared inventory can never hold the job")
		}
		if need := step.Need.Accelerators; step.Gang && need*model.Accelerators(step.Count) > quota || need > quota {
			return neverRunnableError(fmt.Sprintf("the job needs more than the quota of %d accelerators", quota))
		}
	}
	return nil
}

// requestFor returns the placer's request for all tasks of a step.
func requestFor(step *model.Step) *placer.Request {
	return &placer.Request{
		Count: step.Count, Need: step.Need, Gang: step.Gang, OneRack: step.OneRack, Label: step.Label, MaxPerWorker: step.MaxPerWorker,
	}
}

// checkEvacuated returns an error for a job that could run only in evacuated failure domains. How long that lasts is unknown.
func (d *Daemon) checkEvacuated(s *model.Submission) error {
	set := d.config.Load().set
	if len(set.Evacuations) == 0 {
		return nil
	}
	nodes := slices.DeleteFunc(declaredNodes(set), func(n *placer.Node) bool {
		_, evacuated := set.Evacuations[n.Domain]
		return evacuated
	})
	for _, step := range s.Steps {
		if !placer.Feasible(nodes, requestFor(&step)) {
			return &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindOverloaded, Message: "the failure domains that are not evacuated can't hold the job",
				Remedy: "retry later, or ask an operator to take the evacuation back", RetryAfterMS: overloadRetryAfterMS,
			}
		}
	}
	return nil
}

// declaredNodes returns a node without load for each declared worker, except those of lost failure domains.
func declaredNodes(set model.ConfigSet) []*placer.Node {
	var out []*placer.Node
	for id, domain := range set.FailureDomains {
		if domain.State == model.DomainLost {
			continue
		}
		for rack, r := range domain.Racks {
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

// checkQueueLimits returns an error if too many jobs of the workspace, or of the job's class in the workspace, are queued.
func (d *Daemon) checkQueueLimits(s *model.Submission) error {
	set := d.config.Load().set
	queued := d.coordinator.Replica().QueuedJobCounts(s.Workspace)
	total := 0
	for _, count := range queued {
		total += count
	}
	classLimit := cmp.Or(set.Classes[model.ClassID(s.Queue.ID)].MaxQueuedJobs, defaultMaxQueuedJobs)
	workspaceLimit := cmp.Or(set.Workspaces[s.Workspace].MaxQueuedJobs, defaultMaxQueuedJobs)
	if queued[s.Queue.ID] < classLimit && total < workspaceLimit {
		return nil
	}
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindOverloaded, Message: "too many jobs of the workspace wait",
		Remedy: "retry later", RetryAfterMS: overloadRetryAfterMS,
	}
}

func invalidJobError(message, remedy string) error {
	return &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: message, Remedy: remedy}
}

func neverRunnableError(message string) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindNeverRunnable, Message: message,
		Remedy: "ask for less, or declare more workers or a higher quota",
	}
}

func conflictError(id model.JobID) error {
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindConflict, Message: fmt.Sprintf("job %s is another job", id),
		Remedy: "choose a new id, such as a UUID",
	}
}

// isSameJob reports whether two submissions describe the same job. Their acceptance times and the configuration of their queue
// may differ. The payload of an ended job is compared by its digest.
func isSameJob(a, b *model.Submission) bool {
	if a.Digest != "" {
		b = journaler.EndedForm(b)
	}
	x, y := *a, *b
	x.AcceptedAtMS, y.AcceptedAtMS = 0, 0
	x.Queue, y.Queue = model.Queue{ID: x.Queue.ID}, model.Queue{ID: y.Queue.ID}
	return reflect.DeepEqual(x, y)
}

// jobView converts a job to the form that is reported to its caller, who knows the payload.
func jobView(j journaler.Job) model.Job {
	s := j.Submission
	return model.Job{
		Spec: model.JobSpec{
			ID: s.ID, Workspace: s.Workspace, Caller: s.Caller, Class: model.ClassID(s.Queue.ID), Steps: s.Steps,
		},
		State: j.State(), FailureReason: j.Progress.Reason, AcceptedAt: time.UnixMilli(s.AcceptedAtMS),
	}
}

// Job waits until a job has ended or the deadline has passed, and returns the job.
func (d *Daemon) Job(ctx context.Context, ws model.WorkspaceID, id model.JobID, deadline time.Time) (model.Job, error) {
	if _, err := d.acceptor.JobState(ctx, id, ws); err != nil {
		return model.Job{}, err
	}
	for {
		j, ok := d.coordinator.Replica().Job(id)
		if !ok {
			return model.Job{}, invalidJobError("the job's records have expired", "ask for jobs soon after their end")
		}
		if j.State().IsFinal() || !time.Now().Before(deadline) || ctx.Err() != nil {
			return jobView(j), nil
		}
		sleep(ctx, min(jobPollInterval, time.Until(deadline)))
	}
}

// Jobs lists the jobs of a workspace.
func (d *Daemon) Jobs(_ context.Context, ws model.WorkspaceID) ([]model.Job, error) {
	var out []model.Job
	for _, j := range d.coordinator.Replica().Jobs() {
		if j.Submission.Workspace == ws {
			out = append(out, jobView(j))
		}
	}
	slices.SortFunc(out, func(a, b model.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return out, nil
}

// Cancel requests the cancellation of a job.
func (d *Daemon) Cancel(ctx context.Context, ws model.WorkspaceID, id model.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return d.acceptor.Cancel(ctx, id, ws)
}

// Explain returns the reason for the state of a job and what its caller can do about it.
func (d *Daemon) Explain(ctx context.Context, ws model.WorkspaceID, id model.JobID) (model.Explanation, error) {
	if _, err := d.acceptor.JobState(ctx, id, ws); err != nil {
		return model.Explanation{}, err
	}
	replica := d.coordinator.Replica()
	j, _ := replica.Job(id)
	term, _ := replica.Term()
	explanation := model.Explanation{Job: id, State: j.State(), Leader: term.Host}
	switch {
	case j.State().IsFinal():
		explanation.Reason = "the job has ended: " + string(j.State())
		if j.Progress.Reason != "" {
			explanation.Reason += ": " + j.Progress.Reason
		}
	case j.State() == model.JobRunning:
		explanation.Reason = "tasks of the job run or have run"
	case term.Fence == 0 || term.Resigned:
		explanation.Reason, explanation.Remedy = "no entry host leads at present", "ask again in a few seconds"
	default:
		explanation.QueuePosition = queuePosition(replica.Jobs(), j)
		explanation.Reason = fmt.Sprintf("the job waits for room; it is number %d of its priority and above", explanation.QueuePosition)
		explanation.Remedy = "wait, use a more urgent class, or cancel other jobs of the workspace"
		if domains := d.evacuator.Domains(); len(domains) > 0 {
			explanation.Reason += fmt.Sprintf("; an operator has evacuated the failure domains %v, whose workers start nothing", domains)
			explanation.Remedy += ", or ask the operator to take the evacuation back"
		}
	}
	if !j.State().IsFinal() {
		explanation.Forecast = d.coordinator.JobForecast(ctx, id)
	}
	return explanation, nil
}

// queuePosition returns the position of j among the queued jobs, by priority and order of acceptance; 1 is next. Jobs loaded
// from a snapshot count as accepted first.
func queuePosition(jobs []journaler.Job, j journaler.Job) int {
	n := 1
	for _, other := range jobs {
		if other.State() != model.JobQueued || other.Submission.ID == j.Submission.ID {
			continue
		}
		order := cmp.Or(cmp.Compare(other.Submission.Queue.Priority, j.Submission.Queue.Priority), cmp.Compare(other.AcceptedOffset, j.AcceptedOffset))
		if order < 0 {
			n++
		}
	}
	return n
}
