package dispatcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/fitter"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// minSharedBacklog is the time that the workers need for the backlog below which it is not published by workspace, because nothing is
	// refused.
	minSharedBacklog = time.Second
	// maxSharedWorkspaces bounds the size of the published load, which each host reads several times a second.
	maxSharedWorkspaces = 8
)

// resourceSeconds is work by resource, as seconds of each unit of the resource.
type resourceSeconds struct{ cores, memory, accelerators float64 }

// add adds a task that needs resources for a time.
func (r resourceSeconds) add(need model.Resources, seconds float64) resourceSeconds {
	r.cores += seconds * float64(need.Cores)
	r.memory += seconds * float64(need.MemoryMB)
	r.accelerators += seconds * float64(need.Accelerators)
	return r
}

// plus returns the sum of two amounts of work.
func (r resourceSeconds) plus(other resourceSeconds) resourceSeconds {
	return resourceSeconds{r.cores + other.cores, r.memory + other.memory, r.accelerators + other.accelerators}
}

// on returns the seconds for which the work fills a capacity, by the scarcest resource.
func (r resourceSeconds) on(capacity model.Resources) float64 {
	out := 0.0
	for _, x := range [][2]float64{
		{r.cores, float64(capacity.Cores)}, {r.memory, float64(capacity.MemoryMB)}, {r.accelerators, float64(capacity.Accelerators)},
	} {
		if x[1] > 0 {
			out = max(out, x[0]/x[1])
		}
	}
	return out
}

// backlog is the remaining work of all jobs by priority and workspace.
type backlog struct {
	total       [maxPriorities]resourceSeconds
	byWorkspace map[model.WorkspaceID]*[maxPriorities]resourceSeconds
	priorities  int // number of priorities that have jobs
}

// addJob adds the remaining work of a job that the fleet can do. Priorities from maxPriorities on are ignored.
func (b *backlog) addJob(j *job, fleet fitter.Fleet, now time.Time) {
	p, ws := int(j.submission.Queue.Priority), j.submission.Workspace
	if b.byWorkspace == nil {
		b.byWorkspace = map[model.WorkspaceID]*[maxPriorities]resourceSeconds{}
	}
	if b.byWorkspace[ws] == nil {
		b.byWorkspace[ws] = &[maxPriorities]resourceSeconds{}
	}
	b.priorities = max(b.priorities, min(p+1, maxPriorities))
	if p < maxPriorities {
		work := j.remainingWork(fleet, now)
		b.total[p] = b.total[p].plus(work)
		b.byWorkspace[ws][p] = b.byWorkspace[ws][p].plus(work)
	}
}

// publish sets the backlog of the load, in accelerator-seconds of the whole capacity. Work of priority p and more urgent work together fill
// the capacity for the sum of the values up to p.
func (b *backlog) publish(load *journaler.Load, capacity model.Resources, guaranteed map[model.WorkspaceID]model.Accelerators) {
	var sum resourceSeconds
	before := 0.0
	for p := range b.priorities {
		sum = sum.plus(b.total[p])
		upTo := sum.on(capacity) * float64(capacity.Accelerators)
		load.Backlog = append(load.Backlog, upTo-before)
		before = upTo
	}
	if capacity.Accelerators <= 0 || before < minSharedBacklog.Seconds()*float64(capacity.Accelerators) || len(b.byWorkspace) < 2 {
		return
	}
	equal := 1 / float64(len(b.byWorkspace))
	own := map[model.WorkspaceID][]float64{}
	for ws, work := range b.byWorkspace {
		share := min(max(equal, float64(guaranteed[ws])/float64(capacity.Accelerators)), 1)
		for p := range b.priorities {
			own[ws] = append(own[ws], math.Ceil(work[p].on(capacity)*float64(capacity.Accelerators)/share))
		}
	}
	total := func(work []float64) float64 {
		sum := 0.0
		for _, n := range work {
			sum += n
		}
		return sum
	}
	workspaces := slices.SortedFunc(maps.Keys(own), func(a, b model.WorkspaceID) int {
		return cmp.Or(cmp.Compare(total(own[b]), total(own[a])), cmp.Compare(a, b))
	})
	load.Shared, load.SharedOthers = map[model.WorkspaceID][]float64{}, make([]float64, b.priorities)
	for i, ws := range workspaces {
		if i < maxSharedWorkspaces {
			load.Shared[ws] = own[ws]
			continue
		}
		for p, work := range own[ws] {
			load.SharedOthers[p] = max(load.SharedOthers[p], work)
		}
	}
}
