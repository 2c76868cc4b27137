package protector

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
)

const (
	planInterval = time.Second
	// countInterval is the interval, in plans, at which descriptors are counted while there are few connections.
	countInterval = 10
	// logInterval limits the log lines about refusals.
	logInterval = 10 * time.Second
)

// Config configures a Protector. Settings that are 0 are derived or have their default.
type Config struct {
	Limits   Limits
	Settings Settings
	Logger   hclog.Logger
}

// Protector protects the listeners of a process.
type Protector struct {
	Bodies bodyreader.Reader
	Peers  *Peers // bounds for other hosts

	config    Config
	listeners atomic.Pointer[[]*protectedListener] // replaced when one is added, since others may already serve
	other     int                                  // descriptors other than those of clients' connections, when they were last counted
	plans     int
	logged    refusals
	loggedAt  time.Time
}

// protectedListener is a listener with a bound of its own, or with what the others leave if maxConnections is 0.
type protectedListener struct {
	limiter        *connlimiter.Limiter
	maxConnections int
}

// New returns a protector for the limits of the process.
func New(c Config) *Protector {
	c.Settings.setDefaults()
	c.Limits.ReceiveBuffer = c.Settings.ReceiveBufferBytes
	p := &Protector{config: c, Peers: newPeers(c.Limits)}
	p.Bodies.Pace = bodyreader.Pace{Timeout: c.Settings.BodyTimeout, Grace: bodyGrace, MinRate: c.Settings.MinBodyRate}
	p.Bodies.Budget.OnPressure = p.evictBodies
	p.Plan()
	return p
}

// all returns the protected listeners.
func (p *Protector) all() []*protectedListener {
	if l := p.listeners.Load(); l != nil {
		return *l
	}
	return nil
}

// evictBodies closes a connection of each listener that has waited long for the rest of a body.
func (p *Protector) evictBodies() {
	for _, l := range p.all() {
		l.limiter.EvictBody()
	}
}

// Listen listens on an address and bounds its connections: to maxConnections, or to what the other listeners leave if that is 0. It
// must not be called after Run.
func (p *Protector) Listen(network, addr string, maxConnections int) (net.Listener, error) {
	ln, err := connlimiter.Listen(network, addr, connlimiter.Buffers{Receive: p.config.Settings.ReceiveBufferBytes, Send: sendBufferBytes})
	if err != nil {
		return nil, err
	}
	return p.Wrap(ln, maxConnections), nil
}

// Wrap is like Listen for a listener that exists.
func (p *Protector) Wrap(ln net.Listener, maxConnections int) net.Listener {
	l := &protectedListener{limiter: &connlimiter.Limiter{}, maxConnections: maxConnections}
	all := append(slices.Clone(p.all()), l)
	p.listeners.Store(&all)
	p.Plan()
	return l.limiter.Wrap(ln)
}

// Server returns a server for a protected listener, with limits of the time and the size of each request and the time of each
// response.
func (p *Protector) Server(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: p.config.Settings.BodyTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	connlimiter.Attach(s)
	return s
}

// Run adapts the bounds to what the process uses and logs refusals until ctx ends.
func (p *Protector) Run(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.Plan()
			p.logRefusals(now)
			p.Peers.logRefusals(now, p.config.Logger)
		}
	}
}

// Plan sets the bounds by what the process uses now. It must not be called beside Run.
func (p *Protector) Plan() {
	u := Usage{HeldBytes: heldBytes(), BodyBytes: p.Bodies.Budget.Used()}
	for _, l := range p.all() {
		u.Connections += l.limiter.Len()
	}
	if p.plans%countInterval == 0 || u.Connections > minConnections {
		if n := countDescriptors(); n > 0 {
			p.other = max(0, n-u.Connections)
		}
	}
	p.plans++
	u.OtherDescriptors = p.other
	s := p.config.Settings
	budget, total := p.config.Limits.BodyBudget(u), p.config.Limits.Connections(u)
	if s.BodyMemoryBytes > 0 {
		budget = s.BodyMemoryBytes
	}
	if s.MaxConnections > 0 {
		total = min(total, s.MaxConnections)
	}
	p.Bodies.Budget.SetCapacity(budget)
	p.setConnections(total)
}

