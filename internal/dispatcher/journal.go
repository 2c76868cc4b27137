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
	// renewEvery is the pause between signs of life of the leader in the log.
	renewEvery = 350 * time.Millisecond
	// flushGap spaces appends, so that ends that come together share one.
	flushGap = 15 * time.Millisecond
	// lazyGap is how long a change that nobody waits for may stay out of the log. All hosts read each record of a job, which
	// holds the state of all its tasks; the starts of its tasks share one.
	lazyGap = 300 * time.Millisecond
	// appendTimeout bounds one append; the next attempt opens a new connection.
	appendTimeout = 1500 * time.Millisecond
	// appendPause is the pause after a failed append.
	appendPause = 100 * time.Millisecond
	// removeMost bounds the jobs that one append removes from the log.
	removeMost = 50
)

// journal writes the leader's records, one append in flight; its state belongs to the dispatcher's goroutine.
type journal struct {
	d        *Dispatcher
	name     string
	seq      int64
	dirty    map[model.JobID]*change
	urgent   bool
	busy     bool
	since    time.Time // of the oldest change that is not written; zero means none
	lastAt   time.Time // of the last append
	renewAt  time.Time
	resign   bool
	removals []removal
}

// change is a job whose record in the log is out of date.
type change struct {
	job    *job
	since  time.Time
	urgent bool // a worker or a caller waits for it
}

// removal is an ended job whose records are dropped in time.
type removal struct {
	id model.JobID
	at time.Time
}

// flush is one append and what it makes durable.
type flush struct {
	records []journaler.Record
	seq     int64
	seen    map[*worker]endMark
	last    bool // the leader resigns with it
}

// endMark is the last end of a worker that a flush covers.
type endMark struct {
	incarnation int64
	number      int64
}

// LeaderWriterName is the name under which leaders write; the log fences off writers with a lower epoch.
const LeaderWriterName = "leader"

func (l *journal) init(d *Dispatcher) {
	l.d = d
	l.name = LeaderWriterName
	l.dirty = map[model.JobID]*change{}
	l.seq = d.Term.FirstSeq
}

// mark notes that a job has changed; urgent changes are written at once.
func (l *journal) mark(j *job, urgent bool) {
	c := l.dirty[j.sub.ID]
	if c == nil {
		c = &change{job: j, since: time.Now()}
		l.dirty[j.sub.ID] = c
		if l.since.IsZero() {
			l.since = c.since
		}
	}
	c.urgent = c.urgent || urgent
	l.urgent = l.urgent || urgent
	if j.state.IsFinal() {
		l.removals = append(l.removals, removal{id: j.sub.ID, at: time.Now().Add(l.d.JobRetention)})
	}
}

// flush starts an append when one is due.
func (l *journal) flush(now time.Time) {
	if l.busy || l.d.err != nil || !l.due(now) {
		return
	}
	l.lastAt = now
	b, err := l.batch(now)
	if err != nil {
		l.d.Logger.Error("records can't be written", "error", err)
		return
	}
	l.busy = true
	l.send(b, 0)
}

func (l *journal) due(now time.Time) bool {
	return !now.Before(l.dueAt())
}

// dueAt returns when the next append is due, as far as is known now; one in flight ends with an event.
func (l *journal) dueAt() time.Time {
	at := l.renewAt
	switch {
	case l.busy:
		return time.Now().Add(tick)
	case l.urgent || l.resign:
		at = l.lastAt
	case !l.since.IsZero() && l.since.Add(lazyGap).Before(at):
		at = l.since.Add(lazyGap)
	}
	if soonest := l.lastAt.Add(flushGap); at.Before(soonest) {
		return soonest
	}
	return at
}

func (l *journal) batch(now time.Time) (*flush, error) {
	l.seq++
	b := &flush{seq: l.seq, seen: map[*worker]endMark{}}
	for _, w := range l.d.workers {
		if w.seen > w.durable {
			b.seen[w] = endMark{incarnation: w.incarnation, number: w.seen}
		}
	}
	if err := l.progress(b, now); err != nil {
		return nil, err
	}
	l.urgent = false
	// An append without records would not count as one of the sequence.
	if now.After(l.renewAt) || l.resign || len(b.records) == 0 {
		if err := l.term(b, now); err != nil {
			return nil, err
		}
	}
	if l.d.fleetDirty {
		if err := l.fleet(b); err != nil {
			return nil, err
		}
	}
	l.remove(b, now)
	return b, nil
}

