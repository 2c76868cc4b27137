package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/placer"
)

const (
	// maxAmpleRoomUse is the share of a service in use from which on a step has to wait for its rack and behind headroom. The
	// platform counts less as a service that has room for all work.
	maxAmpleRoomUse = 0.5
	// ampleRoomWait is the time for which a step without runs waits beside ample room for a place that suits it and other work best.
	// The platform allows 2.9 s to an urgent job and 3 s to any other.
	ampleRoomWait = 2000 * time.Millisecond
	// doubtfulWorkerWait is the time for which such a step waits before it uses workers on which tasks have failed, if no other has room.
	// It leaves time for one more pass, and otherwise for faulty workers to be found out.
	doubtfulWorkerWait = 2800 * time.Millisecond
)

// findPlaces returns places for tasks of the unit on free resources, or nil. The argument infeasible says that an equivalent request has
// found no place in this pass.
func (p *schedulingPass) findPlaces(u *placementUnit, r *placer.Request, infeasible bool) []*placer.Node {
	if !infeasible {
		if places := p.placeSpread(u, r); len(places) > 0 {
			return places
		}
		if places := placer.Place(p.nodes, r); len(places) > 0 {
			return places
		}
	}
	waited := p.ampleRoomTime(u, r)
	if waited < ampleRoomWait {
		return nil
	}
	wide := *r
	wide.WithheldNodes, wide.IgnoreColdLimit = 0, true
	if waited >= doubtfulWorkerWait {
		wide.Excluded, wide.ExcludeSuspected, wide.RequireKnownHealthy, wide.SuccessAfter = nil, false, false, time.Time{}
		wide.UseQuarantined = true
	}
	return p.placeAnywhere(u, &wide)
}

// placeSpread places a gang whose members have given up waiting for each other on more workers than before, or returns nil.
func (p *schedulingPass) placeSpread(u *placementUnit, r *placer.Request) []*placer.Node {
	limit := u.step.spread.Limit(r.MaxPerWorker)
	if limit == r.MaxPerWorker {
		return nil
	}
	spread := *r
	spread.MaxPerWorker = limit
	return placer.Place(p.nodes, &spread)
}

// ampleRoomTime returns for how long the step has waited beside ample room: its job has no confirmed run, or its tasks last; under
// maxAmpleRoomUse of the service is in use; and its unit fits on the free resources twice over, whatever is withheld or held and in
// whatever rack.
func (p *schedulingPass) ampleRoomTime(u *placementUnit, r *placer.Request) time.Duration {
	s := u.step
	if s.job.hasConfirmedRuns() && !s.spec.LongRunning || !p.hasAmpleRoom(r) {
		s.roomSince = time.Time{}
		return 0
	}
	if s.roomSince.IsZero() {
		s.roomSince = p.now
	}
	return p.now.Sub(s.roomSince)
}

// hasAmpleRoom reports whether under maxAmpleRoomUse of the service is in use, and the gang, or one other task, fits twice over.
func (p *schedulingPass) hasAmpleRoom(r *placer.Request) bool {
	tasks := 1
	if r.Gang {
		tasks = r.Count
	}
	return p.pool(r.Service).ready.share() < maxAmpleRoomUse && p.freeSlots(r) >= 2*tasks
}

// placeAnywhere places the gang, or one other task, also on workers that are held for other work. If no rack has room for a one-rack
// gang, it uses several.
func (p *schedulingPass) placeAnywhere(u *placementUnit, r *placer.Request) []*placer.Node {
	if !r.Gang && !u.step.spec.LongRunning {
		r.Count = 1
	}
	for n, held := range p.held {
		n.Free = n.Free.Add(held)
	}
	places := placer.Place(p.nodes, r)
	if len(places) == 0 && r.OneRack {
		r.OneRack = false
		places = placer.Place(p.nodes, r)
	}
	for n, held := range p.held {
		n.Free = n.Free.Sub(held)
	}
	if len(places) > 0 {
		p.d.Logger.Info("step starts beside its usual workers", "job", u.step.ref.Job, "step", u.step.ref.Step, "rank", u.rank, "tasks", len(places),
			"one-rack", r.OneRack, "doubtful-workers", r.UseQuarantined, "for-ms", p.now.Sub(u.step.roomSince).Milliseconds())
	}
	return places
}
