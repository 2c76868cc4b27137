package worker

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// applyDueEnds ends all runs whose end time has been reached, in chronological order.
func (f *Fleet) applyDueEnds(now time.Time) {
	if now.Before(f.nextEndTime) {
		return
	}
	for {
		s, r, kind, at := f.nextRunEnd()
		if r == nil || at.After(now) {
			f.nextEndTime = at
			if r == nil {
				f.nextEndTime = now.Add(idleCheckInterval)
			}
			return
		}
		f.endRun(s, r, kind, at)
	}
}

// idleCheckInterval is the time until applyDueEnds checks a fleet without runs again; a start, stop or restart resets it.
const idleCheckInterval = time.Hour

// nextRunEnd returns the run that ends first if no further request arrives, or a nil run if there is none.
func (f *Fleet) nextRunEnd() (worker *workerState, ending *run, kind model.EndKind, at time.Time) {
	for _, s := range f.workers {
		for _, r := range s.runs {
			candidateKind, candidateTime := f.expectedEnd(s, r)
			if ending != nil && !candidateTime.Before(at) {
				continue
			}
			worker, ending, kind, at = s, r, candidateKind, candidateTime
		}
	}
	return worker, ending, kind, at
}

// expectedEnd returns how and when a run ends if no further request arrives.
func (f *Fleet) expectedEnd(s *workerState, r *run) (model.EndKind, time.Time) {
	kind, at := model.EndLeaseExpired, s.leaseEnd
	replaceIfEarlier := func(k model.EndKind, t time.Time) {
		if t.Before(at) {
			kind, at = k, t
		}
	}
	if !r.stopAt.IsZero() {
		replaceIfEarlier(model.EndStopped, r.stopAt)
	}
	switch {
	case r.workStartedAt.IsZero():
		replaceIfEarlier(model.EndGangIncomplete, r.startedAt.Add(f.opts.GangTimeout))
	case r.willFail:
		replaceIfEarlier(model.EndFailed, r.workStartedAt)
	default:
		replaceIfEarlier(model.EndDone, r.workStartedAt.Add(time.Duration(float64(r.totalWork-r.resumedProgress)*r.slowness)))
	}
	return kind, at
}

// endRun ends a run and the other members of its gang.
func (f *Fleet) endRun(s *workerState, r *run, kind model.EndKind, at time.Time) {
	f.recordEnd(s, r, kind, at)
	f.removeRun(s, r)
	memberKind := kind
	if kind != model.EndDone {
		memberKind = model.EndGangMemberEnded
	}
	f.endOtherGangMembers(r, memberKind, at)
}

// endOtherGangMembers ends the remaining members of the run's gang, if the gang has started.
func (f *Fleet) endOtherGangMembers(r *run, kind model.EndKind, at time.Time) {
	if r.gang == nil || !r.gang.started {
		return
	}
	for ref, w := range r.gang.workersByTask {
		member := w.runs[model.RunRef{Task: ref, Number: r.ref.Number}]
		f.recordEnd(w, member, kind, at)
		f.removeRun(w, member)
	}
}

// recordEnd adds the end of a run to the worker's report.
func (f *Fleet) recordEnd(s *workerState, r *run, kind model.EndKind, at time.Time) {
	s.lastEndSequence++
	e := model.RunEnd{Sequence: s.lastEndSequence, Run: r.ref, Kind: kind}
	if kind != model.EndDone && kind != model.EndFailed {
		e.Checkpoint = f.checkpointAt(r, at)
	}
	s.pendingEnds = append(s.pendingEnds, e)
	s.highestEndedRun[r.ref.Task] = max(s.highestEndedRun[r.ref.Task], r.ref.Number)
	f.ledger.recordEnd(s, r, kind)
}

// removeRun removes a run from its worker and its gang.
func (f *Fleet) removeRun(s *workerState, r *run) {
	delete(s.runs, r.ref)
	f.ledger.recordRemoval(s, r)
	if r.gang != nil {
		delete(r.gang.workersByTask, r.ref.Task)
	}
}
