package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/admitter"
	"chestnutmux.example/chestnutmux/internal/estimator"
	"chestnutmux.example/chestnutmux/internal/excluder"
	"chestnutmux.example/chestnutmux/internal/gatekeeper"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/internal/retrier"
	"chestnutmux.example/chestnutmux/internal/spreader"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxRunsPerTerm is the number of run numbers reserved for each term, so that two leaders never use the same run number for a
// task.
const maxRunsPerTerm = 1024

// job is the scheduling state of an accepted job that has not ended, or of an ended job that still has active runs.
type job struct {
	submission          *model.Submission
	steps               []*step // ordered by occurrence, then by index of the step in the submission
	cancelled           bool
	state               model.JobState
	reason              string
	winner              string             // see journaler.Progress
	endedRecorded       bool               // the record of the ended job has been made, see batch.addEnded
	predatesTerm        bool               // the job was accepted before this term, so former leaders may have started its tasks
	arrival             int64              // position in the order in which this leader learned of the jobs
	seenAt              time.Time          // time at which this host learned of the job, as a follower or as the leader
	targetDuration      time.Duration      // time from the arrival of the job within which it is to end, by the caller's estimates
	estimatedPath       time.Duration      // run time of the longest chain of dependent steps by the caller's estimates
	maxStepAccelerators model.Accelerators // accelerators needed by all tasks of the step that needs the most

	runTimes             *runTimes     // nil if the caller's estimates of run times are used as they are
	learnedTarget        time.Duration // result of expectedTarget at learnedTargetVersion of the estimator
	learnedTargetVersion int64
}

// step is a step of one occurrence of a job.
type step struct {
	job             *job
	ref             model.StepRef
	spec            *model.Step
	tasks           []*task
	dueAt           time.Time                // earliest start time; zero means immediately
	tasksLeft       int                      // number of tasks that are not done
	gangAttempts    int                      // number of starts of the gang in this term
	spread          spreader.Spread          // over how many workers the gang starts
	failedRuns      map[model.RunNumber]bool // numbers of the failed runs of all tasks, including those of former terms
	checkpoint      model.Checkpoint         // last checkpoint of the gang; empty if there is none
	reservation     *reservation             // nil if the step has none
	heldWorkers     []*worker                // workers held for the waiting gang; they get no less urgent work
	heldUntil       time.Time                // time after which other workers may be held instead
	notBefore       time.Time                // earliest start time of the next attempt
	pause           preemptor.Pause          // time for which the step preempts nothing after it was preempted in this term
	preemption      stepPreemption           // state of the decisions whether the step preempts, and of its own preemption
	exclusions      excluder.Exclusions      // workers on which the step has failed
	allStartedAt    time.Time                // time at which all tasks were first seen started; zero before that
	roomSince       time.Time                // start of the first pass since which the step waits beside ample room; zero while it does not
	waitLog         waitLog                  // when the step began to wait, and was last logged as waiting
	runTimes        estimator.Forecast       // see forecast; its scope is empty before the first call
	runTimesVersion int64                    // version of the estimator from which runTimes is
	bestPace        float64                  // pace of the fastest worker, in seconds per percent of progress; 0 means unknown
}

// task is one task of a step.
type task struct {
	step            *step
	index           int
	done            bool
	attempts        int                      // number of starts in this term
	failedRuns      map[model.RunNumber]bool // numbers of the failed runs, including those of former terms
	crashes         int                      // number of workers that have crashed under the task, in all terms
	possibleCrashes int                      // number of runs that were lost with a worker that may have crashed
	lastCrashAt     time.Time                // time at which the last crash was noticed in this term
	asks            int                      // number of workers asked for a report before the next start
	checkpoint      model.Checkpoint         // last checkpoint; empty if there is none
	activeRun       *run                     // nil if the task has no run
	preempted       bool                     // a run of it was preempted in this term
	lastWorker      *worker                  // worker of the last run that was started in this term
	failedOn        map[model.HostID]bool    // workers on which the task has failed in this term
	lastFailureAt   time.Time                // time of the last failure in this term
	formerWorker    model.HostID             // worker to which a former leader sent the task; empty once its runs are known or have ended
	formerBlameless bool                     // the end of formerWorker is no crash to count
	notBefore       time.Time                // earliest start time of the next run
	lateStarts      []*pendingStart          // start requests that were pending when their runs were removed
}

// run is one execution of a task on a worker. A run without a task was started by a former leader, is not needed, and is
// being stopped.
type run struct {
	id               model.RunRef
	task             *task
	worker           *worker
	need             model.Resources
	needUnknown      bool // the job is unknown, so the worker may have no room beside the run however its capacity grows
	state            runState
	startSentAt      time.Time          // time at which the start request was sent, or at which the run was adopted
	ticket           *gatekeeper.Ticket // of the start request; nil for an adopted run
	startConfirmedAt time.Time          // time at which a response or report confirmed the start; counts as the start time of the run
	stopConfirmedAt  time.Time          // time at which the worker confirmed the stop request
	stops            retrier.Requests
	percentDone      int       // progress of the run in percent
	lastProgressAt   time.Time // time at which percentDone last increased, or the run started
	incarnation      int64     // incarnation of the worker, as known when the start request was sent
	hasBegun         bool      // a response or report of the worker has shown the run
	listedAt         time.Time // time of the last report that listed the run as running
	startCutOffAt    time.Time // time at which the connection of the start request was closed, as if the worker had crashed; else zero
	workerSeenAt     time.Time // time of the last response of the worker before the start request was sent
	crashCounted     bool      // the crash of the worker was counted against the task
	endAnnounced     bool      // the list has shown the worker as draining during the run, so its end is no crash
	suspected        bool      // the run counts in possibleCrashes of the task
	fromCheckpoint   bool      // the run resumes from a checkpoint
	stopReason       string    // why the run is being stopped

	adopted         bool           // a former leader has started the run
	paceFrom        time.Time      // time since which the pace of the run is measured; zero before its first report if it resumes from a checkpoint
	paceFromPercent int            // progress at paceFrom
	observation     *estimator.Run // nil if nothing is learned from the run
}

