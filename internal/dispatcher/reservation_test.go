package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a job that waits forever for a worker whose capacity has shrunk while it made room for the job.
func TestReservationEndsWhenWorkerShrinks(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	need := model.Resources{Accelerators: 8}
	f.stopRun(f.task.activeRun, "preempted", f.now)
	waiting := &task{}
	r := &reservation{tasks: []*task{waiting}, workers: []*worker{f.worker}}
	is.True(r.isValid(need, f.now)) // the run that is being stopped makes room
	f.worker.info.Capacity.Accelerators = 4
	is.True(!r.isValid(need, f.now))
}

// Guards against starts beside a run whose need was taken from a capacity that had shrunk.
func TestWorkerWithUnknownRunGetsNoTasks(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.worker.info.Capacity.Accelerators = 2
	f.LookupJob = func(model.JobID) (journaler.Job, bool) { return journaler.Job{}, false }
	f.adoptRun(f.worker, model.RunProgress{Run: model.RunRef{Task: model.TaskRef{StepRef: model.StepRef{Job: "unknown"}}, Number: 1}}, f.now)
	f.worker.info.Capacity.Accelerators = 8
	is.True(!f.worker.isSchedulable(f.now))
}

// Guards against a task that is started twice in a pass, once for its reservation and once with the other waiting tasks of its step.
func TestReservedTaskIsStartedOnce(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	s := d.addJob(journaler.Job{Submission: newSubmission("job", 1, 3)}, now).steps[0]
	s.tasks[0].crashes, s.tasks[0].lastCrashAt = 1, now // waits for an empty worker, apart from the others
	s.reservation = &reservation{tasks: s.tasks[1:2], workers: []*worker{d.workers["w000"]}}
	d.schedule(now)
	runs := map[model.TaskRef]int{}
	for _, w := range d.workers {
		for _, r := range w.runs {
			runs[r.id.Task]++
		}
	}
	for _, task := range s.tasks[1:] {
		is.Equal(runs[task.ref()], 1)
	}
}
