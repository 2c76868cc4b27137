package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against cold workers that get all waiting tasks at once, and against tasks that wait for warm workers for good.
func TestColdWorkersAreFilledAtTheirRate(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	d.pacer.LinkRate = 0
	now := time.Now()
	d.entitlements.ColdStartsPerSecond = map[model.ServiceID]float64{"": 2}
	for _, w := range d.workers {
		w.info.ColdUntil = now.Add(10 * time.Second)
		is.Equal(w.healthStatus(now), "cold")
	}
	s := d.addStep("many", 1, model.Step{Count: 40, Need: model.Resources{Accelerators: 1}}, now)
	started := func() (n int) {
		for _, task := range s.tasks {
			if task.activeRun != nil {
				n++
			}
		}
		return n
	}
	d.schedule(now)
	is.Equal(started(), 16) // a burst of a second on each of 8 workers
	d.schedule(now)
	is.Equal(started(), 16)
	now = now.Add(500 * time.Millisecond)
	d.schedule(now)
	is.Equal(started(), 24)
	now = now.Add(10 * time.Second)
	d.schedule(now)
	is.Equal(started(), 40) // the workers are warm
}

// Guards against a gang that never starts because its members need more starts at once than cold workers are allowed.
func TestGangStartsOnColdWorkers(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	d.entitlements.ColdStartsPerSecond = map[model.ServiceID]float64{"": 0.1}
	for _, w := range d.workers {
		w.info.ColdUntil = now.Add(time.Hour)
	}
	s := d.addStep("gang", 1, model.Step{Count: 12, Need: model.Resources{Accelerators: 4}, Gang: true}, now)
	d.schedule(now)
	is.True(s.isIdle())
	now = now.Add(ampleRoomWait)
	d.schedule(now)
	is.True(!s.isIdle())
}
