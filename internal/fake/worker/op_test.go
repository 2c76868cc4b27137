package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against payloads that are not obeyed, also when they come inside a job specification.
func TestTasksEndAsThePayloadSays(t *testing.T) {
	for spec, want := range map[string]workerclient.TaskState{
		`{"run-ms":100,"fail":false,"x":1}`:                             workerclient.TaskFinished,
		`{"run-ms":100,"fail":true}`:                                    workerclient.TaskFailed,
		`{"run-ms":9000,"shape":{},"payload":{"run-ms":100}}`:           workerclient.TaskFinished,
		`{"run-ms":9000,"payload":{"run-ms":100,"fail":true},"id":"j"}`: workerclient.TaskFailed,
	} {
		is := is.New(t)
		table := newTable(Config{})
		table.Apply(at(0), batch(1, reserve("j", 1, 0, 50, spec), on(workerclient.OpStart, "j/1/0", 1000)))
		is.Equal(state(table, at(99), "j/1/0"), workerclient.TaskRunning)
		is.Equal(state(table, at(100), "j/1/0"), want)
		is.Equal(table.Tasks()[0].RunMS, model.Millis(100))
	}
}

// Guards against double effects when a batch is repeated because its answer was lost.
func TestRepeatedOperations(t *testing.T) {
	is := is.New(t)
	table := newTable(Config{})
	ops := batch(1, reserve("j", 1, 0, 50, `{}`), on(workerclient.OpStart, "j/1/0", 500))
	table.Apply(at(0), ops)
	reply := table.Apply(at(1), ops)
	is.Equal(reply.Results[0].Error, model.KindWrongState) // a running task is not reserved again
	is.Equal(reply.Results[1].State, workerclient.TaskRunning)
	is.Equal(reply.Results[1].Error, model.ErrorKind(""))
	is.Equal(table.cfg.Ledger.Report(at(1)).Starts["j/1/0"], 1)
	reply = table.Apply(at(600), ops)
	is.Equal(reply.Results[1].Error, model.KindWrongState) // lapsed, and started before
	is.Equal(reply.Results[1].State, workerclient.TaskLapsed)
}

// Guards against a retried reservation that is refused, or a renewal that keeps reservations alive.
func TestReservationsLapseAndCanBeRetried(t *testing.T) {
	is := is.New(t)
	table := newTable(Config{})
	table.Apply(at(0), batch(1, reserve("j", 1, 0, 50, `{}`)))
	table.Apply(at(40), batch(1, workerclient.Op{Kind: workerclient.OpRenewAll, TTL: 1000}))
	is.Equal(state(table, at(50), "j/1/0"), workerclient.TaskLapsed)
	reply := table.Apply(at(60), batch(1, reserve("j", 1, 0, 50, `{}`), on(workerclient.OpRelease, "j/1/0", 0)))
	is.Equal(reply.Results[0].State, workerclient.TaskReserved)
	is.Equal(len(table.Tasks()), 0)
}

// Guards against renewals that reach an excluded gang.
func TestRenewAllLeavesOutGangs(t *testing.T) {
	is := is.New(t)
	table := newTable(Config{RunTime: time.Minute})
	table.Apply(at(0), batch(1, reserve("a", 1, 0, 100, ``), reserve("b", 1, 0, 100, ``),
		on(workerclient.OpStart, "a/1/0", 100), on(workerclient.OpStart, "b/1/0", 100)))
	table.Apply(at(90), batch(1, workerclient.Op{Kind: workerclient.OpRenewAll, TTL: 100, Except: []model.GangID{"b/1"}}))
	is.Equal(state(table, at(100), "a/1/0"), workerclient.TaskRunning)
	is.Equal(state(table, at(100), "b/1/0"), workerclient.TaskLapsed)
}

