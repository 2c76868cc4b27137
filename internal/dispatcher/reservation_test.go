package dispatcher

import (
	"testing"

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
