package dispatcher

import "chestnutmux.example/chestnutmux/pkg/model"

// withinQuota cuts the unit down to what the quota of its workspace leaves, and reports whether anything is left.
func (p *plan) withinQuota(u *unit) bool {
	ws := u.step.job.sub.Workspace
	quota, ok := p.d.limits.Quota[ws]
	need := u.step.spec.Need.Accelerators
	if !ok || need == 0 {
		return true
	}
	left := int((quota - p.d.inUse(ws)) / need)
	if u.step.spec.Gang {
		return left >= len(u.tasks)
	}
	if left < len(u.tasks) {
		u.tasks = u.tasks[:max(left, 0)]
	}
	return len(u.tasks) > 0
}

// inUse returns the accelerators that runs and claims of a workspace take.
func (d *Dispatcher) inUse(ws model.WorkspaceID) model.Accelerators {
	n := model.Accelerators(0)
	for _, j := range d.jobs {
		if j.sub.Workspace != ws {
			continue
		}
		for _, s := range j.steps {
			for _, t := range s.tasks {
				if t.active != nil {
					n += s.spec.Need.Accelerators
				}
			}
			if s.claim != nil {
				n += s.spec.Need.Accelerators * model.Accelerators(len(s.claim.tasks))
			}
		}
	}
	return n
}
