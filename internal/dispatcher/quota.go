package dispatcher

import "chestnutmux.example/chestnutmux/pkg/model"

// trimToQuota drops the tasks of the unit that exceed the quota of its workspace, and reports whether any tasks remain. A gang is
// never split; the result is false if the whole gang does not fit into the quota.
func (p *schedulingPass) trimToQuota(u *placementUnit) bool {
	ws := u.step.job.submission.Workspace
	quota, ok := p.d.entitlements.Quota[ws]
	need := u.step.spec.Need.Accelerators
	if !ok || need == 0 {
		return true
	}
	tasksAllowed := int((quota - p.d.acceleratorsInUse(ws)) / need)
	if u.step.spec.Gang {
		return tasksAllowed >= len(u.tasks)
	}
	if tasksAllowed < len(u.tasks) {
		u.tasks = u.tasks[:max(tasksAllowed, 0)]
	}
	return len(u.tasks) > 0
}

// acceleratorsInUse returns the number of accelerators that the active runs and the reservations of a workspace take.
func (d *Dispatcher) acceleratorsInUse(ws model.WorkspaceID) model.Accelerators {
	n := model.Accelerators(0)
	for _, j := range d.jobs {
		if j.submission.Workspace != ws {
			continue
		}
		for _, s := range j.steps {
			for _, t := range s.tasks {
				if t.activeRun != nil {
					n += s.spec.Need.Accelerators
				}
			}
			if s.reservation != nil {
				n += s.spec.Need.Accelerators * model.Accelerators(len(s.reservation.tasks))
			}
		}
	}
	return n
}
