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
	// maxProgressBytes is the size of the progress records of one append from which further ones wait. The log takes 2 MiB at a time; one more
	// job with its records and the fleet fit beside.
	maxProgressBytes = 1 << 20
	// maxContestedPerAppend is the maximum number of jobs whose valid submissions one append restores.
	maxContestedPerAppend = 2
	// maxRemovalsPerAppend is the maximum number of jobs that one append removes from the log.
	maxRemovalsPerAppend = 50
	// orphanInterval is the interval at which cancellations of unknown jobs are removed, up to maxOrphansPerAppend at a time: more than clients
	// can add to journaler.MaxOrphans in that time.
	orphanInterval      = 2 * time.Second
	maxOrphansPerAppend = 500
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
	contested      []journaler.Job           // jobs whose valid submissions are to be written again
	resigning      bool                      // the next batch announces the resignation of the leader
	resignReason   journaler.ResignReason    // why, see journaler.Term
	removals       []removal                 // pending removals of ended jobs, in the order in which they are due
	nextOrphansAt  time.Time                 // time at which cancellations of unknown jobs are looked for
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
		l.scheduleRemoval(j.submission.ID, time.Now())
	}
}

// scheduleRemoval schedules the removal of a job that has ended now, or under a former leader, which would have removed it later.
func (l *journal) scheduleRemoval(id model.JobID, now time.Time) {
	l.removals = append(l.removals, removal{id: id, removeAt: now.Add(l.d.JobRetention)})
}

// restoreSubmission schedules the record of the valid submission of a job, after another one under its ID.
func (l *journal) restoreSubmission(j journaler.Job) {
	l.contested = append(l.contested, j)
	l.appendSoon = true
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

// confirmAppend records that the log has accepted an append, so that this host was still the leader when it was sent.
func (d *Dispatcher) confirmAppend(sentAt, now time.Time) {
	if !d.leaseLimit.AllowsStart(now.Add(startMargin)) {
		d.scheduleUpToDate = false // work has waited for this
	}
	d.leaseLimit.Confirm(sentAt, d.LeaseDuration)
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
		d.Logger.Warn("append failed, retrying", "seq", e.batch.seq, "records", len(e.batch.records),
			"confirmed-ms-ago", d.leaseLimit.SinceConfirmed(now).Milliseconds(), "error", e.err)
		l.sendBatch(e.batch, appendRetryDelay)
		return
	}
	d.Metrics.Appends.Add("done", 1)
	l.appending = false
	d.confirmAppend(e.batch.sentAt, now)
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
