package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/leaselimiter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// worker is the state of a worker as known to the leader.
type worker struct {
	info              model.Worker
	listed            bool // the worker is in the platform's current list
	session           *session
	hasReported       bool      // the worker has reported in this term, and so refuses requests of former leaders
	endsListed        bool      // a report in this term has listed all run ends that were not acknowledged
	formerLeaseEndsAt time.Time // time at which any lease granted by a former leader has certainly ended
	isResponding      bool      // the worker responded to the last call
	lastError         error     // error of the last call; nil after a response
	hasCrashed        bool      // the last calls suggest that the process of the worker has ended
	isReplaced        bool      // the last calls show that another worker uses the address
	runsRecorded      bool      // a former leader gave the worker no new tasks, and the log lists all its runs
	evacuated         bool      // the worker's failure domain is evacuated
	openInLog         bool      // the newest fleet record in the log says that the worker may get new tasks

	clock            WorkerTime // clock of the worker at clockAt
	clockAt          time.Time  // time of the last response
	lastReportAt     time.Time  // time of the last report
	lastStartAt      time.Time  // time at which the last start request was sent
	confirmedAt      time.Time  // time at which the last report was requested that showed no restart
	startLeaseEndsAt time.Time  // like the end of the session's grant, for leases granted by start requests and by former leaders

	reportGap time.Duration // time between the last two reports

	formerIncarnation int64 // incarnation that a former leader has recorded; 0 if unknown

	// restartListedAt is the time at which the list showed a later incarnation than the last report; zero after the next report.
	restartListedAt time.Time

	incarnation   int64     // incarnation in the last report; 0 before the first report
	incarnationAt time.Time // time of the first report with this incarnation
	startedAt     time.Time // latest time at which the process with this incarnation may have started
	processedSeq  int64     // sequence number of the last run end that was processed
	durableSeq    int64     // sequence number of the last run end whose effect is in the log
	ackedSeq      int64     // sequence number of the last run end that was acknowledged to the worker
	runs          map[model.RunRef]*run

	coldStarts coldStarts

	health
}

// maxClockDriftFactor is the maximum factor by which a worker's clock may run slower than real time.
const maxClockDriftFactor = 1.0205

// leaseMargin is added to the computed end of a lease, to cover the error of the estimated time on a worker's clock.
const leaseMargin = 150 * time.Millisecond

// recordClock notes the clock in the response to a start or stop request. A response to a request that was sent before the first report
// of this incarnation may come from the former process, whose clock is another one.
func (w *worker) recordClock(clock WorkerTime, sentAt, respondedAt time.Time) {
	if sentAt.Before(w.incarnationAt) {
		return
	}
	w.clock, w.clockAt = clock, respondedAt
}

// recordAnswer notes the response to a start or stop request.
func (w *worker) recordAnswer(response Response, sentAt, respondedAt time.Time) {
	w.isResponding = true
	w.recordClock(response.Clock, sentAt, respondedAt)
	w.recordResponse()
}

// leaseUntil returns the estimated time on the worker's clock at which a lease granted now expires.
func (w *worker) leaseUntil(now time.Time, leaseDuration time.Duration) WorkerTime {
	return w.clock + WorkerTime((now.Sub(w.clockAt) + leaseDuration).Milliseconds())
}

// recordStartLease updates startLeaseEndsAt for a lease that may last until the time that leaseUntil returns.
func (w *worker) recordStartLease(now time.Time, leaseDuration time.Duration) {
	if end := leaseEnd(now, leaseDuration+clockDrift(now.Sub(w.clockAt))); end.After(w.startLeaseEndsAt) {
		w.startLeaseEndsAt = end
	}
}

// clockDrift returns by how much the estimated time on a worker's clock may be ahead of a slow clock, given the time since the
// clock was read. A lease that is requested until a time on that clock may last longer by as much.
func clockDrift(since time.Duration) time.Duration {
	return since - time.Duration(float64(since)/maxClockDriftFactor)
}

// leaseEnd returns the time at which a lease granted at the given time has certainly ended, even on a slow clock.
func leaseEnd(at time.Time, leaseDuration time.Duration) time.Time {
	return at.Add(time.Duration(float64(leaseDuration)*maxClockDriftFactor) + leaseMargin)
}

// minSilence is the minimum time without any response from a worker before its runs are dropped. A worker that still responds to
// requests will soon send a report, and its runs may have completed.
const minSilence = 3 * time.Second

// lateReportTime is the time after the end of its lease for which a worker that is listed may still report. A run may have completed
// before the lease ended, and the report may only be late because this host's link is full.
const lateReportTime = 4 * time.Second

