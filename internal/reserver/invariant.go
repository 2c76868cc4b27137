package reserver

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// partialBound is how long a part of a gang may be confirmed running: two polls until a silent worker counts as lost
// and one lease until the others lapse, then one poll and one call until this planner has learned of the lapse.
func (r *Reserver) partialBound() time.Duration {
	return 3*r.cfg.Poll + r.cfg.TaskLease + r.cfg.Call
}

// confirmed counts the members that their workers confirmed as running within two polls, and those that have finished.
func (r *Reserver) confirmed(g *gang) (running, finished int) {
	for _, m := range g.members {
		switch m.state {
		case workerclient.TaskFinished:
			finished++
		case workerclient.TaskRunning, workerclient.TaskCheckpointing:
			if !m.gone && !r.stale(m.w) {
				running++
			}
		}
	}
	return running, finished
}

// notePartial reports a gang of which a part runs beyond the bound; it is called with each poll of a member's worker.
func (r *Reserver) notePartial(g *gang) {
	if r.now.Equal(g.partialNoted) {
		return // by another worker that is polled at the same moment
	}
	g.partialNoted = r.now
	running, finished := r.confirmed(g)
	switch {
	case running == 0 || running+finished >= g.size:
		g.partialSince = time.Time{}
	case g.partialSince.IsZero() || g.partialSince.Before(r.resumedAt):
		g.partialSince = r.now // what happened during a pause of this process is not known
	case r.now.Sub(g.partialSince) > r.partialBound() && !g.partialTold:
		g.partialTold = true
		r.report(GangPartial{
			Gang: g.id, Job: g.job, Since: g.partialSince, Running: running, Size: g.size, Members: g.list(),
		})
	}
}

func (x *Resources) add(y Resources) {
	x.Accelerators += y.Accelerators
	x.Cores += y.Cores
	x.MemoryMB += y.MemoryMB
}

func (x Resources) fits(y Resources) bool {
	return x.Accelerators >= y.Accelerators && x.Cores >= y.Cores && x.MemoryMB >= y.MemoryMB
}

// declare notes what workers have. While this process lives an amount only grows, since tasks that were started before
// a rack was declared smaller may run on.
func (r *Reserver) declare(racks map[model.RackID]Resources) {
	if r.declared == nil {
		r.declared = map[model.RackID]Resources{}
	}
	for id, now := range racks {
		old := r.declared[id]
		r.declared[id] = Resources{
			max(old.Accelerators, now.Accelerators), max(old.Cores, now.Cores), max(old.MemoryMB, now.MemoryMB),
		}
	}
}

// checkHeld reports a worker that holds more than declared. The known members raise a suspicion, which only a list of
// all tasks confirms, since a worker does not say in its changes which tasks it has forgotten.
func (r *Reserver) checkHeld(w *worker, tasks []workerclient.Task, full bool) {
	declared, ok := r.declared[w.host.Rack]
	if !ok {
		return
	}
	if !full {
		w.relist = w.relist || !w.over && !declared.fits(w.held())
		return
	}
	var held Resources
	var ids []model.TaskID
	for i := range tasks {
		if t := &tasks[i]; t.State.Holds() {
			held.add(Resources{t.Accelerators, t.Cores, t.MemoryMB})
			ids = append(ids, t.ID)
		}
	}
	told := w.over
	if w.over = !declared.fits(held); w.over && !told {
		r.report(WorkerOver{Worker: w.host.ID, Held: held, Declared: declared, Tasks: ids})
	}
}

// held sums up the members that occupy resources of the worker as far as is known.
func (w *worker) held() (h Resources) {
	for _, m := range w.members {
		if !m.gone && m.state.Holds() {
			h.add(Resources{m.g.accelerators, m.g.cores, m.g.memory})
		}
	}
	return h
}
