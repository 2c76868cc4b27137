package worker

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The seed of the property tests is fixed, so that a failure repeats; the flags of the test run override it.
func init() {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "1000")
}

func at(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func batch(term uint64, ops ...workerclient.Op) workerclient.Batch {
	return workerclient.Batch{Holder: "h", Term: model.Term{Number: term, Host: "h"}, Ops: ops}
}

func reserve(job string, attempt, index, ttl int, spec string) workerclient.Op {
	gang := fmt.Sprintf("%s/%d", job, attempt)
	return workerclient.Op{
		Kind: workerclient.OpReserve, Task: model.TaskID(fmt.Sprintf("%s/%d", gang, index)), Gang: model.GangID(gang),
		Job: model.JobID(job), Members: 2, Accelerators: 2, Cores: 4, MemoryMB: 1024,
		TTL: model.Millis(ttl), Spec: json.RawMessage(spec),
	}
}

func on(kind workerclient.OpKind, id model.TaskID, ttl int) workerclient.Op {
	return workerclient.Op{Kind: kind, Task: id, TTL: model.Millis(ttl)}
}

func newTable(cfg Config) *Table {
	cfg.Worker, cfg.Accelerators, cfg.Cores, cfg.MemoryMB = "w", 8, 32, 16384
	return NewTable(cfg, "boot-1")
}

// state returns the state of a task at a time, "" when it is unknown.
func state(t *Table, now time.Time, id model.TaskID) workerclient.TaskState {
	t.Advance(now)
	for _, x := range t.Tasks() {
		if x.ID == id {
			return x.State
		}
	}
	return ""
}

// Guards against a fake that breaks the rules it is to enforce: work past the end of a lease, more work than
// fits, effects of stale terms, tasks that run again after their end, and changes that delta reports leave out.
func TestTableKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := newTable(Config{
			RunTime:        time.Duration(rapid.IntRange(0, 300).Draw(rt, "run")) * time.Millisecond,
			CheckpointTime: time.Duration(rapid.IntRange(0, 80).Draw(rt, "save")) * time.Millisecond,
			UsageLag:       time.Duration(rapid.IntRange(0, 80).Draw(rt, "lag")) * time.Millisecond,
		})
		now, boot, since, highest := 0, 1, uint64(0), uint64(0)
		seenBoot := model.BootID("")
		leases := map[model.TaskID]time.Time{}
		view := map[model.TaskID]workerclient.Task{}
		ended := map[model.TaskID]bool{}    // started and over, in this boot
		forgotten := map[model.TaskID]int{} // starts that the worker has been told to forget, or lost
		ids := rapid.SampledFrom([]int{0, 1, 2})
		kinds := rapid.SampledFrom([]workerclient.OpKind{
			workerclient.OpReserve, workerclient.OpReserve, workerclient.OpStart, workerclient.OpStart, workerclient.OpRenewAll,
			workerclient.OpCheckpoint, workerclient.OpThrottle, workerclient.OpStop, workerclient.OpRelease, workerclient.OpForget,
		})
		rt.Repeat(map[string]func(*rapid.T){
			"wait": func(rt *rapid.T) { now += rapid.IntRange(0, 150).Draw(rt, "ms"); table.Advance(at(now)) },
			"restart": func(rt *rapid.T) {
				boot++
				table.Restart(at(now), model.BootID(fmt.Sprintf("boot-%d", boot)))
				highest = 0
				clear(leases)
				clear(ended)
				forgotten = table.cfg.Ledger.Report(at(now)).Starts
			},
			"batch": func(rt *rapid.T) {
				before := table.Tasks()
				op := reserve("j", 1, ids.Draw(rt, "task"), rapid.IntRange(1, 200).Draw(rt, "ttl"), `{}`)
				op.Accelerators = model.Accelerators(rapid.IntRange(0, 5).Draw(rt, "accelerators"))
				op.Kind, op.Percent = kinds.Draw(rt, "op"), rapid.IntRange(0, 100).Draw(rt, "percent")
				b := batch(rapid.Uint64Range(1, 3).Draw(rt, "term"), op)
				b.Since, b.Boot = since, seenBoot
				reply := table.Apply(at(now), b)
				if b.Term.Number < highest {
					if reply.Error != model.KindStaleTerm || fmt.Sprint(before) != fmt.Sprint(table.Tasks()) {
						rt.Fatalf("a batch of term %d took effect under term %d", b.Term.Number, highest)
					}
					return
				}
				highest = b.Term.Number
				granted := at(now).Add(time.Duration(op.TTL) * time.Millisecond)
				for _, x := range before {
					if x.ID == op.Task && op.Kind == workerclient.OpReserve && !x.State.Holds() && reply.Results[0].Error == "" {
						delete(leases, x.ID) // a retried reservation has a lease of its own
					}
				}
				for _, x := range table.Tasks() {
					renews := op.Kind == workerclient.OpRenewAll && x.State.Holds() && x.State != workerclient.TaskReserved
					grants := x.ID == op.Task && (op.Kind == workerclient.OpReserve || op.Kind == workerclient.OpStart)
					if reply.Results[0].Error == "" && (renews || grants) {
						leases[x.ID] = latest(leases[x.ID], granted)
					}
				}
				removes := op.Kind == workerclient.OpForget || op.Kind == workerclient.OpRelease
				if !removes && rapid.Bool().Draw(rt, "answer lost") {
					return
				}
				if reply.Full {
					clear(view)
				}
				for _, x := range reply.Tasks {
					view[x.ID] = x
				}
				since, seenBoot = reply.Version, reply.Boot
				if removes && reply.Results[0].Error == "" {
					delete(view, op.Task)
					delete(leases, op.Task)
					delete(ended, op.Task)
					forgotten[op.Task] = table.cfg.Ledger.Report(at(now)).Starts[op.Task]
				}
				compareView(rt, view, table.Tasks())
			},
			"": func(rt *rapid.T) {
				if a, c, m := table.Free(); a < 0 || c < 0 || m < 0 {
					rt.Fatalf("more is held than the worker has: %d %d %d", a, c, m)
				}
				for _, x := range table.Tasks() {
					if x.State.Holds() && !leases[x.ID].After(at(now)) {
						rt.Fatalf("%s is %s at %v, its lease ended at %v", x.ID, x.State, at(now), leases[x.ID])
					}
				}
				if next, ok := table.Next(); ok && !next.After(at(now)) {
					rt.Fatalf("an event at %v was left out at %v", next, at(now))
				}
				for _, x := range table.Tasks() {
					if x.State == workerclient.TaskLapsed && leases[x.ID].After(at(now)) {
						rt.Fatalf("%s lapsed before %v, the end of its lease", x.ID, leases[x.ID])
					}
					if ended[x.ID] && x.State.Holds() {
						rt.Fatalf("%s is %s again after its end", x.ID, x.State)
					}
					ended[x.ID] = !x.State.Holds() && table.cfg.Ledger.Report(at(now)).Starts[x.ID] > forgotten[x.ID]
				}
			},
		})
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareView(rt *rapid.T, view map[model.TaskID]workerclient.Task, tasks []workerclient.Task) {
	var seen []workerclient.Task
	for _, id := range slices.Sorted(maps.Keys(view)) {
		seen = append(seen, view[id])
	}
	strip := func(tasks []workerclient.Task) string {
		tasks = slices.Clone(tasks)
		for i := range tasks {
			tasks[i].RunMS = 0 // grows without a change of the task
		}
		return fmt.Sprint(tasks)
	}
	if got, want := strip(seen), strip(tasks); got != want {
		rt.Fatalf("the reports add up to\n%s, the table holds\n%s", got, want)
	}
}
