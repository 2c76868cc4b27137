package dispatcher

import (
	"time"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// batch contains the records of one append, and identifies the run ends that become durable with it.
type batch struct {
	records  []journaler.Record
	seq      int64               // sequence number of the append
	sentAt   time.Time           // time at which the batch was sent first
	lastEnds map[*worker]endMark // newest run end of each worker whose effect the batch contains
	opened   []*worker           // workers that may get new tasks once the batch is in the log
	resigns  bool                // the batch announces the resignation of the leader
}

// endMark identifies the last run end of a worker whose effect a batch contains.
type endMark struct {
	incarnation int64 // incarnation of the worker that reported the run end
	seq         int64 // sequence number of the run end
}

// buildBatch collects the records of the next append.
func (l *journal) buildBatch(now time.Time) (*batch, error) {
	l.seq++
	b := &batch{seq: l.seq, sentAt: now, lastEnds: map[*worker]endMark{}}
	for _, w := range l.d.workers {
		if w.processedSeq > w.durableSeq {
			b.lastEnds[w] = endMark{incarnation: w.incarnation, seq: w.processedSeq}
		}
	}
	complete, err := l.addProgress(b, now)
	if err != nil {
		return nil, err
	}
	l.appendSoon = !complete
	// An append without records would not advance the sequence number in the log, so the batch needs at least one.
	if now.After(l.nextRenewalAt) || l.resigning && complete || len(b.records) == 0 {
		if err := l.addTerm(b, l.resigning && complete, now); err != nil {
			return nil, err
		}
	}
	if l.d.fleetDirty && complete {
		if err := l.addFleet(b, now); err != nil {
			return nil, err
		}
	}
	if err := l.addContested(b); err != nil {
		return nil, err
	}
	l.addRemovals(b, now)
	return b, nil
}

// addContested adds the valid submissions of jobs after others under their IDs, as many as fit beside the other records.
func (l *journal) addContested(b *batch) error {
	n := min(len(l.contested), maxContestedPerAppend)
	for i := range l.contested[:n] {
		j := &l.contested[i]
		p := j.Progress
		if live := l.d.jobs[j.Submission.ID]; live != nil {
			live.winner = journaler.Fingerprint(j.Submission)
			p = *live.progressRecord(l.d.Term.Fence)
		}
		p.Fence = l.d.Term.Fence
		records, err := journaler.NewWinnerRecords(j, p)
		if err != nil {
			return err
		}
		b.records = append(b.records, records...)
	}
	l.contested = l.contested[n:]
	l.appendSoon = l.appendSoon || len(l.contested) > 0
	return nil
}

// addProgress adds the progress records that should be appended soon or have been delayed for lazyAppendDelay.
//
// It adds all pending records before a fleet record and at the end of the term, because the next leader relies on the log to
// know the runs of workers whose RunsRecorded is set. It reports false if records that should be added are left for the next append, because the
// log takes only so many bytes at a time.
func (l *journal) addProgress(b *batch, now time.Time) (complete bool, err error) {
	all := l.d.fleetDirty || l.resigning
	l.oldestChangeAt = time.Time{}
	size := 0
	for id, entry := range l.dirty {
		if !all && !entry.appendSoon && now.Before(entry.changedAt.Add(lazyAppendDelay)) {
			if l.oldestChangeAt.IsZero() || entry.changedAt.Before(l.oldestChangeAt) {
				l.oldestChangeAt = entry.changedAt
			}
			continue
		}
		if size > maxProgressBytes {
			l.oldestChangeAt = entry.changedAt
			return false, nil
		}
		first := len(b.records)
		if err := b.addJob(entry.job, l.d); err != nil {
			return false, err
		}
		for _, r := range b.records[first:] {
			size += len(r.Key) + len(r.Value)
		}
		delete(l.dirty, id)
	}
	return true, nil
}

// addJob adds the records of a job. The checkpoints of very many tasks don't fit a record; without them, the tasks begin anew if the leader
// changes before they end.
func (b *batch) addJob(j *job, d *Dispatcher) error {
	p := j.progressRecord(d.Term.Fence)
	r, err := journaler.NewProgressRecord(j.submission.ID, p)
	if err == nil && !r.Fits() {
		d.Logger.Warn("checkpoints of a job left out of the log", "remedy", "submit the tasks in several jobs", "job", j.submission.ID, "bytes", len(r.Value))
		r, err = journaler.NewProgressRecord(j.submission.ID, p.WithoutCheckpoints())
	}
	if err != nil {
		return err
	}
	b.records = append(b.records, r)
	return b.addEnded(j)
}

// addEnded replaces the submission of an ended job by what is kept of it, after its final state.
func (b *batch) addEnded(j *job) error {
	if !j.state.IsFinal() || j.endedRecorded {
		return nil
	}
	r, worthwhile, err := journaler.NewEndedRecord(j.submission)
	if err != nil {
		return err
	}
	if j.endedRecorded = true; worthwhile {
		b.records = append(b.records, r)
	}
	return nil
}

// addTerm adds a term record, which serves as a heartbeat of the leader and contains the current load.
func (l *journal) addTerm(b *batch, resigns bool, now time.Time) error {
	t := l.d.Term
	t.Load = l.d.pendingLoad(now)
	if resigns {
		t.Resigned, t.ResignReason = true, l.resignReason
	}
	b.resigns = resigns
	if resigns {
		l.d.leaseLimit.Resign(now, l.d.LeaseDuration)
	}
	r, err := journaler.NewTermRecord(t)
	if err != nil {
		return err
	}
	b.records = append(b.records, r)
	l.nextRenewalAt = now.Add(termRenewInterval)
	return nil
}

// addFleet adds a fleet record, which lists all workers of the dispatcher. A worker that gets no new tasks according to the record
// gets none from the moment at which the record may be in the log, until a later record that says otherwise is.
func (l *journal) addFleet(b *batch, now time.Time) error {
	l.d.fleetDirty = false
	var workers []journaler.FleetWorker
	for _, w := range l.d.workers {
		if w.mayGetTasks() {
			b.opened = append(b.opened, w)
		} else {
			w.openInLog = false
		}
		workers = append(workers, journaler.FleetWorker{
			ID: w.info.ID, Address: w.info.Address, Incarnation: w.knownIncarnation(), RunsRecorded: !w.mayGetTasks() && !w.hasUnknownRuns(now),
		})
	}
	r, err := journaler.NewFleetRecord(workers)
	if err != nil {
		return err
	}
	b.records = append(b.records, r)
	return nil
}

// addRemovals adds the removal of ended jobs whose retention time has passed, and of cancellations whose jobs have not come in that time.
func (l *journal) addRemovals(b *batch, now time.Time) {
	n := 0
	for n < len(l.removals) && n < maxRemovalsPerAppend && now.After(l.removals[n].removeAt) {
		b.records = append(b.records, journaler.NewTombstones(l.removals[n].id)...)
		delete(l.d.endedJobs, l.removals[n].id)
		n++
	}
	l.removals = l.removals[n:]
	if l.d.OldOrphans == nil || now.Before(l.nextOrphansAt) {
		return
	}
	l.nextOrphansAt = now.Add(orphanInterval)
	for _, id := range l.d.OldOrphans(now.Add(-l.d.JobRetention), maxOrphansPerAppend) {
		b.records = append(b.records, journaler.NewOrphanTombstone(id))
	}
}