// isLost reports whether the runs of the worker can no longer be active and no report of their ends is expected. That is the case
// once its lease has certainly ended and it has been silent for minSilence, or for lateReportTime longer if it still seems to run.
func (w *worker) isLost(now time.Time) bool {
	lostAt := w.leaseEndsAt()
	if w.listed && !w.hasCrashed {
		lostAt = lostAt.Add(lateReportTime)
	}
	return now.After(lostAt) && now.Sub(w.clockAt) > minSilence
}

// leaseEndsAt returns the time at which all leases that this leader may have granted have certainly ended.
//
// The clock of a worker that has restarted starts anew, and a time on the former clock then grants the longest lease.
func (w *worker) leaseEndsAt() time.Time {
	grantedAt, end := w.session.latestLease()
	end = latest(end, w.startLeaseEndsAt)
	if !w.confirmedAt.After(w.lastStartAt) {
		end = latest(end, leaseEnd(latest(grantedAt, w.lastStartAt), w.session.maxLease+leaselimiter.MaxConnectTime))
	}
	return end
}

// recordStart notes that a start request is sent, whose worker may have restarted since its last report.
func (w *worker) recordStart(sentAt time.Time) { w.lastStartAt = latest(w.lastStartAt, sentAt) }

// confirmIncarnation notes whether a report that was requested at the given time has shown a restart.
func (w *worker) confirmIncarnation(restarted bool, sentAt time.Time) {
	if restarted {
		w.startLeaseEndsAt = w.leaseEndsAt() // a start request may have reached the new process
		return
	}
	w.confirmedAt = latest(w.confirmedAt, sentAt)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usedResources returns the resources of runs that are not being stopped, and those of runs that are being stopped.
func (w *worker) usedResources() (active, stopping model.Resources) {
	for _, r := range w.runs {
		if r.state == runStopping || r.state == runUnconfirmed {
			stopping = stopping.Add(r.need)
		} else {
			active = active.Add(r.need)
		}
	}
	return active, stopping
}

// mayGetTasks reports whether the worker gets new tasks once it can, so that the fleet record must say so first.
func (w *worker) mayGetTasks() bool {
	return w.listed && w.info.State == model.WorkerReady && !w.evacuated
}

// hasUnknownRuns reports whether a former leader may have started runs on the worker that are neither recorded nor known to this
// leader, and that may still be active or have ended.
func (w *worker) hasUnknownRuns(now time.Time) bool {
	return !w.runsRecorded && w.mayHideRuns(now)
}

// mayHideRuns reports whether the worker may have runs of former leaders, or ends of such, that it has not listed in this term. A full
// list of ends proves nothing of runs that it doesn't list.
func (w *worker) mayHideRuns(now time.Time) bool {
	isListing := w.hasReported && w.isResponding
	return !w.endsListed && (isListing || !now.After(w.formerLeaseEndsAt))
}

// isSchedulable reports whether the worker accepts new tasks.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.canStartTasks() && !now.Before(w.quarantinedUntil)
}

// canStartTasks reports whether the worker could start new tasks, quarantined or not. The next leader must know from the log that it may
// have runs.
func (w *worker) canStartTasks() bool {
	for _, r := range w.runs {
		if r.needUnknown {
			return false
		}
	}
	return w.mayGetTasks() && w.openInLog && w.hasReported && w.isDescribed() && w.restartListedAt.IsZero() && w.isResponding
}

// isDescribed reports whether the list describes the process that has sent the last report. That of a former process says nothing about the
// labels, the rack and the capacity of its successor.
func (w *worker) isDescribed() bool {
	return w.info.Incarnation == w.incarnation || w.info.Incarnation == 0 || w.incarnation == 0
}

// unoccupiedResources returns the resources that no run uses. Runs that are being stopped still use theirs.
func (w *worker) unoccupiedResources() model.Resources {
	active, stopping := w.usedResources()
	return w.info.Capacity.Sub(active).Sub(stopping)
}

// knownIncarnation returns the incarnation of the worker in its last report, or in the list before that; 0 if unknown.
func (w *worker) knownIncarnation() int64 {
	if w.incarnation != 0 {
		return w.incarnation
	}
	return w.info.Incarnation
}

// isListedRestart reports whether a new entry of the list shows a process of the worker that has sent no report. Its clock is unknown then,
// and it accepts requests of former leaders. Incarnations do not rise where the time of day was set back.
func (w *worker) isListedRestart(info model.Worker) bool {
	n := info.Incarnation
	return w.incarnation != 0 && n != 0 && n != w.incarnation && n != w.info.Incarnation
}

// hasRestartedSinceFormerLeader reports whether the worker is known to have restarted since a former leader recorded it.
func (w *worker) hasRestartedSinceFormerLeader() bool {
	return w.formerIncarnation != 0 && w.incarnation != 0 && w.incarnation != w.formerIncarnation
}
