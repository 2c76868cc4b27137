package cli

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against values of workers and runners in the wrong column of the status table.
func TestStatusTableColumns(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	e := &env{stdout: &out}
	printWorkers(e, []model.WorkerStatus{{Worker: "w", Rack: "r1", Health: "quarantined", Accelerators: 8, InUse: 3}})
	printRunners(e, []model.RunnerStatus{{Runner: "x", Leaving: true, Slots: 4, InFlight: 2}})
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	is.Equal(lines, []string{
		"WORKER RACK HEALTH IN USE ACCELERATORS", "w r1 quarantined 3 8",
		"RUNNER LEAVING IN FLIGHT SLOTS", "x true 2 4",
	})
}
