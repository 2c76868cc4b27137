package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// termRenewInterval is the interval between the term records that serve as heartbeats of the leader.
	termRenewInterval = 350 * time.Millisecond
	// minAppendInterval is the minimum time between appends, so that run ends that arrive together share one.
	minAppendInterval = 15 * time.Millisecond
	// lazyAppendDelay is the maximum delay before a change that need not be appended soon is written to the log. The record of
	// a job contains the state of all its tasks and is read by all hosts, so the delay lets the starts of its tasks share one record.
	lazyAppendDelay = 300 * time.Millisecond
	// appendTimeout limits the duration of one append. The next attempt opens a new connection.
	appendTimeout = 1500 * time.Millisecond
	// appendRetryDelay is the minimum delay before a failed append is retried; a random delay of up to the same length is added.
	appendRetryDelay = 100 * time.Millisecond
	// maxRemovalsPerAppend is the maximum number of jobs that one append removes from the log.
	maxRemovalsPerAppend = 50
)

// journal appends the leader's records to the log, with at most one append in flight. The goroutine of the dispatcher owns its
// state.
type journal struct {
	d              *Dispatcher
	writerName     string
	seq            int64                     // sequence number of the last batch
	dirty          map[model.JobID]*dirtyJob // jobs with outdated records in the log
	appendSoon     bool                      // a change should be appended as soon as minAppendInterval allows
	appending      bool                      // an append is in flight
	oldestChangeAt time.Time                 // time of the oldest change that is not in a batch yet; zero means none
	lastAppendAt   time.Time                 // start time of the last append
	nextRenewalAt  time.Time                 // time at which the next term record is due
	resigning      bool                      // the next batch announces the resignation of the leader
	removals       []removal                 // pending removals of ended jobs, in the order in which they are due
}

// dirtyJob is a job whose record in the log is outdated.
type dirtyJob struct {
	job        *job
	changedAt  time.Time // time of the oldest change that is not in a batch yet
	appendSoon bool      // the record should be part of the next append, because a worker or a caller waits for it
}

// removal schedules the removal of the records of an ended job from the log.
type removal struct {
	id       model.JobID
	removeAt time.Time
}

// batch contains the records of one append, and identifies the run ends that become durable with it.
type batch struct {
	records  []journaler.Record
	seq      int64               // sequence number of the append
	lastEnds map[*worker]endMark // newest run end of each worker whose effect the batch contains
	opened   []*worker           // workers that may get new tasks once the batch is in the log
	resigns  bool                // the batch announces the resignation of the leader
}

// endMark identifies the last run end of a worker whose effect a batch contains.
type endMark struct {
	incarnation int64 // incarnation of the worker that reported the run end
	seq         int64 // sequence number of the run end
}

// LeaderWriterName is the writer name that all leaders share, so that the log refuses appends with a lower fencing token than
// that of the newest leader.
const LeaderWriterName = "leader"

func (l *journal) init(d *Dispatcher) {
	l.d = d
	l.writerName = LeaderWriterName
	l.dirty = map[model.JobID]*dirtyJob{}
	l.seq = d.Term.FirstSeq
}

// markDirty schedules a new record of the job. With appendSoon, the record is part of the next append; otherwise it may be
// delayed by lazyAppendDelay.
func (l *journal) markDirty(j *job, appendSoon bool) {
	entry := l.dirty[j.submission.ID]
	if entry == nil {
		entry = &dirtyJob{job: j, changedAt: time.Now()}
		l.dirty[j.submission.ID] = entry
		if l.oldestChangeAt.IsZero() {
			l.oldestChangeAt = entry.changedAt
		}
	}
	entry.appendSoon = entry.appendSoon || appendSoon
	l.appendSoon = l.appendSoon || appendSoon
	if j.state.IsFinal() {
		l.removals = append(l.removals, removal{id: j.submission.ID, removeAt: time.Now().Add(l.d.JobRetention)})
	}
}

// flush starts an append when one is due.
func (l *journal) flush(now time.Time) {
	if l.appending || l.d.err != nil || !l.isDue(now) {
		return
	}
	l.lastAppendAt = now
	b, err := l.buildBatch(now)
	if err != nil {
		l.d.Logger.Error("cannot encode records", "error", err)
		return
	}
	l.appending = true
	l.sendBatch(b, 0)
}

func (l *journal) isDue(now time.Time) bool {
	return !now.Before(l.nextAppendAt())
}

// nextAppendAt returns when the next append is due. While an append is in flight, its appendEvent wakes the loop.
func (l *journal) nextAppendAt() time.Time {
	at := l.nextRenewalAt
	switch {
	case l.appending:
		return time.Now().Add(maxPassInterval)
	case l.appendSoon || l.resigning:
		at = l.lastAppendAt
	case !l.oldestChangeAt.IsZero() && l.oldestChangeAt.Add(lazyAppendDelay).Before(at):
		at = l.oldestChangeAt.Add(lazyAppendDelay)
	}
	if earliest := l.lastAppendAt.Add(minAppendInterval); at.Before(earliest) {
		return earliest
	}
	return at
}

// buildBatch collects the records of the next append.
func (l *journal) buildBatch(now time.Time) (*batch, error) {
	l.seq++
	b := &batch{seq: l.seq, lastEnds: map[*worker]endMark{}}
	for _, w := range l.d.workers {
		if w.processedSeq > w.durableSeq {
			b.lastEnds[w] = endMark{incarnation: w.incarnation, seq: w.processedSeq}
		}
	}
	if err := l.addProgress(b, now); err != nil {
		return nil, err
	}
	l.appendSoon = false
	// An append without records would not advance the sequence number in the log, so the batch needs at least one.
	if now.After(l.nextRenewalAt) || l.resigning || len(b.records) == 0 {
		if err := l.addTerm(b, now); err != nil {
			return nil, err
		}
	}
	if l.d.fleetDirty {
		if err := l.addFleet(b, now); err != nil {
			return nil, err
		}
	}
	l.addRemovals(b, now)
	return b, nil
}

