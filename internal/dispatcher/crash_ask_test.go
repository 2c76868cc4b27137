package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a task that waits for good for reports of workers, and against one that is sent to a worker that was not asked.
func TestSuspectWaitsForReportForLimitedTime(t *testing.T) {
	for _, answers := range []bool{true, false} {
		is := is.New(t)
		d := newLargeFleet(t, 1)
		now := time.Now()
		s := d.addStep("suspect", 0, model.Step{Count: 1, Need: model.Resources{Accelerators: 1}}, now)
		s.tasks[0].crashes, s.tasks[0].lastCrashAt = 1, now
		for _, w := range d.workers {
			w.clockAt = now.Add(-time.Minute)
		}
		waited := time.Duration(0)
		for ; s.tasks[0].activeRun == nil && waited < time.Minute; waited += maxPassInterval {
			d.schedule(now.Add(waited))
			if answers {
				for _, w := range d.workers {
					w.clockAt = now.Add(waited)
				}
			}
		}
		is.True(waited > maxPassInterval)                // it was not sent in the first pass
		is.True(waited <= (maxAsks+1)*maxPassInterval)   // nor later than this
		is.True(!answers || waited == 2*maxPassInterval) // and soon if a worker responds
	}
}
