package planner

import (
	"testing"

	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/workerclient"
)

// Guards against attempt numbers, and so task ids, that are used twice: an earlier planner started the attempt, and
// it and the leases of the attempt ended before its record of the start was durable.
func TestAttemptNumberIsNotUsedAgain(t *testing.T) {
	ctx, f := newFixture(t, workerclient.TaskLapsed)
	for f.held || len(f.gangs) == 0 {
		f.read(ctx)
		f.step(ctx)
	}
	f.is.Equal(f.gangs["job/1"], (*gang)(nil)) // attempt 1 ran and lapsed
	f.is.Equal(f.gangs["job/2"].attempt, 2)
	f.report(ctx, reserver.GangEnded{Gang: "job/2", Job: "job", Outcome: reserver.OutcomeFinished})
	f.is.True(f.decided["job"])
}
