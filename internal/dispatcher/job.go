package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// runsPerTerm separates the run numbers of terms, so that no number is used twice whatever a former leader did.
const runsPerTerm = 1024

// job is an accepted job that has not ended.
type job struct {
	sub       *model.Submission
	steps     []*step // by occurrence, then step
	cancelled bool
	state     model.JobState
	reason    string
	old       bool // a former leader may have started tasks that are not known yet
	order     int64
	seenAt    time.Time
	needGPU   model.Accelerators // of its widest step
}

// step is a step of one occurrence.
type step struct {
	job        *job
	ref        model.StepRef
	spec       *model.Step
	tasks      []*task
	due        time.Time // zero means at once
	left       int       // tasks not done
	attempts   int       // runs of the gang in this term
	failedRuns map[model.RunNumber]bool
	checkpoint model.Checkpoint // of a gang
	claim      *claim
	kept       []*worker // that empty for a waiting gang
	keptUntil  time.Time
	notBefore  time.Time // of the next attempt
	avoid      map[model.HostID]bool
	beganAt    time.Time // when all tasks were first started
	bestPace   float64   // of its tasks, in seconds a percent of work
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	attempts   int
	failed     map[model.RunNumber]bool
	checkpoint model.Checkpoint
	active     *run
	last       *worker // of the last run of this term
	failedOn   map[model.HostID]bool
	failedAt   time.Time    // of the last failed run in this term
	former     model.HostID // the worker that a former leader ordered it to, until that worker is settled
	notBefore  time.Time
}

// run is one start of a task on a worker; a run without task is left over from a former leader.
type run struct {
	id         model.RunRef
	task       *task
	worker     *worker
	need       model.Resources
	state      runState
	sentAt     time.Time // of the start order
	answeredAt time.Time // of the start order
	stoppedAt  time.Time // when the worker confirmed the stop
	stopTries  int
	percent    int
	percentAt  time.Time // when percent last rose
	resumed    bool
	why        string // reason of a stop
}

type runState string

const (
	runStarting runState = "starting" // the order is on its way
	runDoubtful runState = "doubtful" // the order got no answer
	runRunning  runState = "running"
	runStopping runState = "stopping"
)

func newJob(j journaler.Job, now time.Time) *job {
	s := j.Submission
	out := &job{
		sub: s, cancelled: j.Cancelled, state: j.State(), order: int64(j.AcceptedOffset), seenAt: now,
	}
	for k := range s.Occurrences() {
		for i := range s.Steps {
			out.steps = append(out.steps, newStep(out, k, i, j.Progress.Steps[journaler.StepKey(k, i)]))
		}
	}
	for i := range s.Steps {
		sp := &s.Steps[i]
		out.needGPU = max(out.needGPU, sp.Need.Accelerators*model.Accelerators(sp.Count))
	}
	return out
}

func newStep(j *job, occurrence, i int, p journaler.StepProgress) *step {
	s := &step{
		job: j, spec: &j.sub.Steps[i], due: j.sub.DueAt(occurrence),
		ref:        model.StepRef{Job: j.sub.ID, Occurrence: occurrence, Step: i},
		failedRuns: map[model.RunNumber]bool{},
	}
	for n := range s.spec.Count {
		t := &task{step: s, index: n, done: p.DoneTasks.Has(n), failed: map[model.RunNumber]bool{}, checkpoint: p.Checkpoints[n]}
		for _, r := range p.FailedRuns[n] {
			t.failed[r] = true
			s.failedRuns[r] = true
		}
		if t.checkpoint != "" {
			s.checkpoint = t.checkpoint
		}
		if !t.done {
			s.left++
		}
		s.tasks = append(s.tasks, t)
	}
	for id, tasks := range p.RunningTasks {
		for _, n := range tasks {
			if n >= 0 && n < len(s.tasks) {
				s.tasks[n].former = id
			}
		}
	}
	return s
}

// slack returns the time that the objective of the job leaves beyond its declared work.
func (j *job) slack() time.Duration {
	chain := admitter.CriticalPath(j.sub)
	return time.Duration(float64(chain)*(j.sub.Queue.TargetStretch-1)) + time.Duration(j.sub.Queue.TargetOffsetMS)*time.Millisecond
}

