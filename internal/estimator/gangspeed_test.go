package estimator

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
