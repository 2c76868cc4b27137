package dispatcher

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against work that waits without a trace of what keeps it from the workers.
func TestLongWaitIsLoggedWithReasons(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var logs bytes.Buffer
	f.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	f.addJob(journaler.Job{Submission: newSubmission("waiting", 1, 1)}, f.now)
	f.worker.isResponding = false
	for ms := 0; ms <= 20_000; ms += 500 {
		f.schedule(f.later(ms))
	}
	is.Equal(strings.Count(logs.String(), "step waits for workers"), 2) // after 3 s and after 13 s
	is.True(strings.Contains(logs.String(), "unreachable"))
}

// Guards against log lines on waiting work that can't tell a full fleet from headroom, racks and preemption that is not due.
func TestLongWaitIsLoggedWithUse(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	var logs bytes.Buffer
	d.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	now := time.Now()
	low := d.addStep("low", 2, model.Step{Count: 6, Need: model.Resources{Accelerators: 4}, MaxPerWorker: 1}, now)
	d.schedule(now)
	for _, task := range low.tasks {
		task.activeRun.state = runRunning
	}
	d.workers["w007"].isResponding = false
	d.addStep("gang", 1, model.Step{Count: 2, Need: model.Resources{Accelerators: 8}, Gang: true}, now)
	for ms := range 40 {
		d.schedule(now.Add(time.Duration(ms) * 100 * time.Millisecond))
	}
	for _, want := range []string{
		`use-percent="map[accelerators:37 `, `use-percent-schedulable="map[accelerators:42 `, "withheld-nodes=0", "free-slots=1", "fits-twice=false",
		"held-workers=2", "preemption=slack-left", "preempts-in-ms=",
	} {
		is.True(strings.Contains(logs.String(), want)) // the log line has the key and value
	}
}

// Guards against a wait that is logged as if it had begun before the last start of the step.
func TestReservedStartEndsLoggedWait(t *testing.T) {
	is := is.New(t)
	d := newFleet(t, 1)
	now := time.Now()
	s := d.addStep("job", 1, model.Step{Count: 1, Need: model.Resources{Accelerators: 8}}, now)
	s.waitLog.waitingSince = now
	s.reservation = &reservation{tasks: s.tasks, workers: []*worker{d.workers["w000"]}}
	d.schedule(now)
	is.True(s.tasks[0].activeRun != nil)
	is.True(s.waitLog.waitingSince.IsZero())
}
