package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxRunsPerTerm is the size of the range of run numbers that each term has to itself, so that no number is used twice
// whatever a former leader did.
const maxRunsPerTerm = 1024

// job is an accepted job that has not ended, or whose last runs are being stopped.
type job struct {
	submission          *model.Submission
	steps               []*step // ordered by occurrence, then by step
	cancelled           bool
	state               model.JobState
	reason              string
	predatesTerm        bool               // accepted before this term: a former leader may have started tasks that are not known yet
	arrival             int64              // position in the order of arrival
	seenAt              time.Time          // when this leader learned of the job
	maxStepAccelerators model.Accelerators // accelerators of all tasks of its largest step
}

// step is a step of one occurrence of a job.
type step struct {
	job          *job
	ref          model.StepRef
	spec         *model.Step
	tasks        []*task
	dueAt        time.Time                // earliest start; zero means immediately
	tasksLeft    int                      // number of tasks that are not done
	gangAttempts int                      // number of starts of the gang in this term
	failedRuns   map[model.RunNumber]bool // numbers of the failed runs of all tasks
	checkpoint   model.Checkpoint         // last checkpoint of the gang
	reservation  *reservation             // nil if none
	heldWorkers  []*worker                // workers that take no less urgent work until the waiting gang fits
	heldUntil    time.Time
	notBefore    time.Time             // earliest start of the next attempt
	excluded     map[model.HostID]bool // workers that get no tasks of the step
	allStartedAt time.Time             // when all tasks had started for the first time
	bestPace     float64               // of the fastest worker, in seconds per percent of progress
}

// task is one task of a step.
type task struct {
	step          *step
	index         int
	done          bool
	attempts      int                      // number of starts in this term
	failedRuns    map[model.RunNumber]bool // numbers of the failed runs
	checkpoint    model.Checkpoint         // last checkpoint
	activeRun     *run                     // nil if the task has no run
	lastWorker    *worker                  // worker of the last run in this term
	failedOn      map[model.HostID]bool    // workers on which the task has failed in this term
	lastFailureAt time.Time                // time of the last failure in this term
	formerWorker  model.HostID             // worker to which a former leader sent the task; empty once the runs of that worker are known
	notBefore     time.Time                // earliest start of the next run
}

// run is one execution of a task on a worker. A run without a task was started by a former leader and is being stopped.
type run struct {
	id              model.RunRef
	task            *task
	worker          *worker
	need            model.Resources
	state           runState
	startSentAt     time.Time // when the start request was sent
	startAnsweredAt time.Time // when the start was confirmed by a response or a report
	stopConfirmedAt time.Time // when the worker confirmed the stop
	stopAttempts    int
	percent         int       // progress
	lastProgressAt  time.Time // when percent last increased, or the run started
	fromCheckpoint  bool      // the run resumed from a checkpoint
	stopReason      string    // why the run is being stopped
}

type runState string

const (
	runStarting    runState = "starting" // start request sent, not answered yet
	runUnconfirmed runState = "doubtful" // start request got no response; the run is being stopped
	runRunning     runState = "running"
	runStopping    runState = "stopping"
)

// newJob returns the scheduling state of a job as recorded in the log.
func newJob(j journaler.Job, now time.Time) *job {
	s := j.Submission
	out := &job{
		submission: s, cancelled: j.Cancelled, state: j.State(), arrival: int64(j.AcceptedOffset), seenAt: now,
	}
	for k := range s.Occurrences() {
		for i := range s.Steps {
			out.steps = append(out.steps, newStep(out, k, i, j.Progress.Steps[journaler.StepKey(k, i)]))
		}
	}
	for i := range s.Steps {
		spec := &s.Steps[i]
		out.maxStepAccelerators = max(out.maxStepAccelerators, spec.Need.Accelerators*model.Accelerators(spec.Count))
	}
	return out
}

// newStep returns the scheduling state of step i of an occurrence of the job, with the progress recorded in the log.
func newStep(j *job, occurrence, i int, p journaler.StepProgress) *step {
	s := &step{
		job: j, spec: &j.submission.Steps[i], dueAt: j.submission.DueAt(occurrence),
		ref:        model.StepRef{Job: j.submission.ID, Occurrence: occurrence, Step: i},
		failedRuns: map[model.RunNumber]bool{},
	}
	for n := range s.spec.Count {
		t := &task{step: s, index: n, done: p.DoneTasks.Has(n), failedRuns: map[model.RunNumber]bool{}, checkpoint: p.Checkpoints[n]}
		for _, r := range p.FailedRuns[n] {
			t.failedRuns[r] = true
			s.failedRuns[r] = true
		}
		if t.checkpoint != "" {
			s.checkpoint = t.checkpoint
		}
		if !t.done {
			s.tasksLeft++
		}
		s.tasks = append(s.tasks, t)
	}
	for id, tasks := range p.RunningTasks {
		for _, n := range tasks {
			if n >= 0 && n < len(s.tasks) {
				s.tasks[n].formerWorker = id
			}
		}
	}
	return s
}

