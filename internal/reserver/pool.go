package reserver

import (
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxPriorities is the number of priorities whose demand is tracked. The last one stands for all less urgent priorities, too.
const maxPriorities = 16

// workersByPriority holds a number of workers for each priority. A partly used worker counts as a fraction.
type workersByPriority [maxPriorities]float64

// priorityIndex returns the index of a priority in workersByPriority. The last index covers all less urgent priorities.
func priorityIndex(p model.Priority) int {
	return min(int(p), maxPriorities-1)
}

// Pool holds the totals of the workers of a service for one scheduling pass. Workers are added before work. The zero value is empty.
type Pool struct {
	Schedulable int               // number of schedulable workers
	Capacity    model.Resources   // total capacity of the schedulable workers
	inUse       float64           // number of workers that active runs fill, without those in evacuated failure domains
	demand      workersByPriority // current demand of each priority
	lastNeed    model.Resources   // need for which lastShare was computed
	lastShare   float64           // share of a mean worker that lastNeed fills
	lastKnown   bool
}

// AddWorker adds a schedulable worker.
func (p *Pool) AddWorker(capacity model.Resources) {
	p.Schedulable++
	p.Capacity = p.Capacity.Add(capacity)
	p.lastKnown = false
}

// AddRun adds an active run. It counts as use of the pool unless its worker is in an evacuated failure domain.
func (p *Pool) AddRun(priority model.Priority, need model.Resources, evacuated bool) {
	filled := p.addDemand(priority, need, 1)
	if !evacuated {
		p.inUse += filled
	}
}

// AddWaiting adds a number of equal tasks that wait.
func (p *Pool) AddWaiting(priority model.Priority, need model.Resources, tasks int) {
	p.addDemand(priority, need, tasks)
}

// addDemand adds a number of equal tasks to the demand of a priority, and returns how many workers they fill.
func (p *Pool) addDemand(priority model.Priority, need model.Resources, tasks int) float64 {
	n := p.workersFilled(need, tasks)
	p.demand[priorityIndex(priority)] += n
	return n
}

// workersFilled returns how many workers of mean capacity a number of equal tasks fill.
func (p *Pool) workersFilled(need model.Resources, tasks int) float64 {
	if !p.lastKnown || need != p.lastNeed {
		// The mean itself is no whole number. With fewer accelerators than workers, it would be rounded to 0.
		n := max(1, p.Schedulable)
		scaled := model.Resources{
			Cores: need.Cores * model.MilliCores(n), MemoryMB: need.MemoryMB * model.Megabytes(n), Accelerators: need.Accelerators * model.Accelerators(n),
		}
		p.lastNeed, p.lastShare, p.lastKnown = need, placer.DominantShare(scaled, p.Capacity), true
	}
	return p.lastShare * float64(tasks)
}
