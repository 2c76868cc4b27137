package protector

import (
	"expvar"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
	"chestnutmux.example/chestnutmux/internal/relaylimiter"
)

const (
	// maxPeerConnections has room for the other hosts of a deployment of 300 that all connect again after a restart: concurrent calls open
	// one connection each, and those of processes that have ended may not be closed yet.
	maxPeerConnections = 1200
	// heldPerPeer is what the process holds for a connection of a peer: two buffers, two goroutines and the state of the RPC library.
	heldPerPeer = 30 << 10
	// peerMemoryDivisor divides the memory limit into the part that idle connections of peers may take. 184 MB have room for 1,200.
	peerMemoryDivisor = 5
	// peerDescriptorDivisor divides the limit of descriptors into the part that connections of peers may take. 4,096 have room for 1,200.
	peerDescriptorDivisor = 3
)

// Peers bounds the connections of other hosts and the memory for their requests. Its bounds are apart from those of clients, so that neither
// uses up the room of the other.
type Peers struct {
	Bodies  bodyreader.Reader
	Relayed *relaylimiter.Limiter // calls to the log on behalf of other hosts, and responses that these have not received

	limiter  connlimiter.Limiter
	logged   refusals
	loggedAt time.Time
}

// newPeers returns the bounds for other hosts that follow from the limits of the process.
func newPeers(l Limits) *Peers {
	p := &Peers{Relayed: relaylimiter.New(l.MemoryBytes, l.Descriptors)}
	p.Bodies.Pace = bodyreader.Pace{Timeout: DefaultBodyTimeout, Grace: bodyGrace, MinRate: DefaultMinBodyRate}
	p.Bodies.Budget.SetCapacity(l.MemoryBytes / bodyDivisor)
	p.Bodies.Budget.OnPressure = p.limiter.EvictBody
	p.limiter.SetLimits(connlimiter.Limits{Total: l.PeerConnections()})
	return p
}

// Listen listens on an address for other hosts.
func (p *Peers) Listen(network, addr string) (net.Listener, error) {
	ln, err := connlimiter.Listen(network, addr, connlimiter.Buffers{}) // small buffers would slow appends of distant peers
	if err != nil {
		return nil, err
	}
	return p.limiter.Wrap(ln), nil
}

// logRefusals logs what was refused since the last line, at most once in logInterval.
func (p *Peers) logRefusals(now time.Time, logger hclog.Logger) {
	r := refusals{connections: p.limiter.Refused.Value(), evictions: p.limiter.Evicted.Value(), bodies: p.Bodies.Refused.Value(), slowBodies: p.Bodies.TooSlow.Value(), calls: p.Relayed.Refused.Value()}
	if r == p.logged || now.Sub(p.loggedAt) < logInterval {
		return
	}
	logger.Warn("peers refused", "remedy", "keep others than entry hosts from the port between hosts, or raise the limits of the process",
		"connections", r.connections-p.logged.connections, "evicted-connections", r.evictions-p.logged.evictions,
		"bodies", r.bodies-p.logged.bodies, "slow-bodies", r.slowBodies-p.logged.slowBodies, "calls", r.calls-p.logged.calls)
	p.logged, p.loggedAt = r, now
}

// Vars returns the metrics by name.
func (p *Peers) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"peer-connections":         expvar.Func(func() any { return p.limiter.Len() }),
		"peer-connections-limit":   expvar.Func(func() any { return p.limiter.Limits().Total }),
		"peer-connections-refused": &p.limiter.Refused,
		"peer-connections-evicted": &p.limiter.Evicted,
		"peer-bodies-refused":      &p.Bodies.Refused,
		"peer-calls-refused":       &p.Relayed.Refused,
	}
}

// PeerConnections returns how many connections of other hosts the process accepts. The load that it answers is all hosts of a deployment
// that connect at once, beside connections that are left open.
func (l Limits) PeerConnections() int {
	byMemory := int(l.MemoryBytes / peerMemoryDivisor / heldPerPeer)
	return max(min(maxPeerConnections, byMemory, l.Descriptors/peerDescriptorDivisor), minConnections)
}
