package preemptor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against lost work that counts accelerators only, or the work before the last checkpoint.
func TestLostWork(t *testing.T) {
	is := is.New(t)
	r := Run{Need: model.Resources{Cores: 12_000, Accelerators: 2}, Elapsed: 5 * time.Second}
	is.Equal(r.LostWork(), CoreSeconds(28*5))
	r.Resumable = true
	is.Equal(r.LostWork(), Work(r.Need, maxCheckpointLoss))
}

// Guards against a step that preempts right after it was preempted, or that is kept from it for good.
func TestPauseEnds(t *testing.T) {
	is := is.New(t)
	var p Pause
	start := time.Now()
	for i := range 10 {
		p.Begin(start.Add(time.Duration(i) * time.Second))
	}
	is.Equal(p.EndsAt(time.Hour), start.Add(maxPause))
	p = Pause{}
	p.Begin(start)
	is.Equal(p.EndsAt(time.Hour), start.Add(pauseLength))
	is.Equal(p.EndsAt(time.Second), start.Add(time.Second))
}
