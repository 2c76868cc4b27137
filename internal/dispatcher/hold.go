package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// gangHoldTime is the time for which the same workers are held for a waiting gang, before others that become free sooner are considered.
const gangHoldTime = 4 * time.Second

// holdWorkers holds the workers on which a waiting gang can start soonest, so that no less urgent work takes the resources that
// become free there.
func (p *schedulingPass) holdWorkers(u *placementUnit, r *placer.Request) {
	s := u.step
	if !s.spec.Gang {
		return
	}
	if p.now.After(s.heldUntil) || len(s.heldWorkers) > 0 && !p.allSchedulable(s.heldWorkers) {
		p.listPreemptible()
		r.MinimizeWait = true
		places, _ := p.d.preemptionPlanner.Plan(p.nodes, r)
		s.heldWorkers, s.heldUntil = s.heldWorkers[:0], p.now.Add(gangHoldTime)
		for _, n := range places {
			s.heldWorkers = append(s.heldWorkers, p.workerOf[n])
		}
	}
	for _, w := range s.heldWorkers {
		p.hold(p.nodeOf[w], s.spec.Need)
	}
}

// hold keeps resources of a node free of less urgent work, unless that finds ample room.
func (p *schedulingPass) hold(n *placer.Node, need model.Resources) {
	placer.TakeResources(n, need)
	p.held[n] = p.held[n].Add(need)
}

// holdVacatedResources holds the resources that ended members of an interrupted gang have released, until the gang can start
// again.
func (p *schedulingPass) holdVacatedResources(s *step) {
	for _, t := range s.tasks {
		if n := p.nodeOf[t.lastWorker]; n != nil && t.activeRun == nil {
			p.hold(n, s.spec.Need)
		}
	}
}

// allSchedulable reports whether all workers accept new tasks.
func (p *schedulingPass) allSchedulable(workers []*worker) bool {
	for _, w := range workers {
		if n := p.nodeOf[w]; n == nil || n.Unschedulable {
			return false
		}
	}
	return true
}