// Guards against lost progress: a task resumes from its checkpoint on another worker; throttling slows it down.
func TestCheckpointAndThrottle(t *testing.T) {
	is := is.New(t)
	saved := &Checkpoints{}
	a := newTable(Config{Checkpoints: saved, CheckpointTime: 20 * time.Millisecond})
	a.Apply(at(0), batch(1, reserve("j", 1, 0, 50, `{"run-ms":100}`), on(workerclient.OpStart, "j/1/0", 1000)))
	a.Apply(at(60), batch(1, on(workerclient.OpCheckpoint, "j/1/0", 1000)))
	is.Equal(state(a, at(79), "j/1/0"), workerclient.TaskCheckpointing)
	is.Equal(state(a, at(80), "j/1/0"), workerclient.TaskCheckpointed)

	b := newTable(Config{Checkpoints: saved, CheckpointTime: 20 * time.Millisecond})
	b.Apply(at(100), batch(1, reserve("j", 2, 0, 50, `{"run-ms":100}`), on(workerclient.OpStart, "j/2/0", 1000)))
	b.Apply(at(100), batch(1, workerclient.Op{Kind: workerclient.OpThrottle, Task: "j/2/0", Percent: 50}))
	is.Equal(state(b, at(179), "j/2/0"), workerclient.TaskRunning) // 40 ms of work are left, at half speed
	is.Equal(state(b, at(180), "j/2/0"), workerclient.TaskFinished)

	a.Apply(at(200), batch(1, reserve("k", 1, 0, 50, ``), on(workerclient.OpStart, "k/1/0", 1000),
		on(workerclient.OpCheckpoint, "k/1/0", 10)))
	is.Equal(state(a, at(210), "k/1/0"), workerclient.TaskStopped) // the checkpoint misses its bound
}

// Guards against usage that is reported without its lag, and against faults that do not take effect.
func TestUsageLagAndFaults(t *testing.T) {
	is := is.New(t)
	table := newTable(Config{UsageLag: 50 * time.Millisecond})
	table.Apply(at(0), batch(1, reserve("j", 1, 0, 50, ``), on(workerclient.OpStart, "j/1/0", 1000)))
	table.Advance(at(49))
	is.Equal(table.Tasks()[0].UsagePct, 0)
	table.Advance(at(50))
	is.Equal(table.Tasks()[0].UsagePct, 100)
	table.SetFaults(false, true)
	table.Apply(at(60), batch(1, reserve("k", 1, 0, 50, ``), on(workerclient.OpStart, "k/1/0", 1000)))
	is.Equal(state(table, at(60).Add(faultDelay), "k/1/0"), workerclient.TaskFailed)
	table.SetFaults(true, false)
	reply := table.Apply(at(100), batch(1, reserve("l", 1, 0, 50, ``)))
	is.Equal(reply.Results[0].Error, model.KindNoCapacity)
}

// Guards against checks that miss a partial gang, a double start or two attempts at once.
func TestLedger(t *testing.T) {
	is := is.New(t)
	ledger := &Ledger{}
	a, b := newTable(Config{Ledger: ledger, RunTime: time.Hour}), newTable(Config{Ledger: ledger, RunTime: time.Hour})
	run := func(t *Table, now, attempt, index int) {
		op := reserve("j", attempt, index, 5000, ``)
		t.Apply(at(now), batch(1, op, on(workerclient.OpStart, op.Task, 5000)))
	}
	run(a, 0, 1, 0)
	run(b, 30, 1, 1) // partial for 30 ms
	r := ledger.Report(at(1000))
	is.Equal(r.PartialMS, map[model.GangID]model.Millis{"j/1": 30})
	is.Equal(len(r.DoubleStarts)+len(r.Overlaps), 0)
	a.Restart(at(1000), "boot-2")
	is.Equal(ledger.Report(at(1100)).PartialMS["j/1"], model.Millis(100)) // still partial
	run(a, 1200, 1, 0)
	is.Equal(ledger.Report(at(1300)).DoubleStarts, []model.TaskID{"j/1/0"})
	is.Equal(ledger.Report(at(1300)).PartialMS["j/1"], model.Millis(200))
	run(a, 1400, 2, 0)
	is.Equal(ledger.Report(at(1400)).Overlaps["j"], 1)
}

// Guards against a gang that counts as partial although the missing members have finished.
func TestFinishedMembersAreNotMissing(t *testing.T) {
	is := is.New(t)
	table := newTable(Config{})
	table.Apply(at(0), batch(1, reserve("j", 1, 0, 500, `{"run-ms":10}`), reserve("j", 1, 1, 500, `{"run-ms":400}`),
		on(workerclient.OpStart, "j/1/0", 500), on(workerclient.OpStart, "j/1/1", 500)))
	table.Advance(at(450))
	is.Equal(len(table.cfg.Ledger.Report(at(450)).PartialMS), 0)
}