type runState string

const (
	runStarting    runState = "starting" // start request sent, start not confirmed yet
	runUnconfirmed runState = "doubtful" // the start request got no response; the run is being stopped
	runRunning     runState = "running"
	runStopping    runState = "stopping"
)

// newJob returns the scheduling state of a job, initialized from its records in the log.
func newJob(j journaler.Job, now time.Time) *job {
	s := j.Submission
	out := &job{
		submission: s, cancelled: j.Cancelled, state: j.State(), arrival: int64(j.AcceptedOffset), seenAt: now, winner: j.Winner,
	}
	out.setTarget()
	if !j.LearnedAt.IsZero() {
		out.seenAt = j.LearnedAt
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

// setTarget sets the target duration and the critical path from the submission.
func (j *job) setTarget() {
	j.targetDuration, j.estimatedPath = admitter.TargetDuration(j.submission), admitter.CriticalPath(j.submission)
}

// newStep returns the scheduling state of step i of an occurrence of the job, initialized with the progress in the log.
func newStep(j *job, occurrence, i int, p journaler.StepProgress) *step {
	s := &step{
		job: j, spec: &j.submission.Steps[i], dueAt: j.submission.DueAt(occurrence),
		ref:        model.StepRef{Job: j.submission.ID, Occurrence: occurrence, Step: i},
		failedRuns: map[model.RunNumber]bool{},
	}
	for n := range s.spec.Count {
		t := &task{step: s, index: n, done: p.DoneTasks.Has(n), failedRuns: map[model.RunNumber]bool{}, checkpoint: p.Checkpoints[n], crashes: p.Crashes[n]}
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
	for _, n := range p.BlamelessTasks {
		if n >= 0 && n < len(s.tasks) {
			s.tasks[n].formerBlameless = true
		}
	}
	return s
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

// isReady reports whether the step is unblocked and its retry delay has passed.
func (s *step) isReady(now time.Time) bool {
	return !s.notBefore.After(now) && s.isUnblocked(now)
}

// isAwaitingRestart reports whether an interrupted gang only waits for its members to stop, or for the retry delay, before it can
// start again.
func (s *step) isAwaitingRestart(now time.Time) bool {
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

// isUnblocked reports whether the step has undone tasks, is due, and depends only on steps that are done.
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

// hasConfirmedRuns reports whether the job has active runs other than those whose start request got no response and those that are
// being stopped on a worker that does not respond.
func (j *job) hasConfirmedRuns() bool {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			r := t.activeRun
			if r != nil && r.state != runUnconfirmed && (r.state != runStopping || r.worker.isResponding) {
				return true
			}
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

// markDone marks the task as done, and reports whether it was not done before.
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

// progressRecord returns the progress of the job in the form that is stored in the log.
func (j *job) progressRecord(fence model.FencingToken) *journaler.Progress {
	p := &journaler.Progress{Fence: fence, State: j.state, Reason: j.reason, Winner: j.winner}
	if j.state.IsFinal() {
		return p
	}
	p.Steps = map[string]journaler.StepProgress{}
	for _, s := range j.steps {
		rec := s.progressRecord()
		if len(rec.DoneTasks) > 0 || len(rec.FailedRuns) > 0 || len(rec.Crashes) > 0 || len(rec.Checkpoints) > 0 || len(rec.RunningTasks) > 0 || len(rec.LateStarts) > 0 {
			p.Steps[journaler.StepKey(s.ref.Occurrence, s.ref.Step)] = rec
		}
	}
	return p
}

// progressRecord returns the progress of the step in the form that is stored in the log.
func (s *step) progressRecord() journaler.StepProgress {
	var p journaler.StepProgress
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if id := t.runningOn(); id != "" {
			if p.RunningTasks == nil {
				p.RunningTasks = map[model.HostID][]int{}
			}
			p.RunningTasks[id] = append(p.RunningTasks[id], t.index)
			if t.isBlameless() {
				p.BlamelessTasks = append(p.BlamelessTasks, t.index)
			}
		}
		for _, late := range t.lateStarts {
			if late.IsPending() {
				p.AddLateStart(late.Worker, t.index)
			}
		}
		for r := range t.failedRuns {
			if p.FailedRuns == nil {
				p.FailedRuns = map[int][]model.RunNumber{}
			}
			p.FailedRuns[t.index] = append(p.FailedRuns[t.index], r)
		}
		if t.crashes > 0 {
			if p.Crashes == nil {
				p.Crashes = map[int]int{}
			}
			p.Crashes[t.index] = t.crashes
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

// runningOn returns the worker on which the task has a run, or may have one that a former leader started; empty if there is none.
func (t *task) runningOn() model.HostID {
	if t.activeRun != nil {
		return t.activeRun.worker.info.ID
	}
	return t.formerWorker
}

// isBlameless reports whether the end of the worker on which the task has a run is no crash to count against it.
func (t *task) isBlameless() bool {
	if r := t.activeRun; r != nil {
		return r.crashCounted || r.endAnnounced || !r.hasBegun && r.startCutOffAt.IsZero()
	}
	return t.formerBlameless
}

// resumeCheckpoint returns the checkpoint from which the next run resumes, or an empty one if there is none. All members of a
// gang resume from the same checkpoint.
func (t *task) resumeCheckpoint() model.Checkpoint {
	if t.step.spec.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}
