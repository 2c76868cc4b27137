package worker

import (
	"fmt"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// ledger records the starts and ends of runs on all workers and detects violations of the scheduler's guarantees. The fleet's
// lock protects it.
type ledger struct {
	startsByTask           map[string]int                          // number of starts of each task, keyed by TaskRef.String
	workersByTask          map[model.TaskRef]map[model.HostID]bool // workers that run each task now
	completionAcknowledged map[model.TaskRef]bool                  // tasks whose completion the leader has acknowledged
	completionsByTask      map[model.TaskRef]int                   // number of runs that completed each task
	startsAtCompletion     map[model.RunRef]int                    // number of starts of the task until the run completed it
	violations             []string                                // description of each violation
	gangTimeouts           int                                     // number of gang members that timed out waiting for the others
	lostRuns               map[model.TaskRef]int                   // number of runs of each task that ended with the process of their worker
}

func newLedger() ledger {
	return ledger{
		startsByTask: map[string]int{}, workersByTask: map[model.TaskRef]map[model.HostID]bool{}, completionAcknowledged: map[model.TaskRef]bool{},
		completionsByTask: map[model.TaskRef]int{}, startsAtCompletion: map[model.RunRef]int{}, lostRuns: map[model.TaskRef]int{},
	}
}

// LedgerReport is a snapshot of the ledger and the body of the response to GET /admin/ledger.
type LedgerReport struct {
	StartsByTask   map[string]int `json:"starts"`     // number of starts of each task, keyed by TaskRef.String
	CompletedTasks int            `json:"done"`       // number of tasks that a run has completed
	CompletedTwice int            `json:"done-twice"` // number of tasks that more than one run has completed
	GangTimeouts   int            `json:"alone"`      // number of gang members that timed out waiting for the others
	// Violations describes each start of a task that was already running, or was completed by a run whose end was acknowledged before
	// or after the start, and each start that exceeded the capacity of a worker.
	Violations []string `json:"faults"`
}

// LedgerReport returns a snapshot of the ledger.
func (f *Fleet) LedgerReport() LedgerReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := LedgerReport{
		StartsByTask: map[string]int{}, CompletedTasks: len(f.ledger.completionsByTask),
		GangTimeouts: f.ledger.gangTimeouts, Violations: slices.Clone(f.ledger.violations),
	}
	if report.Violations == nil {
		report.Violations = []string{}
	}
	for _, n := range f.ledger.completionsByTask {
		if n > 1 {
			report.CompletedTwice++
		}
	}
	for k, n := range f.ledger.startsByTask {
		report.StartsByTask[k] = n
	}
	return report
}

// LostRuns returns the number of runs of a job's task that ended with the processes of their workers, for the task with the most.
func (f *Fleet) LostRuns(id model.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for task, n := range f.ledger.lostRuns {
		if task.Job == id {
			most = max(most, n)
		}
	}
	return most
}

func (l *ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordStart counts the start of a run. It adds a violation if the task is already running, if the leader has acknowledged its
// completion, or if the runs on the worker exceed its capacity.
func (l *ledger) recordStart(s *workerState, r *run) {
	task := r.ref.Task
	l.startsByTask[task.String()]++
	if otherWorkers := len(l.workersByTask[task]); otherWorkers > 0 {
		l.addViolation("task %s started on %s as run %d while it runs on %d other workers", task, s.id, r.ref.Number, otherWorkers)
	}
	if l.completionAcknowledged[task] {
		l.addViolation("task %s started on %s as run %d after it was done", task, s.id, r.ref.Number)
	}
	if l.workersByTask[task] == nil {
		l.workersByTask[task] = map[model.HostID]bool{}
	}
	l.workersByTask[task][s.id] = true
	var used model.Resources
	for _, other := range s.runs {
		used = used.Add(other.resources)
	}
	if capacity := s.capacityForStarts(r.startedAt); !capacity.CanFit(used) {
		l.addViolation("worker %s has %v of its %v taken after the start of %s", s.id, used, capacity, task)
	}
}

// recordRemoval records that the worker no longer runs the task.
func (l *ledger) recordRemoval(s *workerState, r *run) {
	delete(l.workersByTask[r.ref.Task], s.id)
}

// recordEnd counts the runs that completed their task and the gang members that timed out.
func (l *ledger) recordEnd(_ *workerState, r *run, kind model.EndKind) {
	switch kind {
	case model.EndDone:
		l.completionsByTask[r.ref.Task]++
		l.startsAtCompletion[r.ref] = l.startsByTask[r.ref.Task.String()]
	case model.EndGangIncomplete:
		l.gangTimeouts++
	}
}

// recordAcknowledgment records that the leader has acknowledged the end of a run. It adds a violation if the run had completed its
// task and the task has started since.
func (l *ledger) recordAcknowledgment(s *workerState, e model.RunEnd) {
	if e.Kind != model.EndDone {
		return
	}
	l.completionAcknowledged[e.Run.Task] = true
	if n := l.startsByTask[e.Run.Task.String()] - l.startsAtCompletion[e.Run]; n > 0 {
		l.addViolation("task %s started %d times after run %d on %s had completed it, whose end was acknowledged", e.Run.Task, n, e.Run.Number, s.id)
	}
}

// Running returns the number of tasks of a job that run now.
func (f *Fleet) Running(id model.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, workers := range f.ledger.workersByTask {
		if task.Job == id && len(workers) > 0 {
			n++
		}
	}
	return n
}
