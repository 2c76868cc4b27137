package admitter

import (
	"cmp"
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// UsedElsewhere returns the accelerators of each workspace's quota that other failure domains take; it is called
// when Changed says so, since it may look at all jobs.
//
// The log does not record that an attempt was preempted or lost, so a job takes its part from its first start to its
// end. When domains have started other work of a workspace meanwhile, the parts add up to more than the quota. The
// quota is then given to the jobs in the order of their first start: each domain may use what its jobs were given, so
// that the sum stays within the quota and domains do not wait for each other's preempted jobs.
func (a *Admitter) UsedElsewhere() map[model.WorkspaceID]model.Accelerators {
	a.changed = false
	used := map[model.WorkspaceID]model.Accelerators{}
	total := map[model.WorkspaceID]model.Accelerators{}
	for k, n := range a.running {
		total[k.ws] += n
		if k.domain != a.Local {
			used[k.ws] += n
		}
	}
	for ws, n := range used {
		if quota := a.set.Workspaces[ws].Quota; total[ws] > quota {
			n = a.given(ws, quota)
		}
		if used[ws] = n; n == 0 {
			delete(used, ws)
		}
	}
	return used
}

// given returns what the running jobs of other failure domains are given of a quota.
func (a *Admitter) given(ws model.WorkspaceID, quota model.Accelerators) (elsewhere model.Accelerators) {
	var jobs []entry
	for _, e := range a.jobs {
		if e.ws == ws && e.state == model.JobRunning {
			jobs = append(jobs, e)
		}
	}
	slices.SortFunc(jobs, func(x, y entry) int {
		return cmp.Or(x.startedAt.Compare(y.startedAt), cmp.Compare(x.order, y.order))
	})
	for _, j := range jobs {
		n := min(j.total, quota)
		quota -= n
		if j.home != a.Local {
			elsewhere += n
		}
	}
	return elsewhere
}

// countRunning books the start (1) or end (-1) of a job.
func (a *Admitter) countRunning(e entry, n int) {
	if e.state != model.JobRunning || e.total == 0 {
		return
	}
	k := guaranteeKey{e.ws, e.home}
	if a.running[k] += e.total * model.Accelerators(n); a.running[k] == 0 {
		delete(a.running, k)
	}
	a.changed = true
}

// Changed reports whether the result of UsedElsewhere may have changed since its last call.
func (a *Admitter) Changed() bool { return a.changed }

// UsedInterval is the shortest time between two messages about the use in other failure domains.
const UsedInterval = 250 * time.Millisecond