// slack returns how much longer than its declared run time the job may take and still meet its objective.
func (j *job) slack() time.Duration {
	chain := admitter.CriticalPath(j.submission)
	return time.Duration(float64(chain)*(j.submission.Queue.TargetStretch-1)) + time.Duration(j.submission.Queue.TargetOffsetMS)*time.Millisecond
}

// findTask returns the task with the given reference, or nil.
func (j *job) findTask(ref model.TaskRef) *task {
	n := len(j.submission.Steps)
	if ref.Step < 0 || ref.Step >= n || ref.Occurrence < 0 || ref.Occurrence >= j.submission.Occurrences() {
		return nil
	}
	s := j.steps[ref.Occurrence*n+ref.Step]
	if ref.Index < 0 || ref.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.Index]
}

// isReady reports whether the step can start now.
func (s *step) isReady(now time.Time) bool {
	return !s.notBefore.After(now) && s.isUnblocked(now)
}

// isResuming reports whether an interrupted gang will soon be ready to start again, because its members are being stopped or
// it waits for the retry delay.
func (s *step) isResuming(now time.Time) bool {
	if s.reservation != nil || !s.isUnblocked(now) {
		return false
	}
	stopping := false
	for _, t := range s.tasks {
		if t.done || t.activeRun != nil && t.activeRun.state != runStopping && t.activeRun.state != runUnconfirmed {
			return false
		}
		stopping = stopping || t.activeRun != nil
	}
	return stopping || s.notBefore.After(now)
}

// isUnblocked reports whether the step is due and all steps that it depends on are done.
func (s *step) isUnblocked(now time.Time) bool {
	if s.tasksLeft == 0 || s.dueAt.After(now) {
		return false
	}
	base := s.ref.Occurrence * len(s.job.submission.Steps)
	for _, dep := range s.spec.DependsOn {
		if dep < 0 || dep >= len(s.job.submission.Steps) || s.job.steps[base+dep].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// isIdle reports whether the step has no active runs.
func (s *step) isIdle() bool {
	for _, t := range s.tasks {
		if t.activeRun != nil {
			return false
		}
	}
	return true
}

// allStarted reports whether each task of the step is done or has a run that was confirmed as started.
func (s *step) allStarted() bool {
	for _, t := range s.tasks {
		if !t.done && (t.activeRun == nil || t.activeRun.state == runStarting || t.activeRun.state == runUnconfirmed) {
			return false
		}
	}
	return true
}

// hasActiveRuns reports whether the job has active runs.
func (j *job) hasActiveRuns() bool {
	for _, s := range j.steps {
		if !s.isIdle() {
			return true
		}
	}
	return false
}

// tasksLeft returns the number of tasks that are not done.
func (j *job) tasksLeft() int {
	n := 0
	for _, s := range j.steps {
		n += s.tasksLeft
	}
	return n
}

// markDone marks the task as done, and reports whether that changed its state.
func (t *task) markDone() bool {
	if t.done {
		return false
	}
	t.done = true
	t.step.tasksLeft--
	return true
}

// ref returns the reference of the task.
func (t *task) ref() model.TaskRef {
	return model.TaskRef{StepRef: t.step.ref, Index: t.index}
}

// progressRecord returns the state of the job as it is stored in the log.
func (j *job) progressRecord(fence model.FencingToken) *journaler.Progress {
	p := &journaler.Progress{Fence: fence, State: j.state, Reason: j.reason}
	if j.state.IsFinal() {
		return p
	}
	p.Steps = map[string]journaler.StepProgress{}
	for _, s := range j.steps {
		rec := s.progressRecord()
		if len(rec.DoneTasks) > 0 || len(rec.FailedRuns) > 0 || len(rec.Checkpoints) > 0 || len(rec.RunningTasks) > 0 {
			p.Steps[journaler.StepKey(s.ref.Occurrence, s.ref.Step)] = rec
		}
	}
	return p
}

// progressRecord returns the state of the step as it is stored in the log.
func (s *step) progressRecord() journaler.StepProgress {
	var p journaler.StepProgress
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if t.activeRun != nil {
			if p.RunningTasks == nil {
				p.RunningTasks = map[model.HostID][]int{}
			}
			id := t.activeRun.worker.info.ID
			p.RunningTasks[id] = append(p.RunningTasks[id], t.index)
		}
		for r := range t.failedRuns {
			if p.FailedRuns == nil {
				p.FailedRuns = map[int][]model.RunNumber{}
			}
			p.FailedRuns[t.index] = append(p.FailedRuns[t.index], r)
		}
		if c := t.resumeCheckpoint(); c != "" && (!s.spec.Gang || t.index == 0) {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]model.Checkpoint{}
			}
			p.Checkpoints[t.index] = c
		}
	}
	return p
}

// resumeCheckpoint returns the checkpoint from which the next run resumes; empty if there is none.
func (t *task) resumeCheckpoint() model.Checkpoint {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}
