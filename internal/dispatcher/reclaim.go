package dispatcher

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// restartCost is the time, in seconds, that any stopped run loses until it runs again.
const restartCost = 0.3

// restoreCost is the work, in seconds, that a run with checkpoints loses by being stopped.
const restoreCost = 0.8

// patience is the part of its slack that work waits for room before it stops less urgent runs. Most of them end by
// themselves in that time; stopped ones start over and are soon in the way again.
const patience = 0.6

// reclaimable returns places for the unit's tasks and what must stop first; work of the first priority does not wait.
func (p *plan) reclaimable(u *unit) ([]*placer.Node, []*placer.PreemptionUnit) {
	j := u.step.job
	if j.sub.Queue.Priority > 0 && p.now.Sub(j.seenAt) <= time.Duration(patience*float64(j.slack())) {
		return nil, nil
	}
	p.fill()
	return p.d.reclaimer.Plan(p.nodes, p.request(u))
}

// startClaimed starts the tasks of a claim whose room has become free.
func (p *plan) startClaimed(u *unit) {
	c := u.step.claim
	room := map[*worker]model.Resources{}
	var now []int
	for i, w := range c.workers {
		if _, ok := room[w]; !ok {
			room[w] = w.physical()
		}
		if room[w].CanFit(u.step.spec.Need) {
			room[w] = room[w].Sub(u.step.spec.Need)
			now = append(now, i)
		}
	}
	if len(now) == 0 || u.step.spec.Gang && len(now) < len(c.tasks) {
		return
	}
	if u.step.spec.Gang {
		u.step.attempts++
	}
	rest := &claim{}
	for i, t := range c.tasks {
		if slices.Contains(now, i) {
			p.startTask(t, c.workers[i])
			p.claimed[c.workers[i]] = p.claimed[c.workers[i]].Sub(u.step.spec.Need)
		} else {
			rest.tasks, rest.workers = append(rest.tasks, t), append(rest.workers, c.workers[i])
		}
	}
	u.step.claim = nil
	if len(rest.tasks) > 0 {
		u.step.claim = rest
	}
	p.refresh()
}

// reclaim stops the victims and claims their room.
func (p *plan) reclaim(u *unit, places []*placer.Node, victims []*placer.PreemptionUnit) {
	c := &claim{}
	for i, n := range places {
		w := p.workers[n]
		c.tasks = append(c.tasks, u.tasks[i])
		c.workers = append(c.workers, w)
		p.claimed[w] = p.claimed[w].Add(u.step.spec.Need)
	}
	u.step.claim, u.step.kept = c, nil
	p.d.Logger.Info("room reclaimed", "job", u.step.ref.Job, "step", u.step.ref.Step, "rank", u.rank, "tasks", len(places),
		"victims", len(victims))
	p.d.Metrics.Runs.Add("preempted-blocks", int64(len(victims)))
	for _, b := range victims {
		p.giveWay(p.blocks[b.ID])
	}
	for _, n := range p.nodes {
		n.Preemptible = slices.DeleteFunc(n.Preemptible, func(r placer.Allocation) bool { return slices.Contains(victims, r.PreemptionUnit) })
	}
	p.refresh()
}

// victim is what is stopped as a whole: a run, or the members of a gang.
type victim struct {
	run  *run
	gang *step
}

func (p *plan) giveWay(v victim) {
	if v.gang != nil {
		p.d.stopStep(v.gang, "gives way", p.now)
		return
	}
	p.d.stopRun(v.run, "gives way", p.now)
}

// refresh computes the free room of the nodes anew after runs or claims have changed.
func (p *plan) refresh() {
	clear(p.noRoom)
	for _, n := range p.nodes {
		n.Free = p.free(p.workers[n])
	}
}

// fill lists on each node the work that may give way.
func (p *plan) fill() {
	if p.filled {
		return
	}
	p.filled = true
	p.ranks = p.d.ranks()
	for _, j := range p.d.jobs {
		for _, s := range j.steps {
			p.fillStep(s)
		}
	}
}

func (p *plan) fillStep(s *step) {
	var gang *placer.PreemptionUnit
	for _, t := range s.tasks {
		r := t.active
		if r == nil || r.state != runRunning || p.node[r.worker] == nil {
			continue
		}
		n := p.node[r.worker]
		b := gang
		if b == nil {
			b = &placer.PreemptionUnit{ID: len(p.blocks), Rank: p.ranks[s.job]}
			p.last = max(p.last, b.Rank)
			v := victim{run: r}
			if s.spec.Gang {
				gang = b
				v = victim{gang: s}
			}
			p.blocks = append(p.blocks, v)
		}
		b.Cost += p.cost(r)
		b.RemainingSeconds = max(b.RemainingSeconds, r.remaining(p.now).Seconds())
		n.AddMember(b, s.spec.Need)
	}
}

// cost returns the accelerator-seconds that are lost when a run stops, weighted by the urgency of its job.
func (p *plan) cost(r *run) float64 {
	lost := p.now.Sub(r.answeredAt).Seconds()
	if r.task.step.spec.Resumable {
		lost = min(lost, restoreCost)
	}
	return (lost + restartCost) * float64(max(1, r.need.Accelerators)) * urgency(r.task.step.job.sub.Queue.Priority)
}

// urgency weighs lost work by what a delay costs its caller: urgent work misses its objective when it starts over.
func urgency(p model.Priority) float64 {
	switch p {
	case 0:
		return 16
	case 1:
		return 2
	}
	return 1
}
