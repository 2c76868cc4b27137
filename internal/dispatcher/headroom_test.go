package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// fleetOf returns a dispatcher with racks of 8 workers of 8 accelerators.
func fleetOf(t *testing.T, racks int) *Dispatcher {
	t.Helper()
	d := newDispatcher(t)
	now := time.Now()
	for i := range 8 * racks {
		w := d.addWorker(model.Worker{
			ID: model.HostID(fmt.Sprintf("w%03d", i)), Rack: model.RackID(fmt.Sprintf("r%02d", i/8)), State: model.WorkerReady,
			Capacity: model.Resources{Cores: 32000, MemoryMB: 131072, Accelerators: 8},
		}, now)
		w.listed, w.settled, w.answers, w.clockAt = true, true, true, now
	}
	return d
}

// add adds a job of one step.
func (d *Dispatcher) add(id string, p model.Priority, st model.Step, now time.Time) *step {
	s := submission(id, p, st.Count)
	st.EstimatedRunMS = 10_000
	s.Steps[0] = st
	return d.addJob(journaler.Job{Submission: s}, now).steps[0]
}

// ranOn returns how many tasks of a step run on each rack.
func (s *step) ranOn() map[model.RackID]int {
	out := map[model.RackID]int{}
	for _, t := range s.tasks {
		if t.active != nil {
			out[t.active.worker.info.Rack]++
		}
	}
	return out
}

// Guards against small tasks that spread over every rack, so that each urgent gang has to stop some of them: what urgent
// work has lately needed stays free of work that would lose its progress.
func TestUrgentWorkKeepsItsRacks(t *testing.T) {
	is := is.New(t)
	d := fleetOf(t, 4)
	now := time.Now()
	gang := d.add("urgent", 0, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}, Gang: true, OneRack: true}, now)
	d.plan(now)
	d.plan(now.Add(3 * time.Second)) // the level follows
	is.Equal(len(gang.ranOn()), 1)
	now = now.Add(4 * time.Second)
	for _, task := range gang.tasks {
		d.remove(task.active, now)
	}
	delete(d.jobs, "urgent")
	filler := d.add("filler", 2, model.Step{Count: 17, Need: model.Resources{Accelerators: 8}}, now)
	for i, task := range filler.tasks {
		d.startRun(task, d.workers[model.HostID(fmt.Sprintf("w%03d", 8+i))], 1, now)
	}
	small := d.add("small", 2, model.Step{Count: 400, Need: model.Resources{Accelerators: 1}}, now)
	d.plan(now)
	is.Equal(small.ranOn(), map[model.RackID]int{"r00": 8, "r03": 56}) // one worker of the first rack: the level has sunk by it
	again := d.add("again", 0, model.Step{Count: 7, Need: model.Resources{Accelerators: 8}, Gang: true, OneRack: true}, now)
	d.plan(now.Add(100 * time.Millisecond))
	is.Equal(again.ranOn(), map[model.RackID]int{"r00": 7}) // at once, and nothing was stopped
}

// Guards against work that waits while most of the fleet is idle.
func TestNothingIsKeptOnAnIdleFleet(t *testing.T) {
	is := is.New(t)
	d := fleetOf(t, 2)
	now := time.Now()
	d.add("urgent", 0, model.Step{Count: 40, Need: model.Resources{Accelerators: 8}, Gang: true}, now) // never fits
	d.plan(now)
	now = now.Add(3 * time.Second)
	d.plan(now)
	small := d.add("small", 2, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}}, now)
	d.plan(now)
	is.Equal(len(small.ranOn()) > 0, true)
}

// Guards against work that is shut out for good: a gang of most of the fleet, and tasks that are bound to a worker.
func TestHeadroomShutsNothingOut(t *testing.T) {
	is := is.New(t)
	d := fleetOf(t, 2)
	now := time.Now()
	d.add("urgent", 0, model.Step{Count: 40, Need: model.Resources{Accelerators: 8}, Gang: true}, now) // never fits
	d.plan(now)
	now = now.Add(3 * time.Second)
	d.plan(now)
	delete(d.jobs, "urgent")
	d.workers["w000"].info.Labels = []string{"fast"}
	bound := d.add("bound", 2, model.Step{Count: 1, Need: model.Resources{Accelerators: 1}, Label: "fast"}, now)
	d.plan(now)
	is.Equal(bound.ranOn(), map[model.RackID]int{"r00": 1})
	wide := d.add("wide", 1, model.Step{Count: 15, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.plan(now)
	is.Equal(wide.ranOn(), map[model.RackID]int{"r00": 7, "r01": 8})
}

// Guards against room that is freed for a gang and taken by small tasks before the gang starts again.
func TestRoomOfAnInterruptedGang(t *testing.T) {
	is := is.New(t)
	d := fleetOf(t, 1)
	now := time.Now()
	gang := d.add("gang", 1, model.Step{Count: 8, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	d.plan(now)
	is.Equal(gang.ranOn()["r00"], 8)
	d.stopStep(gang, "test", now)
	d.remove(gang.tasks[0].active, now) // the first member has ended, the others are being stopped
	small := d.add("small", 2, model.Step{Count: 8, Need: model.Resources{Accelerators: 1}}, now)
	d.plan(now)
	is.Equal(len(small.ranOn()), 0)
}
