package planner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/asserter"
	"chestnutmux.example/chestnutmux/internal/hostclient"
	"chestnutmux.example/chestnutmux/internal/poster"
	"chestnutmux.example/chestnutmux/internal/recorder"
	"chestnutmux.example/chestnutmux/internal/reducer"
	"chestnutmux.example/chestnutmux/internal/reserver"
	"chestnutmux.example/chestnutmux/internal/scheduler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// idleTick is the time between passes when nothing changed; back-offs, aging and deadlines need it.
	idleTick = 500 * time.Millisecond
	// offsetMax holds every job.
	offsetMax = model.Offset(1<<62 - 1)
)

// Journal writes entries to the jobs stream.
type Journal interface {
	// Append returns nil once the entry is durable; it repeats the append until ctx ends.
	Append(ctx context.Context, e reducer.JobEntry) error
}

// Config holds the identity and the parts of a Planner.
type Config struct {
	Host     model.HostID
	Domain   model.DomainID
	Pass     time.Duration // shortest time between two passes
	Options  scheduler.Options
	Driver   *reserver.Driver
	Journal  Journal
	Recorder *recorder.Recorder
	Asserter *asserter.Asserter
	Logger   hclog.Logger
}

// Planner is the task that plans one failure domain while this host is its planner.
type Planner struct {
	cfg   Config
	inbox *poster.Poster[Message]

	set      *model.Set
	jobs     map[model.JobID]reducer.Job // live jobs whose home is the domain
	decided  map[model.JobID]bool        // jobs whose outcome is being recorded; they must not start again
	caughtUp bool
	next     model.Offset // of the jobs fold

	elsewhere map[model.WorkspaceID]model.Accelerators // used in other failure domains

	role    reserver.Role
	term    model.Term
	chosen  bool
	askedAt time.Time // of the latest TakeOver

	sched   scheduler.Planner // nil unless this host is the planner
	workers map[model.HostID]hostclient.Host
	gangs   map[model.GangID]*gang
	held    bool // jobs accepted before the takeover wait
	probing bool // the reserver was sent a probe and has not answered
	dirty   bool // something changed since the last pass
	passed  time.Time
}

// gang is what the planner knows of a gang attempt that it started or adopted.
type gang struct {
	job        model.JobID
	attempt    int
	startedAt  time.Time
	guaranteed bool // started within the workspace's guarantee
	preempting bool
	cancelled  bool
	ended      bool // the outcome is being recorded
}

// New returns a Planner; Run must be called once.
func New(cfg Config) *Planner {
	cfg.Options.Violated = cfg.Asserter.Violated
	return &Planner{
		cfg:     cfg,
		inbox:   poster.New[Message](),
		jobs:    map[model.JobID]reducer.Job{},
		decided: map[model.JobID]bool{},
		role:    reserver.RoleStandby,
	}
}

// Post hands a message to the task and never blocks.
func (p *Planner) Post(m Message) { p.inbox.Post(m) }

// Run is the task; it returns when ctx ends.
func (p *Planner) Run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.inbox.Ready():
			for _, m := range p.inbox.Take() {
				p.handle(ctx, m)
			}
		case reports := <-p.cfg.Driver.Reports():
			for _, r := range reports {
				p.report(ctx, r)
			}
		case <-timer.C:
			p.dirty = true
		}
		p.step(ctx)
		timer.Reset(p.wait())
	}
}

// wait is the time until the next pass is due.
func (p *Planner) wait() time.Duration {
	if !p.dirty || p.sched == nil { // a standby has no passes
		return idleTick
	}
	return max(time.Millisecond, time.Until(p.passed.Add(p.cfg.Pass)))
}

// step asks for the planner's role when this host is chosen, and plans when a pass is due.
func (p *Planner) step(ctx context.Context) {
	now := time.Now()
	p.claimRole(ctx, now)
	if p.sched == nil || !p.dirty || now.Sub(p.passed) < p.cfg.Pass {
		return
	}
	p.release(ctx, now)
	p.pass(ctx, now)
}

// retryTakeOver is the time between two tries of a host that is chosen but is not the planner.
const retryTakeOver = time.Second

func (p *Planner) claimRole(ctx context.Context, now time.Time) {
	if !p.chosen || p.set == nil || p.role == reserver.RolePlanner || p.role == reserver.RoleTakingOver {
		return
	}
	if now.Sub(p.askedAt) < retryTakeOver {
		return
	}
	p.askedAt = now
	p.post(ctx, reserver.TakeOver{})
}

// probe is a start without workers, which the reserver refuses as invalid when nothing else speaks against a start.
// It is no gang of a job, since gang ids have a slash.
const probe model.GangID = "probe"

// release asks whether the jobs that an earlier planner might have started may start now.
//
// The driver's status can be ahead of its reports. The refusal of the probe comes behind the reports of all gangs
// that were found before, so that no job is planned again whose gang runs or has finished.
func (p *Planner) release(ctx context.Context, now time.Time) {
	if !p.held || p.probing {
		return
	}
	// A job accepted at the zero time is accounted for only when all workers are.
	if ok, _ := p.cfg.Driver.Status().Accounted(now, time.Time{}); !ok {
		return
	}
	p.probing = true
	p.post(ctx, reserver.StartGang{Gang: probe})
}

// probed lets the jobs of earlier planners start when the reserver has no objection.
func (p *Planner) probed(r reserver.GangRefused) {
	p.probing = false
	if !p.held || r.Kind != model.KindInvalid {
		return
	}
	p.held = false
	p.sched.HoldBefore(0)
	p.cfg.Logger.Info("all workers are accounted for; earlier jobs may start", "domain", string(p.cfg.Domain))
}

func (p *Planner) post(ctx context.Context, ev reserver.Event) {
	// It fails only when ctx ends, and then the task ends too.
	_ = p.cfg.Driver.Post(ctx, ev)
}

// ask runs f on the task and waits for it.
func (p *Planner) ask(ctx context.Context, f func(*Planner)) error {
	q := query{f: f, done: make(chan struct{})}
	p.Post(q)
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
