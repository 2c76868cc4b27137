package reserver

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/workerclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// worker is what is known about one worker under the current term.
type worker struct {
	host    hostclient.Host
	listed  bool
	up      bool // as last reported
	acked   bool // listed its tasks under this term
	relist  bool // ask for all tasks with the next batch
	boot    model.BootID
	version uint64

	lastOK         time.Time // when the latest answered batch was sent
	failingSince   time.Time // when the first unanswered batch after it was sent, zero when answered
	unreachedSince time.Time // first failure before it acknowledged the term
	sentAt         time.Time
	nextPoll       time.Time
	retryAt        time.Time
	fails          int

	out     *outstanding // the batch in flight
	hot     bool
	over    bool // holds more than declared, as of its latest list
	members []*member
	cleanup []cleanup
}

// outstanding is a batch without an answer yet.
type outstanding struct {
	seq    uint64
	sentAt time.Time
	since  uint64
	poll   bool
	ops    []sentOp
}

// sentOp is an operation of a batch; member is nil for cleanups.
type sentOp struct {
	member *member
	task   model.TaskID
	gang   model.GangID
	kind   workerclient.OpKind
}

// cleanup is an operation on a task that belongs to no gang.
type cleanup struct {
	task model.TaskID
	gang model.GangID
	kind workerclient.OpKind
}

// pending reports whether there are operations to send.
func (w *worker) pending() bool {
	return w.relist || len(w.cleanup) > 0 || slices.ContainsFunc(w.members, func(m *member) bool { return m.need != "" })
}

// clean queues a cleanup, replacing an earlier one of the same task.
func (w *worker) clean(c cleanup) {
	w.cleanup = slices.DeleteFunc(w.cleanup, func(x cleanup) bool { return x.task == c.task })
	w.cleanup = append(w.cleanup, c)
}

func (w *worker) member(t model.TaskID) *member {
	for _, m := range w.members {
		if m.task == t {
			return m
		}
	}
	return nil
}

func (w *worker) remove(m *member) {
	w.members = slices.DeleteFunc(w.members, func(x *member) bool { return x == m })
}

// stale reports whether the worker did not confirm its tasks within two polls.
func (r *Reserver) stale(w *worker) bool { return r.now.Sub(w.lastOK) > 2*r.cfg.Poll }

// failing reports whether the worker left batches unanswered for two polls while this process ran.
func (r *Reserver) failing(w *worker) bool {
	if w.failingSince.IsZero() {
		return false
	}
	since := w.failingSince
	if since.Before(r.resumedAt) {
		since = r.resumedAt
	}
	return r.now.Sub(since) >= 2*r.cfg.Poll
}

// watch reports changes of a worker's reachability and fails its members when it does not answer.
func (r *Reserver) watch(w *worker) {
	failing := r.failing(w)
	if up := w.acked && w.listed && !failing; up != w.up {
		w.up = up
		if up {
			r.report(WorkerUp{Host: w.host})
		} else {
			r.report(WorkerDown{Worker: w.host.ID, Listed: w.listed})
		}
	}
	if failing {
		for _, m := range slices.Clone(w.members) {
			if m.g.phase.runs() && m.state != workerclient.TaskFinished {
				r.failMember(m, CauseUnconfirmed)
			}
		}
	}
}

// dropIdle removes a worker that is unlisted and has nothing left to say.
func (r *Reserver) dropIdle(w *worker) bool {
	if w.listed || w.out != nil || !r.accounted {
		return false
	}
	if r.now.Sub(w.lastOK) > r.cfg.TaskLease+2*r.cfg.Poll {
		for _, m := range slices.Clone(w.members) {
			r.memberGone(m)
		}
	}
	if len(w.members) > 0 {
		return false
	}
	delete(r.workers, w.host.ID)
	return true
}

// send builds the next batch of a worker; a poll renews its leases.
func (r *Reserver) send(w *worker, poll bool) {
	if !r.active() {
		return
	}
	r.seq++
	out := &outstanding{seq: r.seq, sentAt: r.now, since: w.version, poll: poll}
	b := workerclient.Batch{Holder: r.cfg.Host, Term: r.term, Boot: w.boot, Since: w.version}
	if w.relist || !w.acked {
		b.Since, out.since = 0, 0
	}
	w.relist = false
	for _, c := range w.cleanup {
		b.Ops = append(b.Ops, workerclient.Op{Kind: c.kind, Task: c.task, Gang: c.gang})
		out.ops = append(out.ops, sentOp{task: c.task, gang: c.gang, kind: c.kind})
	}
	for _, m := range w.members {
		if m.need != "" {
			b.Ops = append(b.Ops, r.op(m))
			out.ops = append(out.ops, sentOp{member: m, task: m.task, kind: m.need})
		}
	}
	if poll {
		if ttl := r.leaseTTL(); r.role == RolePlanner && w.acked && ttl > 0 {
			b.Ops = append(b.Ops, r.renew(w, ttl))
		}
		// Jitter spreads the polls; it only shortens the interval, on which bounds depend.
		w.nextPoll = r.now.Add(r.cfg.Poll*9/10 + time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Poll/10)+1)))
	}
	w.out, w.sentAt = out, r.now
	r.sends = append(r.sends, Send{
		Worker: w.host.ID, Addr: w.host.Addr, Seq: out.seq, Batch: b, Deadline: r.now.Add(r.cfg.Call),
	})
}

// renewSoon brings the first renewal forward, since the leases of adopted tasks were granted
// by the earlier planner up to a poll ago. It also spreads the polls over the interval.
func (r *Reserver) renewSoon(w *worker) {
	at := r.now.Add(r.cfg.Poll/10 + time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Poll/4)+1)))
	if r.role == RolePlanner && w.acked && at.Before(w.nextPoll) {
		w.nextPoll = at
	}
}

// op builds the operation that a member needs.
func (r *Reserver) op(m *member) workerclient.Op {
	op := workerclient.Op{Kind: m.need, Task: m.task, Gang: m.g.id}
	switch m.need {
	case workerclient.OpReserve:
		g := m.g
		op.Job, op.Workspace, op.Members = g.job, g.workspace, g.size
		op.Accelerators, op.Cores, op.MemoryMB, op.Spec = g.accelerators, g.cores, g.memory, g.spec
		op.TTL = millis(r.cfg.ReserveTTL)
		m.reserveSent = true
	case workerclient.OpStart:
		// A start that is applied late is applied while its reservation lasts.
		late := max(0, r.cfg.ReserveTTL-r.cfg.Call)
		ttl := max(time.Millisecond, r.leaseTTL()-late)
		op.TTL = millis(ttl)
		m.startSent = true
		m.extend(r.now.Add(r.cfg.Call + late + ttl))
	case workerclient.OpCheckpoint:
		op.TTL = millis(r.cfg.Checkpoint)
	}
	return op
}

// renew builds the renewal of a worker's leases without the gangs that must not go on.
func (r *Reserver) renew(w *worker, ttl time.Duration) workerclient.Op {
	op := workerclient.Op{Kind: workerclient.OpRenewAll, TTL: millis(ttl)}
	for _, m := range w.members {
		r.notePartial(m.g)
		if m.g.phase != phaseRunning || r.anyStale(m.g) {
			op.Except = append(op.Except, m.g.id)
		} else {
			m.extend(r.now.Add(r.cfg.Call + ttl))
		}
	}
	for _, c := range w.cleanup {
		op.Except = append(op.Except, c.gang)
	}
	return op
}

func millis(d time.Duration) model.Millis { return model.Millis(d / time.Millisecond) }
