package fitter

import (
	"maps"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxServices bounds the number of services of a fleet, which is part of a record that each host reads several times a second.
const maxServices = 16

// Fleet is the most that leaders have seen of the workers of each service. It never shrinks: workers that are gone may come back, and what
// does not fit it has never fitted.
type Fleet map[model.ServiceID]Pool

// Pool is the most that was seen of the workers of a service.
type Pool struct {
	Largest model.Resources `json:"largest"` // the most of each resource that a worker has had
	Workers int             `json:"workers"` // the most workers at a time
}

// Add counts a worker of a service.
func (f Fleet) Add(id model.ServiceID, capacity model.Resources) {
	p := f[id]
	f[id] = Pool{Largest: largest(p.Largest, capacity), Workers: p.Workers + 1}
}

// Union returns the smallest fleet that is as large as both. Services beyond maxServices are left out.
func (f Fleet) Union(other Fleet) Fleet {
	out := maps.Clone(f)
	if out == nil {
		out = Fleet{}
	}
	for id, p := range other {
		known, ok := out[id]
		if !ok && len(out) >= maxServices {
			continue
		}
		out[id] = Pool{Largest: largest(known.Largest, p.Largest), Workers: max(known.Workers, p.Workers)}
	}
	return out
}

// CanRun reports whether workers of a service could run a step if they had nothing else to do. It reports true for a service of which no
// worker is known. Labels and racks don't count: workers that have them may come.
func (f Fleet) CanRun(id model.ServiceID, s *model.Step) bool {
	p, ok := f[id]
	if !ok {
		return true
	}
	each := p.Largest.TasksThatFit(s.Need)
	if s.MaxPerWorker > 0 {
		each = min(each, s.MaxPerWorker)
	}
	if s.Gang {
		return s.Count <= each*p.Workers
	}
	return each > 0
}

// CanEnd reports, for each step of a job, whether it and all steps before it could run.
func (f Fleet) CanEnd(id model.ServiceID, steps []model.Step) []bool {
	out := make([]bool, len(steps))
	for i := range steps {
		out[i] = f.CanRun(id, &steps[i])
		for _, n := range steps[i].DependsOn {
			out[i] = out[i] && n >= 0 && n < i && out[n]
		}
	}
	return out
}

// largest returns the larger amount of each resource.
func largest(a, b model.Resources) model.Resources {
	return model.Resources{
		Cores: max(a.Cores, b.Cores), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