// find returns the task of a reference, or nil.
func (j *job) find(ref model.TaskRef) *task {
	n := len(j.sub.Steps)
	if ref.Step < 0 || ref.Step >= n || ref.Occurrence < 0 || ref.Occurrence >= j.sub.Occurrences() {
		return nil
	}
	s := j.steps[ref.Occurrence*n+ref.Step]
	if ref.Index < 0 || ref.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[ref.Index]
}

// ready reports whether the step's turn has come.
func (s *step) ready(now time.Time) bool {
	return !s.notBefore.After(now) && s.unblocked(now)
}

// returning reports whether a gang that was interrupted will be ready in a moment: its members are being stopped, or it
// pauses before the next attempt.
func (s *step) returning(now time.Time) bool {
	if s.claim != nil || !s.unblocked(now) {
		return false
	}
	stopping := false
	for _, t := range s.tasks {
		if t.done || t.active != nil && t.active.state != runStopping && t.active.state != runDoubtful {
			return false
		}
		stopping = stopping || t.active != nil
	}
	return stopping || s.notBefore.After(now)
}

// unblocked reports whether the step is due and all steps before it are done.
func (s *step) unblocked(now time.Time) bool {
	if s.left == 0 || s.due.After(now) {
		return false
	}
	base := s.ref.Occurrence * len(s.job.sub.Steps)
	for _, a := range s.spec.DependsOn {
		if a < 0 || a >= len(s.job.sub.Steps) || s.job.steps[base+a].left > 0 {
			return false
		}
	}
	return true
}

// idle reports whether no task of the step has a run.
func (s *step) idle() bool {
	for _, t := range s.tasks {
		if t.active != nil {
			return false
		}
	}
	return true
}

// whole reports whether every task of the step is done or has started.
func (s *step) whole() bool {
	for _, t := range s.tasks {
		if !t.done && (t.active == nil || t.active.state == runStarting || t.active.state == runDoubtful) {
			return false
		}
	}
	return true
}

// active reports whether any task of the job has a run.
func (j *job) active() bool {
	for _, s := range j.steps {
		if !s.idle() {
			return true
		}
	}
	return false
}

// left returns the number of tasks that are not done.
func (j *job) left() int {
	n := 0
	for _, s := range j.steps {
		n += s.left
	}
	return n
}

// markDone marks the task done and reports whether it was not before.
func (t *task) markDone() bool {
	if t.done {
		return false
	}
	t.done = true
	t.step.left--
	return true
}

// ref returns the name of the task.
func (t *task) ref() model.TaskRef {
	return model.TaskRef{StepRef: t.step.ref, Index: t.index}
}

// progress returns the record of the job's state.
func (j *job) progress(fence model.FencingToken) *journaler.Progress {
	p := &journaler.Progress{Fence: fence, State: j.state, Reason: j.reason}
	if j.state.IsFinal() {
		return p
	}
	p.Steps = map[string]journaler.StepProgress{}
	for _, s := range j.steps {
		sp := s.progress()
		if len(sp.DoneTasks) > 0 || len(sp.FailedRuns) > 0 || len(sp.Checkpoints) > 0 || len(sp.RunningTasks) > 0 {
			p.Steps[journaler.StepKey(s.ref.Occurrence, s.ref.Step)] = sp
		}
	}
	return p
}

func (s *step) progress() journaler.StepProgress {
	var p journaler.StepProgress
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if t.active != nil {
			if p.RunningTasks == nil {
				p.RunningTasks = map[model.HostID][]int{}
			}
			id := t.active.worker.info.ID
			p.RunningTasks[id] = append(p.RunningTasks[id], t.index)
		}
		for r := range t.failed {
			if p.FailedRuns == nil {
				p.FailedRuns = map[int][]model.RunNumber{}
			}
			p.FailedRuns[t.index] = append(p.FailedRuns[t.index], r)
		}
		if c := t.resumeFrom(); c != "" && (!s.spec.Gang || t.index == 0) {
			if p.Checkpoints == nil {
				p.Checkpoints = map[int]model.Checkpoint{}
			}
			p.Checkpoints[t.index] = c
		}
	}
	return p
}

// resumeFrom returns the checkpoint that the next run starts with.
func (t *task) resumeFrom() model.Checkpoint {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}
