package bencher

import (
	"fmt"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Fleet is a deployment to measure on.
type Fleet struct {
	Name string
	Set  model.Set
}

// The classes of all fleets.
const (
	classUrgent   model.ClassID = "urgent"
	classStandard model.ClassID = "standard"
	classBatch    model.ClassID = "batch"
)

// rackWorkers is the number of workers of a full rack in all fleets.
const rackWorkers = 8

// capacity returns the accelerators of the fleet.
func (f Fleet) capacity() model.Accelerators {
	var n model.Accelerators
	for _, d := range f.Set.FailureDomains {
		for _, r := range d.Racks {
			n += r.Accelerators * model.Accelerators(r.Workers)
		}
	}
	return n
}

// domain declares a failure domain with the given number of workers, 8 to a rack.
func domain(region model.RegionID, workers int, cores model.Cores, memory model.Megabytes) model.FailureDomain {
	d := model.FailureDomain{Region: region, Racks: map[model.RackID]model.Rack{}}
	for i := 0; workers > 0; i++ {
		n := min(workers, rackWorkers)
		d.Racks[model.RackID(fmt.Sprintf("r%03d", i))] = model.Rack{Workers: n, Accelerators: 8, Cores: cores, MemoryMB: memory}
		workers -= n
	}
	return d
}

func classes() map[model.ClassID]model.Class {
	const maxWaiting = 5000
	return map[model.ClassID]model.Class{
		classUrgent:   {Urgency: model.UrgencyUrgent, MaxWaiting: maxWaiting},
		classStandard: {Urgency: model.UrgencyStandard, MaxWaiting: maxWaiting},
		classBatch:    {Urgency: model.UrgencyBatch, MaxWaiting: maxWaiting},
	}
}

// small is one user's deployment of today: 50 workers in three failure domains, 4 workspaces.
func small(name, near, far string, cores model.Cores, memory model.Megabytes) Fleet {
	a, b, c := model.DomainID(near+"-a"), model.DomainID(near+"-b"), model.DomainID(far+"-a")
	return Fleet{Name: name, Set: model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{
			a: domain(model.RegionID(near), 18, cores, memory),
			b: domain(model.RegionID(near), 16, cores, memory),
			c: domain(model.RegionID(far), 16, cores, memory),
		},
		Classes: classes(),
		Workspaces: map[model.WorkspaceID]model.Workspace{
			"large-1": {Weight: 2, Quota: 320}, "large-2": {Weight: 2, Quota: 320},
			"small-1": {Weight: 1, Quota: 240}, "small-2": {Weight: 1, Quota: 240},
		},
		Guarantees: map[model.GuaranteeID]model.Guarantee{
			"large-1-rack":    {Workspace: "large-1", FailureDomain: a, Cell: 64, Count: 1},
			"large-2-workers": {Workspace: "large-2", FailureDomain: b, Cell: 8, Count: 6},
			"small-1-workers": {Workspace: "small-1", FailureDomain: b, Cell: 8, Count: 2},
			"small-2-workers": {Workspace: "small-2", FailureDomain: c, Cell: 8, Count: 4},
		},
	}}
}

// Kartli is the deployment of the first user.
func Kartli() Fleet { return small("kartli", "kartli", "imereti", 32, 131072) }

// PNW is the deployment of the second user.
func PNW() Fleet { return small("pnw", "pnw-north", "pnw-south", 128, 262144) }

const (
	designWorkers    = 8800
	designDomains    = 9
	designWorkspaces = 120
)

// Design is the size to design for, cut to the given number of its 9 failure domains.
func Design(domains int) Fleet {
	f := Fleet{Name: fmt.Sprintf("design-%d", domains), Set: model.Set{
		FailureDomains: map[model.DomainID]model.FailureDomain{},
		Classes:        classes(),
		Workspaces:     map[model.WorkspaceID]model.Workspace{},
		Guarantees:     map[model.GuaranteeID]model.Guarantee{},
	}}
	perDomain := designWorkers / designDomains
	for i := range domains {
		id := model.DomainID(fmt.Sprintf("d%d", i))
		f.Set.FailureDomains[id] = domain(model.RegionID(fmt.Sprintf("region-%d", i/3)), perDomain, 64, 262144)
	}
	for i := range designWorkspaces * domains / designDomains {
		ws := model.WorkspaceID(fmt.Sprintf("team-%03d", i))
		f.Set.Workspaces[ws] = model.Workspace{Weight: 1, Quota: model.Accelerators(perDomain * 8 / 4)}
		// 60% of a domain's workers are guaranteed: per team a rack and some workers.
		home := model.DomainID(fmt.Sprintf("d%d", i%domains))
		f.Set.Guarantees[model.GuaranteeID(ws+"-racks")] = model.Guarantee{Workspace: ws, FailureDomain: home, Cell: 64, Count: 4}
		f.Set.Guarantees[model.GuaranteeID(ws+"-workers")] = model.Guarantee{Workspace: ws, FailureDomain: home, Cell: 8, Count: 12}
	}
	return f
}
