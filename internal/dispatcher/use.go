package dispatcher

import (
	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/preemptor"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// milliCoresPerAccelerator is what an accelerator counts as in the use of a service.
const milliCoresPerAccelerator model.MilliCores = 1000 * preemptor.CoresPerAccelerator

// resourceUse is the capacity of a set of workers, and what active runs use of it.
type resourceUse struct {
	capacity model.Resources
	used     model.Resources
}

// share returns the share of the capacity that is in use, with each accelerator counted as preemptor.CoresPerAccelerator.
func (u *resourceUse) share() float64 {
	if total := coreEquivalents(u.capacity); total > 0 {
		return float64(coreEquivalents(u.used)) / float64(total)
	}
	return placer.DominantShare(u.used, u.capacity)
}

func coreEquivalents(r model.Resources) model.MilliCores {
	return r.Cores + milliCoresPerAccelerator*model.MilliCores(r.Accelerators)
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

// schedulableUse returns the use of the schedulable workers of a service.
func (p *schedulingPass) schedulableUse(id model.ServiceID) resourceUse {
	var use resourceUse
	for n, w := range p.workerOf {
		if n.Service == id && !n.Unschedulable {
			active, _ := w.usedResources()
			use.capacity, use.used = use.capacity.Add(n.Capacity), use.used.Add(active)
		}
	}
	return use
}

// slotsKey holds the properties of a request that determine how many of its tasks fit.
type slotsKey struct {
	need         model.Resources
	service      model.ServiceID
	label        string
	maxPerWorker int
}

// freeSlots returns how many tasks of the request fit into the unused resources of the schedulable and the quarantined workers,
// whatever their racks, and whatever is withheld or held there. The result for equivalent requests is computed once in a pass.
func (p *schedulingPass) freeSlots(r *placer.Request) int {
	key := slotsKey{need: r.Need, service: r.Service, label: r.Label, maxPerWorker: r.MaxPerWorker}
	if slots, known := p.slots[key]; known && len(r.RunningPerWorker) == 0 {
		return slots
	}
	slots := 0
	for _, n := range p.nodes {
		if r.IsFor(n) && (!n.Unschedulable || n.Quarantined) {
			slots += r.UnusedSlots(n)
		}
	}
	if len(r.RunningPerWorker) == 0 {
		p.slots[key] = slots
	}
	return slots
}
