package reserver

import (
	"slices"
	"time"

	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// tickEvery is the grain of polls and deadlines; a tick scans all workers of the domain.
const tickEvery = 50 * time.Millisecond

// Reserver is the authority over the workers of one failure domain; it is not safe for concurrent use.
type Reserver struct {
	cfg     Config
	role    Role
	term    model.Term // of this host, while taking over or planner
	highest model.Term // seen from anyone

	hosts       []hostclient.Host // latest list, workers of the domain only
	hostsReadAt time.Time
	positions   []Position
	declared    map[model.RackID]Resources

	tookAt      time.Time // when the takeover began
	plannerAt   time.Time // when a majority had acknowledged the term
	majorityAt  time.Time // a majority held to the term at this time
	majorityDue time.Time // next computation of it
	unlisted    map[Position]time.Time
	unaccounted int
	accountedAt time.Time
	live        int  // workers listed as live, as of the last computation of the majority
	reachable   int  // of these, the ones reported as up
	accounted   bool // stays true for the rest of the term

	workers map[model.HostID]*worker
	order   []*worker // sorted by id
	hot     []*worker // have operations to send at once
	gangs   map[model.GangID]*gang
	jobs    map[model.JobID][]*gang
	timed   []*gang // gangs that wait for a deadline
	refused map[model.JobID]*refusal
	dropped map[model.GangID]time.Time // refused attempts whose reservations may still be found

	now       time.Time
	nextTick  time.Time
	resumedAt time.Time // end of the last pause of this process
	seq       uint64
	sends     []Send
	reports   []Report
	scratch   []time.Time
}

// refusal is the back-off of a job after refused attempts.
type refusal struct {
	count int
	until time.Time
}

// New returns a reserver in the standby role.
func New(cfg Config) *Reserver {
	r := &Reserver{cfg: cfg.withDefaults(), role: RoleStandby}
	r.reset()
	return r
}

// reset forgets everything that was learned under a term.
func (r *Reserver) reset() {
	r.workers, r.order, r.hot = map[model.HostID]*worker{}, nil, nil
	r.gangs, r.jobs, r.timed = map[model.GangID]*gang{}, map[model.JobID][]*gang{}, nil
	r.refused, r.dropped = map[model.JobID]*refusal{}, map[model.GangID]time.Time{}
	r.plannerAt, r.majorityAt, r.majorityDue = time.Time{}, time.Time{}, time.Time{}
	r.unlisted, r.unaccounted, r.accounted = map[Position]time.Time{}, 0, false
	r.live, r.reachable = 0, 0
	r.sends = nil
}

// Handle applies one event; times must not go back.
func (r *Reserver) Handle(now time.Time, ev Event) {
	// The driver ticks every tickEvery; a longer gap means that this process did not run,
	// which is no evidence against workers.
	if !r.now.IsZero() && now.Sub(r.now) > r.cfg.Poll {
		r.resumedAt = now
	}
	r.now = now
	r.checkMajority()
	switch ev := ev.(type) {
	case Hosts:
		r.setHosts(ev)
	case Inventory:
		r.positions = slices.Clone(ev.Positions)
		r.declare(ev.Racks)
		r.noteUnlisted()
	case TermSeen:
		r.see(ev.Term)
	case TakeOver:
		r.takeOver()
	case StepDown:
		r.stepDown(ev.Reason)
	case StartGang:
		r.startGang(ev)
	case StopGang:
		r.stopGang(ev.Gang, OutcomeStopped)
	case PreemptGang:
		r.preemptGang(ev.Gang)
	case Acknowledge:
		r.acknowledge(ev.Gang)
	case Replied:
		r.replied(ev)
	case SendFailed:
		r.sendFailed(ev)
	case Tick:
		r.tick()
	}
	r.flush()
}

// Drain returns the batches to send and the reports since the last call.
func (r *Reserver) Drain() ([]Send, []Report) {
	s, p := r.sends, r.reports
	r.sends, r.reports = nil, nil
	return s, p
}

// Next returns the time at which the next Tick is due.
func (r *Reserver) Next() time.Time { return r.nextTick }

// Status returns a copy of the authority.
func (r *Reserver) Status() Status {
	s := Status{
		Role: r.role, Term: r.term, Highest: r.highest, TakenOverAt: r.plannerAt, MajorityAt: r.majorityAt,
		Unaccounted: r.unaccounted, AccountedAt: r.accountedAt, Gangs: len(r.gangs),
		Workers: r.live, Reachable: r.reachable,
	}
	if r.role == RolePlanner {
		s.FreshUntil = r.majorityAt.Add(2 * r.cfg.Poll)
		s.NewAfter = r.newAfter()
		if !r.accounted {
			s.Unaccounted = max(1, r.unaccounted)
		}
	}
	return s
}

func (r *Reserver) active() bool { return r.role == RoleTakingOver || r.role == RolePlanner }

func (r *Reserver) report(p Report) { r.reports = append(r.reports, p) }

func (r *Reserver) see(t model.Term) {
	if t.Compare(r.highest) > 0 {
		r.highest = t
	}
}

// tick advances deadlines and polls the workers that are due.
func (r *Reserver) tick() {
	r.nextTick = r.now.Add(tickEvery)
	if !r.active() {
		return
	}
	for _, g := range slices.Clone(r.timed) {
		r.timeGang(g)
	}
	r.timed = slices.DeleteFunc(r.timed, func(g *gang) bool {
		g.timed = g.phase.timed()
		return !g.timed
	})
	r.updateAccounts()
	for _, w := range r.order {
		r.watch(w)
		if w.out != nil || r.now.Before(w.retryAt) {
			continue
		}
		// Without a failure, operations are sent by flush as they come up.
		due := !r.now.Before(w.nextPoll)
		if due || !w.retryAt.IsZero() && w.pending() {
			r.send(w, due)
		}
	}
	r.order = slices.DeleteFunc(r.order, r.dropIdle)
	for id, t := range r.dropped {
		if r.now.After(t) {
			delete(r.dropped, id)
		}
	}
	for id, b := range r.refused {
		if r.now.Sub(b.until) > r.cfg.TaskLease {
			delete(r.refused, id)
		}
	}
}

// flush sends the operations that must not wait for a tick.
func (r *Reserver) flush() {
	for i := 0; i < len(r.hot); i++ {
		w := r.hot[i]
		w.hot = false
		if w.out == nil && !r.now.Before(w.retryAt) && w.pending() {
			r.send(w, false)
		}
	}
	r.hot = r.hot[:0]
}

// heat marks a worker whose operations are to be sent at once.
func (r *Reserver) heat(w *worker) {
	if !w.hot {
		w.hot = true
		r.hot = append(r.hot, w)
	}
}

// backoff returns a jittered, doubling delay between RetryMin and the limit.
func (r *Reserver) backoff(n int, limit time.Duration) time.Duration {
	d := limit
	if n < 16 {
		d = min(limit, r.cfg.RetryMin<<n)
	}
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)+1))
}
