package planner

import (
	"testing"
	"time"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against violations that the reserver reports and nobody counts.
func TestReportedViolationsAreCounted(t *testing.T) {
	ctx, f := newFixture(t, workerclient.TaskRunning)
	f.cfg.Asserter = &asserter.Asserter{}
	f.report(ctx, reserver.GangPartial{Gang: "job/1", Job: "job", Running: 1, Size: 2})
	f.report(ctx, reserver.WorkerOver{Worker: "w"})
	f.is.Equal(f.cfg.Asserter.Counts(), map[string]int64{"partial-gang": 1, "over-committed": 1})
}

// Guards against a histogram of urgent starts that stays empty, or counts work that has no target.
func TestUrgentStartIsRecorded(t *testing.T) {
	for _, tt := range []struct {
		urgency model.Urgency
		gang    gang
		want    int64
	}{
		{model.UrgencyUrgent, gang{guaranteed: true, attempt: 1}, 1},
		{model.UrgencyUrgent, gang{attempt: 1}, 0},
		{model.UrgencyUrgent, gang{guaranteed: true, attempt: 2}, 0},
		{model.UrgencyBatch, gang{guaranteed: true, attempt: 1}, 0},
	} {
		ctx, f := newFixture(t, workerclient.TaskRunning)
		f.set.Classes["c"] = model.Class{Urgency: tt.urgency}
		g := tt.gang
		g.job = "job"
		f.gangs["job/x"] = &g
		f.started(ctx, reserver.GangStarted{Gang: "job/x", Job: "job", At: time.Now()})
		f.is.Equal(f.cfg.Recorder.UrgentStart.Summaries()["ws"].Count, tt.want)
	}
}

// Guards against a new planner that does not know what other failure domains use of a quota until that changes.
func TestUseElsewhereOutlivesTakeover(t *testing.T) {
	ctx, f := newFixture(t, workerclient.TaskRunning)
	f.handle(ctx, UsedElsewhere{Used: map[model.WorkspaceID]model.Accelerators{"ws": 8}})
	f.takeOver(ctx)
	f.sched.HoldBefore(0)
	f.is.Equal(len(f.sched.Pass(time.Now())), 0)
	f.is.Equal(f.sched.Explain("job", time.Now()).Wait, scheduler.WaitQuota)
}