// addProgress adds the progress records that should be appended soon or have been delayed for lazyAppendDelay.
//
// It adds all pending records before a fleet record and at the end of the term, because the next leader relies on the log to
// know the runs of workers whose RunsRecorded is set.
func (l *journal) addProgress(b *batch, now time.Time) error {
	all := l.d.fleetDirty || l.resigning
	l.oldestChangeAt = time.Time{}
	for id, entry := range l.dirty {
		if !all && !entry.appendSoon && now.Before(entry.changedAt.Add(lazyAppendDelay)) {
			if l.oldestChangeAt.IsZero() || entry.changedAt.Before(l.oldestChangeAt) {
				l.oldestChangeAt = entry.changedAt
			}
			continue
		}
		r, err := journaler.NewProgressRecord(id, entry.job.progressRecord(l.d.Term.Fence))
		if err != nil {
			return err
		}
		b.records = append(b.records, r)
		delete(l.dirty, id)
	}
	return nil
}

// addTerm adds a term record, which serves as a heartbeat of the leader and contains the current load.
func (l *journal) addTerm(b *batch, now time.Time) error {
	t := l.d.Term
	t.Load = l.d.pendingLoad(now)
	t.Resigned = l.resigning
	b.resigns = l.resigning
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

// addRemovals adds the removal of ended jobs whose retention time has passed.
func (l *journal) addRemovals(b *batch, now time.Time) {
	n := 0
	for n < len(l.removals) && n < maxRemovalsPerAppend && now.After(l.removals[n].removeAt) {
		b.records = append(b.records, journaler.NewTombstones(l.removals[n].id)...)
		delete(l.d.endedJobs, l.removals[n].id)
		n++
	}
	l.removals = l.removals[n:]
}

// sendBatch appends the batch in the background and posts the outcome as an event. A positive delay is extended by a random
// delay of up to the same length.
func (l *journal) sendBatch(b *batch, delay time.Duration) {
	d := l.d
	cond := journaler.AppendCondition{Writer: &journaler.Writer{Name: l.writerName, Epoch: d.Term.Fence, Seq: b.seq}}
	go func() {
		if delay > 0 {
			time.Sleep(delay + rand.N(delay))
		}
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		defer cancel()
		err := d.Recoverer.Call("append", func() error {
			_, err := d.Log.Append(ctx, b.records, cond)
			return err
		})
		select {
		case d.events <- &appendEvent{batch: b, err: err}:
		case <-d.ctx.Done():
		}
	}()
}

func (e *appendEvent) apply(d *Dispatcher, now time.Time) {
	l := &d.journal
	var seq *journaler.SequenceError
	switch {
	case e.err == nil:
	case errors.As(e.err, &seq) && seq.ExpectedSeq == e.batch.seq+1:
		// An earlier attempt succeeded, but its response was lost.
	case errors.Is(e.err, journaler.ErrFenced), errors.As(e.err, &seq):
		d.endTerm("log refused append", "error", e.err)
		return
	default:
		d.Metrics.Appends.Add("failed", 1)
		d.Logger.Warn("append failed, retrying", "seq", e.batch.seq, "records", len(e.batch.records), "error", e.err)
		l.sendBatch(e.batch, appendRetryDelay)
		return
	}
	d.Metrics.Appends.Add("done", 1)
	l.appending = false
	if e.batch.resigns {
		d.endTerm("resigned")
		return
	}
	for _, w := range e.batch.opened {
		d.scheduleUpToDate = d.scheduleUpToDate && w.openInLog
		w.openInLog = true
	}
	for w, m := range e.batch.lastEnds {
		if w.incarnation == m.incarnation {
			w.durableSeq = max(w.durableSeq, m.seq)
			d.updateSession(w)
		}
	}
}

// pendingLoad returns the schedulable capacity in accelerators, and the remaining work of each priority in accelerator-seconds.
func (d *Dispatcher) pendingLoad(now time.Time) journaler.Load {
	var load journaler.Load
	for _, w := range d.workers {
		if w.isSchedulable(now) {
			load.Capacity += w.info.Capacity.Accelerators
		}
	}
	for _, j := range d.jobs {
		if j.state.IsFinal() {
			continue
		}
		p := int(j.submission.Queue.Priority)
		for len(load.Backlog) <= p && p < maxPriorities {
			load.Backlog = append(load.Backlog, 0)
		}
		if p < len(load.Backlog) {
			load.Backlog[p] += j.remainingWork(now)
		}
	}
	return load
}

// maxPriorities is the number of priorities whose work is counted. The load ignores priorities beyond it; the demand for headroom
// counts them as the last one.
const maxPriorities = 16

// remainingWork estimates the accelerator-seconds that the job still needs, from its estimated run times and its progress.
func (j *job) remainingWork(now time.Time) float64 {
	sum := 0.0
	for _, s := range j.steps {
		perTask := float64(s.spec.EstimatedRunMS) / 1000 * float64(max(1, s.spec.Need.Accelerators))
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.activeRun != nil && t.activeRun.state == runRunning:
				sum += t.activeRun.estimateRemaining(now).Seconds() * float64(max(1, s.spec.Need.Accelerators))
			default:
				sum += perTask
			}
		}
	}
	return sum
}
