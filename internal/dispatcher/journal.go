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
	// termRenewInterval is the time between the term records by which the leader shows that it is alive.
	termRenewInterval = 350 * time.Millisecond
	// minAppendInterval is the minimum time between appends, so that run ends that arrive together share one.
	minAppendInterval = 15 * time.Millisecond
	// lazyAppendDelay is how long a change that is not urgent may stay out of the log. Each record of a job holds the state of
	// all its tasks and is read by all hosts, so the starts of its tasks share one record.
	lazyAppendDelay = 300 * time.Millisecond
	// appendTimeout bounds one append. The next attempt opens a new connection.
	appendTimeout = 1500 * time.Millisecond
	// appendRetryDelay is the base delay before a failed append is retried; a random part of the same length is added.
	appendRetryDelay = 100 * time.Millisecond
	// maxRemovalsPerAppend bounds the number of jobs that one append removes from the log.
	maxRemovalsPerAppend = 50
)

// journal appends the leader's records to the log, with at most one append in flight. The dispatcher's goroutine owns its state.
type journal struct {
	d              *Dispatcher
	writerName     string
	seq            int64 // sequence number of the last batch
	dirty          map[model.JobID]*dirtyJob
	urgent         bool      // a record should be written with the next append
	appending      bool      // an append is in flight
	oldestChangeAt time.Time // time of the oldest change that is not written; zero means none
	lastAppendAt   time.Time // time of the last append
	nextRenewalAt  time.Time // when the next term record is due
	resigning      bool      // the next batch announces that the leader resigns
	removals       []removal // in the order in which they are due
}

// dirtyJob is a job whose record in the log is out of date.
type dirtyJob struct {
	job       *job
	changedAt time.Time
	urgent    bool // a worker or a caller is waiting for the record
}

// removal is an ended job whose records will be removed from the log at removeAt.
type removal struct {
	id       model.JobID
	removeAt time.Time
}

// batch holds the records of one append, and the run ends that become durable with it.
type batch struct {
	records    []journaler.Record
	seq        int64
	workerEnds map[*worker]endMark // last run end per worker that becomes durable
	resigns    bool                // the batch announces that the leader resigns
}

// endMark identifies the last run end of a worker that a batch covers.
type endMark struct {
	incarnation int64
	number      int64 // sequence number of the run end
}

// LeaderWriterName is the writer name of all leaders. The log rejects appends of a writer of this name with a lower epoch.
const LeaderWriterName = "leader"

func (l *journal) init(d *Dispatcher) {
	l.d = d
	l.writerName = LeaderWriterName
	l.dirty = map[model.JobID]*dirtyJob{}
	l.seq = d.Term.FirstSeq
}

// markDirty schedules a new record of the job. Urgent records are written with the next append.
func (l *journal) markDirty(j *job, urgent bool) {
	entry := l.dirty[j.submission.ID]
	if entry == nil {
		entry = &dirtyJob{job: j, changedAt: time.Now()}
		l.dirty[j.submission.ID] = entry
		if l.oldestChangeAt.IsZero() {
			l.oldestChangeAt = entry.changedAt
		}
	}
	entry.urgent = entry.urgent || urgent
	l.urgent = l.urgent || urgent
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
	case l.urgent || l.resigning:
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
	b := &batch{seq: l.seq, workerEnds: map[*worker]endMark{}}
	for _, w := range l.d.workers {
		if w.processedEnd > w.durableEnd {
			b.workerEnds[w] = endMark{incarnation: w.incarnation, number: w.processedEnd}
		}
	}
	if err := l.addProgress(b, now); err != nil {
		return nil, err
	}
	l.urgent = false
	// The log does not advance the sequence for an append without records.
	if now.After(l.nextRenewalAt) || l.resigning || len(b.records) == 0 {
		if err := l.addTerm(b, now); err != nil {
			return nil, err
		}
	}
	if l.d.fleetDirty {
		if err := l.addFleet(b); err != nil {
			return nil, err
		}
	}
	l.addRemovals(b, now)
	return b, nil
}

// addProgress adds the records of the jobs whose changes are urgent or have waited for lazyAppendDelay.
//
// It adds all pending records before a fleet record and at the end of the term, because the next leader relies on the log to
// know the runs of closed workers.
func (l *journal) addProgress(b *batch, now time.Time) error {
	all := l.d.fleetDirty || l.resigning
	l.oldestChangeAt = time.Time{}
	for id, entry := range l.dirty {
		if !all && !entry.urgent && now.Before(entry.changedAt.Add(lazyAppendDelay)) {
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

// addTerm adds a term record, which shows that the leader is alive and carries the pending load.
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

// addFleet adds a fleet record with all workers of the dispatcher.
func (l *journal) addFleet(b *batch) error {
	l.d.fleetDirty = false
	var workers []journaler.FleetWorker
	for _, w := range l.d.workers {
		workers = append(workers, journaler.FleetWorker{
			ID: w.info.ID, Address: w.info.Address, RunsRecorded: !w.listed || w.info.State != model.WorkerReady,
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
		delete(l.d.finishedJobs, l.removals[n].id)
		n++
	}
	l.removals = l.removals[n:]
}

// sendBatch appends the batch in the background, after a delay, and posts the outcome as an event.
func (l *journal) sendBatch(b *batch, delay time.Duration) {
	d := l.d
	cond := journaler.AppendCondition{Writer: &journaler.Writer{Name: l.writerName, Epoch: d.Term.Fence, Seq: b.seq}}
	go func() {
		if delay > 0 {
			time.Sleep(delay + rand.N(delay))
		}
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		defer cancel()
		_, err := d.Log.Append(ctx, b.records, cond)
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
		// An earlier attempt has succeeded without a response.
	case errors.Is(e.err, journaler.ErrFenced), errors.As(e.err, &seq):
		d.depose("log rejected append", "error", e.err)
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
		d.depose("resigned")
		return
	}
	for w, m := range e.batch.workerEnds {
		if w.incarnation == m.incarnation {
			w.durableEnd = max(w.durableEnd, m.number)
			d.updateSession(w)
		}
	}
}

// pendingLoad returns the schedulable capacity and the remaining work per priority, in accelerator-seconds.
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

// maxPriorities bounds the number of priorities that are counted separately.
const maxPriorities = 16

// remainingWork estimates the accelerator-seconds that the job still needs, from its declared run times and its progress.
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
