package dispatcher

import (
	"testing"

	"github.com/matryer/is"

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
