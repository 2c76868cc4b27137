package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxCallDelay is the longest time after which the platform carries out a call that gets no response.
const maxCallDelay = 12 * time.Second

// pendingStart is a start request without a response. It may still arrive, at the process that then uses the id of the worker.
//
// A process refuses it once it has confirmed a stop request or its clock has passed the end of the requested lease. The next process
// knows nothing of the stop, and its clock starts anew.
type pendingStart struct {
	incarnation int64     // incarnation of the process that the request is meant for
	arrivesBy   time.Time // latest time at which the request may arrive
	stoppedIn   int64     // incarnation of the last process that has confirmed a stop request; 0 before that
	stopping    *worker   // worker whose session sends the newest stop request of stopLateStarts; nil if there is none
	stoppingIn  int64     // incarnation of the process that this request is meant for
	stops       stopRequests
}

// pendingStarts holds the start requests without a response, by worker. They outlast their runs and the state of the worker.
type pendingStarts map[model.HostID]map[model.RunRef]*pendingStart

// add adds a start request that is sent at the given time or before.
func (p pendingStarts) add(w *worker, ref model.RunRef, sentBy time.Time) {
	if p[w.info.ID] == nil {
		p[w.info.ID] = map[model.RunRef]*pendingStart{}
	}
	p[w.info.ID][ref] = &pendingStart{incarnation: w.incarnation, arrivesBy: sentBy.Add(MaxConnectTime + maxCallDelay)}
}

// confirmStop notes that the present process of a worker has confirmed the stop request of a run.
func (p pendingStarts) confirmStop(w *worker, ref model.RunRef) {
	if s := p[w.info.ID][ref]; s != nil {
		s.stoppedIn = w.incarnation
	}
}

// remove removes a start request that has arrived or never will.
func (p pendingStarts) remove(id model.HostID, ref model.RunRef) {
	delete(p[id], ref)
	if len(p[id]) == 0 {
		delete(p, id)
	}
}

// removeOld removes the start requests that can no longer arrive.
func (p pendingStarts) removeOld(now time.Time) {
	for id, starts := range p {
		for ref, s := range starts {
			if now.After(s.arrivesBy) {
				p.remove(id, ref)
			}
		}
	}
}

// settlePendingStart removes a start request that has got a response or was not sent.
func (d *Dispatcher) settlePendingStart(e *startEvent) {
	if hasResponded(e.err) || errors.IsAny(e.err, ErrNotSent, errWithdrawn) {
		d.pendingStarts.remove(e.worker, e.run)
	}
}

// removeArrivedStarts removes the start requests whose runs a report shows.
func (d *Dispatcher) removeArrivedStarts(w *worker, report *Report) {
	if len(d.pendingStarts[w.info.ID]) == 0 {
		return
	}
	for _, progress := range report.Running {
		d.pendingStarts.remove(w.info.ID, progress.Run)
	}
	for _, end := range report.Ended {
		d.pendingStarts.remove(w.info.ID, end.Run)
	}
}

// recordLateLeases notes the leases that late start requests may grant to a process that has restarted, whether it carries them out or refuses
// them. A time on the clock of the former process grants the longest lease.
func (d *Dispatcher) recordLateLeases(w *worker) {
	for _, s := range d.pendingStarts[w.info.ID] {
		if w.incarnation != s.incarnation {
			w.startLeaseEndsAt = latest(w.startLeaseEndsAt, leaseEnd(s.arrivesBy, d.MaxLease))
		}
	}
}

// stopLateStarts sends a process that has restarted the stop requests of start requests which may still arrive, although their runs were
// removed. The stop requests of other runs are sent for as long as they have runs.
func (d *Dispatcher) stopLateStarts(w *worker) {
	for ref, s := range d.pendingStarts[w.info.ID] {
		isStopping := s.stopping == w && s.stoppingIn == w.incarnation
		if w.runs[ref] != nil || w.incarnation == s.incarnation || w.incarnation == s.stoppedIn || isStopping {
			continue
		}
		d.Logger.Info("stopping run whose start request may arrive late", "worker", w.info.ID, "task", ref.Task.String(), "run", ref.Number,
			"incarnation", w.incarnation, "sent-to", s.incarnation)
		d.Metrics.Runs.Add("stopped-unseen", 1)
		s.stopping, s.stoppingIn, s.stops.failures = w, w.incarnation, 0
		d.requestStop(w, ref, &s.stops, 0)
	}
}

// settleLateStop notes the outcome of a stop request whose run was removed, or never had a run in this process. It is repeated until the
// present process has confirmed it.
func (d *Dispatcher) settleLateStop(w *worker, e *stopEvent) {
	s := d.pendingStarts[e.worker][e.run]
	if s == nil {
		return
	}
	switch {
	case e.err == nil && !e.sentAt.Before(w.incarnationAt):
		s.stoppedIn, s.stopping = w.incarnation, nil
		w.recordAnswer(e.response, e.sentAt, e.respondedAt)
		d.updateSession(w)
		w.session.askNow() // the run may have begun before
	case s.stopping != w || !s.stops.isNewest(e):
	case e.err == nil:
		d.requestStop(w, e.run, &s.stops, 0) // the process that has confirmed it may have ended
	case isStaleFence(e.err):
		d.endTerm("worker has seen a higher fencing token", "worker", w.info.ID)
	default:
		w.recordCallError(e.err)
		d.requestStop(w, e.run, &s.stops, s.stops.nextDelay())
	}
}
