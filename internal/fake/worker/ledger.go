package worker

import (
	"fmt"
	"slices"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Ledger counts over all workers what must never happen; the fleet's lock protects it.
type Ledger struct {
	starts   map[string]int                          // by task
	running  map[model.TaskRef]map[model.HostID]bool // workers where a task runs
	done     map[model.TaskRef]bool                  // ends that were acknowledged
	finished map[model.TaskRef]int                   // ends as done
	faults   []string
	alone    int
}

func newLedger() Ledger {
	return Ledger{
		starts: map[string]int{}, running: map[model.TaskRef]map[model.HostID]bool{}, done: map[model.TaskRef]bool{},
		finished: map[model.TaskRef]int{},
	}
}

// LedgerReport is what a ledger has counted so far.
type LedgerReport struct {
	StartsByTask   map[string]int `json:"starts"` // by task
	CompletedTasks int            `json:"done"`   // tasks that have ended as done
	GangTimeouts   int            `json:"alone"`  // members of gangs that waited in vain for the others
	// Violations are starts of tasks that ran elsewhere or were done, and workers whose room was exceeded.
	Violations []string `json:"faults"`
}

// LedgerReport returns the counts.
func (f *Fleet) LedgerReport() LedgerReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := LedgerReport{StartsByTask: map[string]int{}, CompletedTasks: len(f.ledger.finished), GangTimeouts: f.ledger.alone, Violations: slices.Clone(f.ledger.faults)}
	if r.Violations == nil {
		r.Violations = []string{}
	}
	for k, n := range f.ledger.starts {
		r.StartsByTask[k] = n
	}
	return r
}

func (l *Ledger) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// started notes a start and checks that the task runs nowhere else and fits.
func (l *Ledger) started(s *state, r *run) {
	t := r.id.Task
	l.starts[t.String()]++
	if n := len(l.running[t]); n > 0 {
		l.fault("task %s started on %s as run %d while it runs on %d other workers", t, s.id, r.id.Number, n)
	}
	if l.done[t] {
		l.fault("task %s started on %s as run %d after it was done", t, s.id, r.id.Number)
	}
	if l.running[t] == nil {
		l.running[t] = map[model.HostID]bool{}
	}
	l.running[t][s.id] = true
	var used model.Resources
	for _, other := range s.runs {
		used = used.Add(other.need)
	}
	if !s.capacity.CanFit(used) {
		l.fault("worker %s has %v of its %v taken after the start of %s", s.id, used, s.capacity, t)
	}
}

func (l *Ledger) left(s *state, r *run) {
	delete(l.running[r.id.Task], s.id)
}

func (l *Ledger) ended(_ *state, r *run, kind model.EndKind) {
	switch kind {
	case model.EndDone:
		l.finished[r.id.Task]++
	case model.EndGangIncomplete:
		l.alone++
	}
}

// acknowledged notes that the leader has taken note of an end.
func (l *Ledger) acknowledged(e model.RunEnd) {
	if e.Kind == model.EndDone {
		l.done[e.Run.Task] = true
	}
}
