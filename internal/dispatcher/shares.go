package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/internal/sequencer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// orderByShares orders equally urgent and useful units, which are sorted by compareUnits, by the shares of their workspaces. Guaranteed work keeps
// its order.
func (d *Dispatcher) orderByShares(units []*placementUnit, now time.Time) {
	workspaces := map[model.WorkspaceID]bool{}
	for _, u := range units {
		if u.rank > 0 {
			workspaces[u.step.job.submission.Workspace] = true
		}
	}
	if len(workspaces) < 2 {
		d.Metrics.setWorkspaces(len(workspaces), 0)
		return // shares change nothing
	}
	shares, capacity := d.workspaceShares()
	d.noteShares(workspaces, shares, now)
	for len(units) > 0 {
		n := 1
		for n < len(units) && units[n].rank == units[0].rank && units[n].usefulness == units[0].usefulness {
			n++
		}
		if units[0].rank > 0 {
			interleaveByShares(shares, units[:n], capacity)
		}
		units = units[n:]
	}
}

// noteShares publishes how many workspaces with waiting work use more than their share, and logs at intervals the one that does so most.
func (d *Dispatcher) noteShares(workspaces map[model.WorkspaceID]bool, shares *sequencer.Shares, now time.Time) {
	beyond, most := 0, model.WorkspaceID("")
	for ws := range workspaces {
		if shares.Load(ws) > 1 {
			beyond++
		}
		if load, highest := shares.Load(ws), shares.Load(most); most == "" || load > highest || load == highest && ws < most {
			most = ws
		}
	}
	d.Metrics.setWorkspaces(len(workspaces), beyond)
	if beyond == 0 || now.Sub(d.sharesLoggedAt) < orderLogInterval {
		return
	}
	d.sharesLoggedAt = now
	d.Logger.Info("workspace waits beyond its share", "workspace", most, "use-percent-of-share", int(100*shares.Load(most)),
		"workspaces-waiting", len(workspaces), "workspaces-beyond-share", beyond)
}

// interleaveByShares orders units of the same rank and usefulness.
func interleaveByShares(shares *sequencer.Shares, units []*placementUnit, capacity model.Resources) {
	claims := make([]sequencer.Claim, len(units))
	for i, u := range units {
		claims[i] = sequencer.Claim{
			Workspace: u.step.job.submission.Workspace, Need: float64(len(u.tasks)) * placer.DominantShare(u.step.spec.Need, capacity),
		}
	}
	sorted := slices.Clone(units)
	for i, from := range shares.Interleave(claims) {
		units[i] = sorted[from]
	}
}

// workspaceShares returns what the workspaces with unfinished jobs use of the schedulable workers and are entitled to, and the capacity of these
// workers.
func (d *Dispatcher) workspaceShares() (*sequencer.Shares, model.Resources) {
	var capacity model.Resources
	for _, w := range d.workers {
		if w.listed && !w.evacuated {
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	used := map[model.WorkspaceID]model.Resources{}
	for _, j := range d.jobs {
		if j.state.IsFinal() {
			continue
		}
		sum := used[j.submission.Workspace]
		for _, s := range j.steps {
			for _, t := range s.tasks {
				if t.activeRun != nil {
					sum = sum.Add(s.spec.Need)
				}
			}
		}
		used[j.submission.Workspace] = sum
	}
	shares := sequencer.NewShares(len(used))
	for ws, sum := range used {
		shares.Used[ws] = placer.DominantShare(sum, capacity)
		if capacity.Accelerators > 0 {
			shares.Guaranteed[ws] = float64(d.entitlements.Guaranteed[ws]) / float64(capacity.Accelerators)
		}
	}
	return shares, capacity
}
