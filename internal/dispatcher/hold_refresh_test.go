package dispatcher

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against held workers of a waiting gang that less urgent work takes because another step has preempted in the same pass.
func TestHeldWorkersStayHeldAfterPreemption(t *testing.T) {
	is := is.New(t)
	d := newLargeFleet(t, 2)
	now := time.Now()
	full := model.Resources{Accelerators: 8}
	d.fill("low", 2, full, 0, 12, now)
	gang := d.addStep("gang", 1, model.Step{Count: 10, Need: full, Gang: true}, now)
	d.schedule(now)
	is.True(len(gang.heldWorkers) == 10)
	urgent := d.addStep("urgent", 1, model.Step{Count: 1, Need: full, Label: "one"}, now)
	urgent.job.seenAt = now.Add(-preemptor.Patience(urgent.job.slack()) - time.Second) // it preempts at once
	for _, w := range d.workers {
		if len(w.runs) > 0 && !slices.Contains(gang.heldWorkers, w) {
			w.info.Labels = []string{"one"}
			break
		}
	}
	small := d.addStep("small", 3, model.Step{Count: 4, Need: full}, now)
	d.schedule(now.Add(time.Millisecond))
	is.True(urgent.reservation != nil)
	is.True(small.isIdle()) // the free workers are held for the gang
}