// setConnections divides a number of connections among the listeners. No listener with a bound of its own gets more than its share
// of half of them.
func (p *Protector) setConnections(total int) {
	rest, bounded := total, 0
	for _, l := range p.all() {
		if l.maxConnections > 0 {
			bounded++
		}
	}
	for _, l := range p.all() {
		if l.maxConnections > 0 {
			n := max(1, min(l.maxConnections, total/2/bounded))
			rest -= n
			l.limiter.SetLimits(connlimiter.Limits{Total: n})
		}
	}
	for _, l := range p.all() {
		if l.maxConnections == 0 {
			rest = max(1, rest) // 0 would be no bound
			l.limiter.SetLimits(connlimiter.Limits{Total: rest, PerAddress: p.config.Settings.perAddress(rest)})
		}
	}
}

// heldBytes returns the memory that the Go runtime can't give to others: what was alive at the last garbage collection, and what
// is not part of the heap.
func heldBytes() int64 {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	metrics.Read(samples)
	held := int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
	for _, s := range samples[2:] {
		held -= int64(s.Value.Uint64())
	}
	return held
}

// countDescriptors returns the number of open descriptors of the process, or 0 if the system does not tell.
func countDescriptors() int {
	d, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer func() { _ = d.Close() }()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names) - 1 // without d
}

// refusals counts what was refused since the start of the process.
type refusals struct {
	connections, evictions, bodies, slowBodies, largeBodies int64
	calls                                                   int64 // of other hosts
}

func (p *Protector) refusals() refusals {
	r := refusals{bodies: p.Bodies.Refused.Value(), slowBodies: p.Bodies.TooSlow.Value(), largeBodies: p.Bodies.TooLarge.Value()}
	for _, l := range p.all() {
		r.connections += l.limiter.Refused.Value()
		r.evictions += l.limiter.Evicted.Value()
	}
	return r
}

// logRefusals logs what was refused since the last line, at most once in logInterval.
func (p *Protector) logRefusals(now time.Time) {
	r := p.refusals()
	if r == p.logged || now.Sub(p.loggedAt) < logInterval {
		return
	}
	p.config.Logger.Warn("clients refused", "remedy", "find the clients that withhold their requests, or raise the limits of the process",
		"connections", r.connections-p.logged.connections, "evicted-connections", r.evictions-p.logged.evictions,
		"bodies", r.bodies-p.logged.bodies, "slow-bodies", r.slowBodies-p.logged.slowBodies, "large-bodies", r.largeBodies-p.logged.largeBodies,
		"body-budget-bytes", p.Bodies.Budget.Capacity())
	p.logged, p.loggedAt = r, now
}

// Vars returns the metrics by name.
func (p *Protector) Vars() map[string]expvar.Var {
	sum := func(f func(*connlimiter.Limiter) int64) expvar.Func {
		return func() any {
			n := int64(0)
			for _, l := range p.all() {
				n += f(l.limiter)
			}
			return n
		}
	}
	return map[string]expvar.Var{
		"client-connections":         sum(func(l *connlimiter.Limiter) int64 { return int64(l.Len()) }),
		"client-connections-limit":   sum(func(l *connlimiter.Limiter) int64 { return int64(l.Limits().Total) }),
		"client-connections-refused": sum(func(l *connlimiter.Limiter) int64 { return l.Refused.Value() }),
		"client-connections-evicted": sum(func(l *connlimiter.Limiter) int64 { return l.Evicted.Value() }),
		"client-body-bytes":          expvar.Func(func() any { return p.Bodies.Budget.Used() }),
		"client-body-budget-bytes":   expvar.Func(func() any { return p.Bodies.Budget.Capacity() }),
		"client-bodies-refused":      &p.Bodies.Refused,
		"client-bodies-too-slow":     &p.Bodies.TooSlow,
		"client-bodies-too-large":    &p.Bodies.TooLarge,
	}
}
