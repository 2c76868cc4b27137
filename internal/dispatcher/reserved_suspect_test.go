package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a reserved start beside a task that may crash its worker.
func TestReservedStartWaitsForSuspect(t *testing.T) {
	is := is.New(t)
	d := newLargeFleet(t, 1)
	now := time.Now()
	gang := d.addStep("gang", 0, model.Step{Count: 2, Need: model.Resources{Accelerators: 4}, Gang: true, MaxPerWorker: 1}, now)
	w0, w1 := d.workers["w000"], d.workers["w001"]
	low := d.fill("low", 2, model.Resources{Accelerators: 8}, 1, 8, now)
	gang.reservation = &reservation{tasks: gang.tasks, workers: []*worker{w0, w1}}
	d.stopRun(low.tasks[0].activeRun, "preempted", now)
	suspect := d.addStep("suspect", 1, model.Step{Count: 1, Need: model.Resources{Accelerators: 4}}, now)
	suspect.tasks[0].crashes, suspect.tasks[0].lastCrashAt = 1, now
	d.schedule(now)
	is.True(suspect.tasks[0].activeRun != nil)
	is.Equal(suspect.tasks[0].activeRun.worker, w0)
	d.removeRun(low.tasks[0].activeRun, now)
	d.schedule(now.Add(maxPassInterval))
	is.True(gang.tasks[0].activeRun == nil || suspect.tasks[0].activeRun.worker != gang.tasks[0].activeRun.worker)
}
