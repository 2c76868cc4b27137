package worker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Ledger counts starts and partial gangs over all workers that share it; the zero value is ready.
type Ledger struct {
	mu       sync.Mutex
	starts   map[model.TaskID]int
	gangs    map[model.GangID]*gang
	running  map[model.JobID]map[model.GangID]int
	overlaps map[model.JobID]int
}

type gang struct {
	members  int
	running  int
	finished int
	since    time.Time // start of the time in which only a part runs, else zero
	longest  time.Duration
}

// Report is what a ledger has counted so far.
type Report struct {
	Starts       map[model.TaskID]int          `json:"starts"`
	DoubleStarts []model.TaskID                `json:"double-starts"` // tasks started more than once
	Overlaps     map[model.JobID]int           `json:"overlaps"`      // starts while another attempt of the job ran
	PartialMS    map[model.GangID]model.Millis `json:"partial-ms"`    // longest time in which only a part of a gang ran
}

// Report returns the counts; a gang that is partial now is counted until now.
func (l *Ledger) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{
		Starts: map[model.TaskID]int{}, Overlaps: map[model.JobID]int{},
		DoubleStarts: []model.TaskID{}, PartialMS: map[model.GangID]model.Millis{},
	}
	maps.Copy(r.Starts, l.starts)
	maps.Copy(r.Overlaps, l.overlaps)
	for id, n := range l.starts {
		if n > 1 {
			r.DoubleStarts = append(r.DoubleStarts, id)
		}
	}
	slices.Sort(r.DoubleStarts)
	for id, g := range l.gangs {
		longest := g.longest
		if !g.since.IsZero() {
			longest = max(longest, now.Sub(g.since))
		}
		if longest > 0 {
			r.PartialMS[id] = model.Millis(longest.Milliseconds())
		}
	}
	return r
}

func (l *Ledger) started(at time.Time, x workerclient.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starts == nil {
		l.starts = map[model.TaskID]int{}
		l.gangs = map[model.GangID]*gang{}
		l.running = map[model.JobID]map[model.GangID]int{}
		l.overlaps = map[model.JobID]int{}
	}
	l.starts[x.ID]++
	attempts := l.running[x.Job]
	if attempts == nil {
		attempts = map[model.GangID]int{}
		l.running[x.Job] = attempts
	}
	attempts[x.Gang]++
	if len(attempts) > 1 {
		l.overlaps[x.Job]++
	}
	g := l.gangs[x.Gang]
	if g == nil {
		g = &gang{members: max(1, x.Members)}
		l.gangs[x.Gang] = g
	}
	g.running++
	g.update(at)
}

func (l *Ledger) ended(at time.Time, x workerclient.Task, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	attempts := l.running[x.Job]
	if attempts[x.Gang]--; attempts[x.Gang] <= 0 {
		delete(attempts, x.Gang)
	}
	if len(attempts) == 0 {
		delete(l.running, x.Job)
	}
	g := l.gangs[x.Gang]
	g.running--
	if finished {
		g.finished++
	}
	g.update(at)
}

// update counts members that have finished as complete: they leave no partial gang behind.
func (g *gang) update(at time.Time) {
	partial := g.running > 0 && g.running+g.finished < g.members
	switch {
	case partial && g.since.IsZero():
		g.since = at
	case !partial && !g.since.IsZero():
		g.longest = max(g.longest, at.Sub(g.since))
		g.since = time.Time{}
	}
}
