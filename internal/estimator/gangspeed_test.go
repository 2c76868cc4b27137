package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against runs without a worker, such as those of gangs, that count as runs of one worker of their own and are corrected by its speed.
func TestRunsWithoutWorkerHaveNoSpeed(t *testing.T) {
	is := is.New(t)
	var e Estimator
	for i := range 200 {
		took := 10 * time.Second
		if i >= 100 {
			took = 18 * time.Second // all runs take longer from now on
		}
		e.RecordDone(&Run{Key: Key{Queue: "gangs", Gang: true}}, took)
		e.RecordDone(&Run{Key: Key{Queue: "tasks"}, Worker: "w1"}, 10*time.Second)
		e.Update()
	}
	is.Equal(e.Slowness(""), 1.0)
	is.Equal(len(e.speeds), 1)
}

// Guards against speeds that only noise or the mix of work explains, and against small differences that stay unknown after many runs.
func TestSlownessIsMoreThanNoise(t *testing.T) {
	for _, c := range []struct {
		runs, seed int
		slow       float64 // slowness of every other worker
		sigma      float64 // of the run times, in octaves
	}{{6, 1, 1, 0.5}, {20, 2, 1, 0.5}, {100, 3, 1, 0.5}, {100, 4, 1, 0.1}, {100, 5, 1.1, 0.1}, {100, 6, 1.2, 0.25}} {
		is := is.New(t)
		var e Estimator
		rng := rand.New(rand.NewPCG(uint64(c.seed), 1))
		other := Key{Queue: "other"}
		for i := range c.runs * 100 {
			w, took := i%100, 10*math.Exp2(c.sigma*rng.NormFloat64())
			run := Run{Key: Key{Queue: "tasks"}, Worker: model.HostID(fmt.Sprint("w", w))}
			if w >= 50 { // only these get tasks of which some run seven times as long
				run.Key = other
				if rng.IntN(33) == 0 {
					took *= 7
				}
			}
			if w%2 == 1 {
				took *= c.slow
			}
			e.RecordDone(&run, time.Duration(took*float64(time.Second)))
			if i%100 == 0 {
				e.Update()
			}
		}
		e.Update()
		fast, slow, different := 0.0, 0.0, 0
		for w := range 100 {
			s := e.Slowness(model.HostID(fmt.Sprint("w", w)))
			if s < 0.97 || s > 1.03 {
				different++
			}
			if w%2 == 1 {
				slow += math.Log2(s) / 50
			} else {
				fast += math.Log2(s) / 50
			}
		}
		if c.slow == 1 {
			is.True(different <= 2) // of 100 workers; the rest is equally fast
			continue
		}
		is.True(slow-fast >= math.Log2(c.slow)/2) // the other half may be noise
	}
}