// progress adds the records of the jobs whose changes are urgent or have waited; before a list of closed workers and at the
// end of the term, of all, since the next leader relies on the log for what these workers run.
func (l *journal) progress(b *flush, now time.Time) error {
	all := l.d.fleetDirty || l.resign
	l.since = time.Time{}
	for id, c := range l.dirty {
		if !all && !c.urgent && now.Before(c.since.Add(lazyGap)) {
			if l.since.IsZero() || c.since.Before(l.since) {
				l.since = c.since
			}
			continue
		}
		r, err := journaler.NewProgressRecord(id, c.job.progress(l.d.Term.Fence))
		if err != nil {
			return err
		}
		b.records = append(b.records, r)
		delete(l.dirty, id)
	}
	return nil
}

// term adds the sign of life with the load of the queues.
func (l *journal) term(b *flush, now time.Time) error {
	t := l.d.Term
	t.Load = l.d.load(now)
	t.Resigned = l.resign
	b.last = l.resign
	r, err := journaler.NewTermRecord(t)
	if err != nil {
		return err
	}
	b.records = append(b.records, r)
	l.renewAt = now.Add(renewEvery)
	return nil
}

func (l *journal) fleet(b *flush) error {
	l.d.fleetDirty = false
	var workers []journaler.FleetWorker
	for _, w := range l.d.workers {
		workers = append(workers, journaler.FleetWorker{
			ID: w.info.ID, Address: w.info.Address, Closed: !w.listed || w.info.State != model.WorkerReady,
		})
	}
	r, err := journaler.NewFleetRecord(workers)
	if err != nil {
		return err
	}
	b.records = append(b.records, r)
	return nil
}

// remove adds the removal of jobs that ended long ago.
func (l *journal) remove(b *flush, now time.Time) {
	n := 0
	for n < len(l.removals) && n < removeMost && now.After(l.removals[n].at) {
		b.records = append(b.records, journaler.NewTombstones(l.removals[n].id)...)
		delete(l.d.finished, l.removals[n].id)
		n++
	}
	l.removals = l.removals[n:]
}

// send appends in the background and reports the outcome.
func (l *journal) send(b *flush, pause time.Duration) {
	d := l.d
	c := journaler.AppendCondition{Writer: &journaler.Writer{Name: l.name, Epoch: d.Term.Fence, Seq: b.seq}}
	go func() {
		if pause > 0 {
			time.Sleep(pause + rand.N(pause))
		}
		ctx, cancel := context.WithTimeout(d.ctx, appendTimeout)
		defer cancel()
		_, err := d.Log.Append(ctx, b.records, c)
		select {
		case d.events <- &written{batch: b, err: err}:
		case <-d.ctx.Done():
		}
	}()
}

func (e *written) apply(d *Dispatcher, now time.Time) {
	l := &d.journal
	var seq *journaler.SequenceError
	switch {
	case e.err == nil:
	case errors.As(e.err, &seq) && seq.ExpectedSeq == e.batch.seq+1:
		// An earlier attempt has taken effect.
	case errors.Is(e.err, journaler.ErrFenced), errors.As(e.err, &seq):
		d.depose("the log refuses this leader", "error", e.err)
		return
	default:
		d.Metrics.Appends.Add("failed", 1)
		d.Logger.Warn("append failed, repeated", "seq", e.batch.seq, "records", len(e.batch.records), "error", e.err)
		l.send(e.batch, appendPause)
		return
	}
	d.Metrics.Appends.Add("done", 1)
	l.busy = false
	if e.batch.last {
		d.depose("resigned")
		return
	}
	for w, m := range e.batch.seen {
		if w.incarnation == m.incarnation {
			w.durable = max(w.durable, m.number)
			d.updatePlan(w)
		}
	}
}

// load sums up the work that is not done.
func (d *Dispatcher) load(now time.Time) journaler.Load {
	var l journaler.Load
	for _, w := range d.workers {
		if w.open(now) {
			l.Capacity += w.info.Capacity.Accelerators
		}
	}
	for _, j := range d.jobs {
		if j.state.IsFinal() {
			continue
		}
		p := int(j.sub.Queue.Priority)
		for len(l.Backlog) <= p && p < maxPriorities {
			l.Backlog = append(l.Backlog, 0)
		}
		if p < len(l.Backlog) {
			l.Backlog[p] += j.work(now)
		}
	}
	return l
}

// maxPriorities bounds the priorities that the load tells apart.
const maxPriorities = 16

// work returns the accelerator-seconds that the job still needs, by its own estimate.
func (j *job) work(now time.Time) float64 {
	sum := 0.0
	for _, s := range j.steps {
		each := float64(s.spec.EstimatedRunMS) / 1000 * float64(max(1, s.spec.Need.Accelerators))
		for _, t := range s.tasks {
			switch {
			case t.done:
			case t.active != nil && t.active.state == runRunning:
				sum += t.active.remaining(now).Seconds() * float64(max(1, s.spec.Need.Accelerators))
			default:
				sum += each
			}
		}
	}
	return sum
}
