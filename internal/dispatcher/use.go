package dispatcher

import (
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// coresPerAccelerator is what an accelerator counts as in the use of a service. The platform's prices count it so.
const coresPerAccelerator model.MilliCores = 8000

// resourceUse is the capacity of a set of workers, and what active runs use of it.
type resourceUse struct {
	capacity model.Resources
	used     model.Resources
}

// add adds a worker.
func (u *resourceUse) add(w *worker) {
	active, _ := w.usedResources()
	u.capacity, u.used = u.capacity.Add(w.info.Capacity), u.used.Add(active)
}

// share returns the share of the capacity that is in use, with each accelerator counted as coresPerAccelerator.
func (u *resourceUse) share() float64 {
	if total := coreEquivalents(u.capacity); total > 0 {
		return float64(coreEquivalents(u.used)) / float64(total)
	}
	return placer.DominantShare(u.used, u.capacity)
}

func coreEquivalents(r model.Resources) model.MilliCores {
	return r.Cores + coresPerAccelerator*model.MilliCores(r.Accelerators)
}

// percent returns how much of each resource is in use, in percent.
func (u *resourceUse) percent() map[string]int64 {
	return map[string]int64{
		"cores":        percentOf(int64(u.used.Cores), int64(u.capacity.Cores)),
		"memory":       percentOf(int64(u.used.MemoryMB), int64(u.capacity.MemoryMB)),
		"accelerators": percentOf(int64(u.used.Accelerators), int64(u.capacity.Accelerators)),
	}
}

func percentOf(part, total int64) int64 { return 100 * part / max(1, total) }

// serviceUse returns the use of the ready workers of a service, and that of those which are schedulable. It is computed once in a pass.
func (p *schedulingPass) serviceUse(id model.ServiceID) (ready, schedulable resourceUse) {
	pool := p.pool(id)
	if !pool.useKnown {
		pool.useKnown = true
		pool.ready, pool.usable = p.computeUse(id)
	}
	return pool.ready, pool.usable
}

func (p *schedulingPass) computeUse(id model.ServiceID) (ready, schedulable resourceUse) {
	for _, n := range p.nodes {
		w := p.workerOf[n]
		if n.Service != id || !w.mayGetTasks() {
			continue
		}
		ready.add(w)
		if !n.Unschedulable {
			schedulable.add(w)
		}
	}
	return ready, schedulable
}

// slotsKey holds the properties of a request that determine how many of its tasks fit.
type slotsKey struct {
	need         model.Resources
	service      model.ServiceID
	label        string
	maxPerWorker int
}

// freeSlots returns how many tasks of the request fit into the unoccupied resources of the schedulable and the quarantined workers,
// whatever their racks, and whatever is withheld or held there. The result for equivalent requests is computed once in a pass.
func (p *schedulingPass) freeSlots(r *placer.Request) int {
	key := slotsKey{need: r.Need, service: r.Service, label: r.Label, maxPerWorker: r.MaxPerWorker}
	if slots, known := p.slots[key]; known && len(r.RunningPerWorker) == 0 {
		return slots
	}
	slots := 0
	for _, n := range p.nodes {
		if r.IsFor(n) && (!n.Unschedulable || n.Quarantined) {
			slots += r.Slots(n, p.workerOf[n].unoccupiedResources())
		}
	}
	if len(r.RunningPerWorker) == 0 {
		p.slots[key] = slots
	}
	return slots
}

// forgetRoom makes the next calls of serviceUse and freeSlots count the runs that have started since.
func (p *schedulingPass) forgetRoom(id model.ServiceID) {
	p.pool(id).useKnown = false
	clear(p.slots)
}
