package worker

import (
	"fmt"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// ledger records the runs of all workers and detects violations of the scheduler's guarantees; the fleet's lock protects it.
type ledger struct {
	startsByTask     map[string]int                          // number of starts, by TaskRef.String
	runningOn        map[model.TaskRef]map[model.HostID]bool // workers on which the task runs now
	acknowledgedDone map[model.TaskRef]bool                  // tasks of which the leader has acknowledged a run that ended as done
	completedTasks   map[model.TaskRef]int                   // number of runs that ended as done
	violations       []string
	gangTimeouts     int
}

func newLedger() ledger {
	return ledger{
		startsByTask: map[string]int{}, runningOn: map[model.TaskRef]map[model.HostID]bool{}, acknowledgedDone: map[model.TaskRef]bool{},
		completedTasks: map[model.TaskRef]int{},
	}
}

// LedgerReport is the content of the ledger and the body of GET /admin/ledger.
type LedgerReport struct {
	StartsByTask   map[string]int `json:"starts"` // number of starts of each task
	CompletedTasks int            `json:"done"`   // number of tasks that have ended as done
	GangTimeouts   int            `json:"alone"`  // number of gang members that timed out waiting for the others
	// Violations describes each start of a task that ran elsewhere or was done, and each start over a worker's capacity.
	Violations []string `json:"faults"`
}

// LedgerReport returns the content of the ledger.
func (f *Fleet) LedgerReport() LedgerReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := LedgerReport{
		StartsByTask: map[string]int{}, CompletedTasks: len(f.ledger.completedTasks),
		GangTimeouts: f.ledger.gangTimeouts, Violations: slices.Clone(f.ledger.violations),
	}
	if r.Violations == nil {
		r.Violations = []string{}
	}
	for k, n := range f.ledger.startsByTask {
		r.StartsByTask[k] = n
	}
	return r
}

func (l *ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordStart counts a start and checks that the task runs nowhere else, is not done and fits the worker's capacity.
func (l *ledger) recordStart(s *workerState, r *run) {
	task := r.ref.Task
	l.startsByTask[task.String()]++
	if otherWorkers := len(l.runningOn[task]); otherWorkers > 0 {
		l.addViolation("task %s started on %s as run %d while it runs on %d other workers", task, s.id, r.ref.Number, otherWorkers)
	}
	if l.acknowledgedDone[task] {
		l.addViolation("task %s started on %s as run %d after it was done", task, s.id, r.ref.Number)
	}
	if l.runningOn[task] == nil {
		l.runningOn[task] = map[model.HostID]bool{}
	}
	l.runningOn[task][s.id] = true
	var used model.Resources
	for _, other := range s.runs {
		used = used.Add(other.resources)
	}
	if !s.capacity.CanFit(used) {
		l.addViolation("worker %s has %v of its %v taken after the start of %s", s.id, used, s.capacity, task)
	}
}

// recordRemoval records that a run no longer runs on the worker.
func (l *ledger) recordRemoval(s *workerState, r *run) {
	delete(l.runningOn[r.ref.Task], s.id)
}

func (l *ledger) recordEnd(_ *workerState, r *run, kind model.EndKind) {
	switch kind {
	case model.EndDone:
		l.completedTasks[r.ref.Task]++
	case model.EndGangIncomplete:
		l.gangTimeouts++
	}
}

// recordAcknowledgment records that the leader has acknowledged the end of a run.
func (l *ledger) recordAcknowledgment(e model.RunEnd) {
	if e.Kind == model.EndDone {
		l.acknowledgedDone[e.Run.Task] = true
	}
}
