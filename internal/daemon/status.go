package daemon

import (
	"chestnutmux.example/chestnutmux/internal/allocator"
	"chestnutmux.example/chestnutmux/internal/planner"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// workerStatus describes the workers that answer, as the planner sees them; only the planner knows any.
func workerStatus(st planner.State) []model.WorkerStatus {
	usage := make(map[model.HostID]allocator.Usage, len(st.Usages))
	for _, u := range st.Usages {
		usage[u.ID] = u
	}
	var out []model.WorkerStatus
	for _, w := range st.Workers {
		u, ok := usage[w.ID]
		s := model.WorkerStatus{
			Worker: w.ID, Rack: w.Rack, Health: string(w.State), Accelerators: u.Accelerators, InUse: u.InUse,
		}
		if ok && u.Health != allocator.Usable {
			s.Health = string(u.Health) // leaving, quarantined or probation
		}
		out = append(out, s)
	}
	return out
}
