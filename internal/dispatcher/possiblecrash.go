package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// goneTime is how long a worker is missing from the list before it is treated as gone for good. The platform removes the entry of a
// silent worker, and may also remove that of a worker that is only cut off.
const goneTime = 10 * time.Second

// possibleCrash is the loss of a worker that may have crashed or may only be cut off. It is settled by what the worker shows next.
type possibleCrash struct {
	incarnation  int64 // of the process that may have crashed
	runs         []*run
	lostAt       time.Time
	leaseEndsAt  time.Time // time at which the runs have certainly ended, even if the worker had not crashed
	missingSince time.Time // time since which the worker is not listed; zero while it is
}

// notePossibleCrash notes that runs were lost in a process of a worker whose connections were closed, and whose leases have ended at
// leaseEndsAt. A crash is counted once it is known. It never is if the incarnation of the process is not known.
func (d *Dispatcher) notePossibleCrash(w *worker, runs []*run, incarnation int64, leaseEndsAt, now time.Time) {
	if w.isReplaced {
		d.attributeCrash(runs, time.Time{}, now)
		return
	}
	if incarnation == 0 {
		return
	}
	p := d.possibleCrashes[w.info.ID]
	if p == nil || p.incarnation != incarnation {
		d.dropPossibleCrash(w.info.ID)
		p = &possibleCrash{incarnation: incarnation}
		d.possibleCrashes[w.info.ID] = p
	}
	p.runs = append(p.runs, runs...)
	p.lostAt, p.leaseEndsAt = now, leaseEndsAt
	for _, r := range crashSuspects(runs) {
		if r.task != nil && !r.endAnnounced && (r.hasBegun || !r.startCutOffAt.IsZero()) {
			r.task.possibleCrashes++
			r.task.lastCrashAt = now
			r.suspected = true
		}
	}
}

// settlePossibleCrash settles a possible crash by a report of the worker: the process was only cut off, or has ended.
func (d *Dispatcher) settlePossibleCrash(w *worker, e *reportEvent, now time.Time) {
	p := d.possibleCrashes[w.info.ID]
	if p == nil || p.incarnation == e.report.Incarnation && e.sentAt.Before(p.lostAt) {
		return
	}
	d.dropPossibleCrash(w.info.ID)
	restartedAt := e.processStartedAt()
	if p.incarnation != e.report.Incarnation && restartedAt.Sub(p.leaseEndsAt) <= maxDownTime {
		d.attributeCrash(p.runs, restartedAt, now)
	}
}

// checkPossibleCrashes counts the crashes of workers whose address another one uses, and of workers that are gone for good.
func (d *Dispatcher) checkPossibleCrashes(now time.Time) {
	for id, p := range d.possibleCrashes {
		w := d.workers[id]
		switch {
		case w != nil && w.listed:
			p.missingSince = time.Time{}
		case p.missingSince.IsZero():
			p.missingSince = now
		}
		isGone := !p.missingSince.IsZero() && now.Sub(p.missingSince) >= goneTime
		if isGone || w != nil && w.isReplaced {
			d.dropPossibleCrash(id)
			d.attributeCrash(p.runs, time.Time{}, now)
		}
	}
}

// dropPossibleCrash removes a possible crash, so that its tasks are no longer suspected because of it.
func (d *Dispatcher) dropPossibleCrash(id model.HostID) {
	p := d.possibleCrashes[id]
	if p == nil {
		return
	}
	delete(d.possibleCrashes, id)
	for _, r := range p.runs {
		if r.suspected {
			r.suspected = false
			r.task.possibleCrashes--
		}
	}
}
