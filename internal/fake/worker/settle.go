package worker

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// settle applies, in the order of their times, all ends that are due.
func (f *Fleet) settle(now time.Time) {
	if now.Before(f.nextEnd) {
		return
	}
	for {
		s, r, kind, at := f.next()
		if r == nil || at.After(now) {
			f.nextEnd = at
			if r == nil {
				f.nextEnd = now.Add(idleLook)
			}
			return
		}
		f.end(s, r, kind, at)
	}
}

// idleLook is how long an idle fleet need not be looked at; each order looks anew.
const idleLook = time.Hour

// next returns the earliest end if nothing else happens.
func (f *Fleet) next() (worker *state, ending *run, kind model.EndKind, at time.Time) {
	for _, s := range f.workers {
		for _, r := range s.runs {
			k, t := f.due(s, r)
			if ending != nil && !t.Before(at) {
				continue
			}
			worker, ending, kind, at = s, r, k, t
		}
	}
	return worker, ending, kind, at
}

// due returns how and when a run ends if nothing else happens.
func (f *Fleet) due(s *state, r *run) (model.EndKind, time.Time) {
	kind, at := model.EndLeaseExpired, s.lease
	earlier := func(k model.EndKind, t time.Time) {
		if t.Before(at) {
			kind, at = k, t
		}
	}
	if !r.stopping.IsZero() {
		earlier(model.EndStopped, r.stopping)
	}
	switch {
	case r.works.IsZero():
		earlier(model.EndGangIncomplete, r.came.Add(f.opts.GangTimeout))
	case r.fails:
		earlier(model.EndFailed, r.works)
	default:
		earlier(model.EndDone, r.works.Add(r.work-r.saved))
	}
	return kind, at
}

// end ends a run and, of a gang, the other members.
func (f *Fleet) end(s *state, r *run, kind model.EndKind, at time.Time) {
	f.list(s, r, kind, at)
	f.leave(s, r)
	others := kind
	if kind != model.EndDone {
		others = model.EndGangMemberEnded
	}
	f.endOthers(r, others, at)
}

// endOthers ends the other members of a gang at work.
func (f *Fleet) endOthers(r *run, kind model.EndKind, at time.Time) {
	if r.gang == nil || !r.gang.begun {
		return
	}
	for ref, w := range r.gang.present {
		m := w.runs[model.RunRef{Task: ref, Number: r.id.Number}]
		f.list(w, m, kind, at)
		f.leave(w, m)
	}
}

// list adds an end to what the worker reports.
func (f *Fleet) list(s *state, r *run, kind model.EndKind, at time.Time) {
	s.lastEnd++
	e := model.RunEnd{Sequence: s.lastEnd, Run: r.id, Kind: kind}
	if kind != model.EndDone && kind != model.EndFailed {
		e.Checkpoint = f.checkpoint(r, at)
	}
	s.ended = append(s.ended, e)
	s.killed[r.id.Task] = max(s.killed[r.id.Task], r.id.Number)
	f.ledger.ended(s, r, kind)
}

// leave takes a run off its worker and out of its gang.
func (f *Fleet) leave(s *state, r *run) {
	delete(s.runs, r.id)
	f.ledger.left(s, r)
	if r.gang != nil {
		delete(r.gang.present, r.id.Task)
	}
}
