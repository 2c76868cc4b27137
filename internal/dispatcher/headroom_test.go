package dispatcher

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// newFleet returns a dispatcher with racks of 8 workers with 8 accelerators each.
func newFleet(t *testing.T, racks int) *Dispatcher {
	t.Helper()
	d := newDispatcher(t)
	now := time.Now()
	for i := range 8 * racks {
		w := d.addWorker(model.Worker{
			ID: model.HostID(fmt.Sprintf("w%03d", i)), Rack: model.RackID(fmt.Sprintf("r%02d", i/8)), State: model.WorkerReady,
			Capacity: model.Resources{Cores: 32000, MemoryMB: 131072, Accelerators: 8},
		}, now)
		w.listed, w.openInLog, w.hasReported, w.isResponding, w.clockAt = true, true, true, true, now
	}
	return d
}

// addStep adds a job with one step.
func (d *Dispatcher) addStep(id string, p model.Priority, spec model.Step, now time.Time) *step {
	s := newSubmission(id, p, spec.Count)
	spec.EstimatedRunMS = 10_000
	s.Steps[0] = spec
	return d.addJob(journaler.Job{Submission: s}, now).steps[0]
}

// tasksPerRack returns how many tasks of a step run on each rack.
func (s *step) tasksPerRack() map[model.RackID]int {
	out := map[model.RackID]int{}
	for _, t := range s.tasks {
		if t.activeRun != nil {
			out[t.activeRun.worker.info.Rack]++
		}
	}
	return out
}

// Guards against small tasks that spread over every rack, so that each urgent gang has to preempt some of them. Workers that urgent
// work has recently needed must stay free of tasks that would lose their progress.
func TestHeadroomKeepsRacksFreeForUrgentGangs(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprint("resumable=", resumable), func(t *testing.T) { testHeadroomKeepsRacksFree(t, resumable) })
	}
}

func testHeadroomKeepsRacksFree(t *testing.T, resumable bool) {
	is := is.New(t)
	d := newFleet(t, 4)
	now := time.Now()
	gang := d.addStep("urgent", 0, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}, Gang: true, OneRack: true}, now)
	d.schedule(now)
	d.schedule(now.Add(3 * time.Second)) // the smoothed demand rises
	is.Equal(len(gang.tasksPerRack()), 1)
	now = now.Add(4 * time.Second)
	for _, task := range gang.tasks {
		d.removeRun(task.activeRun, now)
	}
	delete(d.jobs, "urgent")
	filler := d.addStep("filler", 2, model.Step{Count: 17, Need: model.Resources{Accelerators: 8}}, now)
	for i, task := range filler.tasks {
		d.startRun(task, d.workers[model.HostID(fmt.Sprintf("w%03d", 8+i))], 1, now)
	}
	small := d.addStep("small", 2, model.Step{Count: 400, Need: model.Resources{Accelerators: 1}, Resumable: resumable}, now)
	d.schedule(now)
	// The smoothed demand has dropped by one worker, so one worker of the first rack is used.
	is.Equal(small.tasksPerRack(), map[model.RackID]int{"r00": 8, "r03": 56})
	is.Equal(d.Metrics.Withheld.String(), `{"/0": 0, "/2": 7}`)
	nextGang := d.addStep("again", 0, model.Step{Count: 7, Need: model.Resources{Accelerators: 8}, Gang: true, OneRack: true}, now)
	d.schedule(now.Add(100 * time.Millisecond))
	is.Equal(nextGang.tasksPerRack(), map[model.RackID]int{"r00": 7}) // starts in the next pass, without preemption
}

// Guards against jobs with checkpoints that miss their target duration beside withheld workers.
func TestHeadroomShrinksAsSlackRunsOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	j := &job{submission: newSubmission("late", 2, 1), seenAt: now}
	j.setTarget()
	slack := j.slack()
	is.True(slack > 0)
	share := func(waited float64) float64 {
		return j.withheldShare(now.Add(time.Duration(waited * float64(slack))))
	}
	is.Equal(share(0.5), 1.0)
	is.True(math.Abs(share(0.8)-0.5) < 0.01)
	is.True(share(0.99) < 0.05)
	is.Equal(share(1.01), 1.0)

	is.Equal(startedBesideHeadroom(t, false), 12) // the others of the 16 free workers are withheld
	is.Equal(startedBesideHeadroom(t, true), 16)
}

// startedBesideHeadroom returns how many of 24 late tasks start on 32 workers beside 16 tasks of an urgent gang of 20.
func startedBesideHeadroom(t *testing.T, resumable bool) int {
	is := is.New(t)
	d := newFleet(t, 4)
	now := time.Now()
	gang := d.addStep("urgent", 0, model.Step{Count: 20, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.schedule(now)
	now = now.Add(3 * time.Second)
	d.schedule(now) // the smoothed demand rises
	is.True(gang.tasks[0].activeRun != nil)
	for _, task := range gang.tasks[:4] {
		d.removeRun(task.activeRun, now)
		task.done = true
	}
	late := d.addStep("late", 2, model.Step{Count: 24, Need: model.Resources{Accelerators: 8}, Resumable: resumable}, now)
	late.job.seenAt = now.Add(-late.job.slack() * 99 / 100)
	d.schedule(now)
	n := 0
	for _, started := range late.tasksPerRack() {
		n += started
	}
	return n
}

// newFleetWithUnmetDemand returns an idle fleet with an urgent gang that never fits, and the time at which its demand is known.
func newFleetWithUnmetDemand(t *testing.T) (*Dispatcher, time.Time) {
	t.Helper()
	d := newFleet(t, 2)
	now := time.Now()
	d.addStep("urgent", 0, model.Step{Count: 40, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.schedule(now)
	now = now.Add(3 * time.Second)
	d.schedule(now)
	return d, now
}

// Guards against headroom that makes work wait while most of the fleet is idle.
func TestNoHeadroomOnIdleFleet(t *testing.T) {
	is := is.New(t)
	d, now := newFleetWithUnmetDemand(t)
	small := d.addStep("small", 2, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}}, now)
	d.schedule(now)
	is.Equal(len(small.tasksPerRack()) > 0, true)
}

// Guards against headroom that permanently blocks work: a gang that needs most of the fleet, and tasks bound to one worker.
func TestHeadroomExemptions(t *testing.T) {
	is := is.New(t)
	d, now := newFleetWithUnmetDemand(t)
	delete(d.jobs, "urgent")
	d.workers["w000"].info.Labels = []string{"fast"}
	bound := d.addStep("bound", 2, model.Step{Count: 1, Need: model.Resources{Accelerators: 1}, Label: "fast"}, now)
	d.schedule(now)
	is.Equal(bound.tasksPerRack(), map[model.RackID]int{"r00": 1})
	wide := d.addStep("wide", 1, model.Step{Count: 15, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.schedule(now)
	is.Equal(wide.tasksPerRack(), map[model.RackID]int{"r00": 7, "r01": 8})
}

// Guards against small tasks that take the resources of an interrupted gang before the gang starts again.
func TestInterruptedGangKeepsVacatedWorkers(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	gang := d.addStep("gang", 1, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.schedule(now)
	is.Equal(gang.tasksPerRack()["r00"], 8)
	d.stopStep(gang, "test", now)
	d.removeRun(gang.tasks[0].activeRun, now) // the first member has ended, the others are being stopped
	small := d.addStep("small", 2, model.Step{Count: 8, Need: model.Resources{Accelerators: 1}}, now)
	d.schedule(now)
	is.Equal(len(small.tasksPerRack()), 0)
}
