package peerlog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/meter"
	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// dialTimeout bounds a connection attempt to a peer. It is well above the round-trip time between regions.
	dialTimeout = 300 * time.Millisecond
	// probeReadTimeout bounds the first read through a peer, which does not wait for records.
	probeReadTimeout = 300 * time.Millisecond
	// stallTimeout is how long a connection to a peer may receive nothing while a response is under way.
	stallTimeout = 300 * time.Millisecond
	// maxTransferTime bounds a call to a peer whose connection receives data all the time.
	maxTransferTime = 8 * time.Second
	// maxPeersPerCall is the maximum number of peers that one call tries.
	maxPeersPerCall = 3
	// peerBackoff is how long a peer is not called that can't reach the log.
	peerBackoff = time.Second
	// unreachableBackoff is how long a peer is not called that did not respond; it doubles with each failure in a row, up to
	// maxBackoffDoublings times. It allows to try the other hosts of a failure domain before a peer is tried again, so that
	// peers without power don't keep a host from those further away.
	unreachableBackoff  = 2 * time.Second
	maxBackoffDoublings = 3
	// responseRetention is how long the response of a peer shows that it can be reached. A host whose direct connection is down calls
	// each of its nearest peers at least that often.
	responseRetention = 3 * time.Second
)

// Peers calls the other entry hosts and keeps the connections to them open.
type Peers struct {
	// Addresses returns the addresses of the other entry hosts, nearest first.
	Addresses func() []string
	Logger    hclog.Logger
	Meter     *meter.Meter // counts the traffic of the connections; nil counts nothing

	mu    sync.Mutex
	conns map[string]*peerConn // by address
	// respondedAt holds when each peer has last responded.
	respondedAt map[string]time.Time
	backoffs    map[string]backoff // of the peers that have failed, by address
	lastGood    string             // address of the peer that served the last read; empty if it has failed since
	// probed holds the peers that were asked for a read since lastGood has said that it has no direct connection; nil if it has one.
	probed map[string]bool
}

// backoff says until when a peer is not called.
type backoff struct {
	until    time.Time
	failures int // number of calls in a row without a response, up to maxBackoffDoublings
}

// call calls one peer after another until one of them has reached the log and was not refused there.
func (p *Peers) call(ctx context.Context, method string, params any) (response, error) {
	var resp response
	err := errors.Mark(errors.New("peerlog: no peer is known"), errLogNotReached)
	for _, addr := range p.pickPeers() {
		resp, err = p.callPeer(ctx, addr, method, params)
		if !errors.Is(err, errLogNotReached) && !errors.Is(err, journaler.ErrNotAppended) {
			return resp, err
		}
		p.delayPeer(addr)
		if ctx.Err() != nil {
			break
		}
	}
	return resp, err
}

// pickPeers returns the first maxPeersPerCall peers that are not in backoff, in random order to spread the load over them. Peers
// whose last calls got no response come last. If all of them are such peers, the nearest other one replaces the last: the backoffs of
// unreachable peers may end before a busy host has called the others, and it would call the same ones in each round.
func (p *Peers) pickPeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pickPeersExcept(nil)
}

// pickPeersExcept is pickPeers without some peers. The caller holds p.mu.
func (p *Peers) pickPeersExcept(excluded map[string]bool) []string {
	now := time.Now()
	var out []string
	for _, addr := range p.Addresses() {
		if now.After(p.backoffs[addr].until) && !excluded[addr] {
			out = append(out, addr)
		}
	}
	n := min(len(out), maxPeersPerCall)
	if i := slices.IndexFunc(out, func(addr string) bool { return p.backoffs[addr].failures == 0 }); i >= n {
		out[n-1] = out[i]
	}
	out = out[:n]
	rand.Shuffle(n, func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(p.backoffs[a].failures, p.backoffs[b].failures) })
	return out
}

// inBackoff reports whether a peer is in backoff.
func (p *Peers) inBackoff(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().After(p.backoffs[addr].until)
}

// delayPeer starts the backoff of a peer that can't reach the log, unless a longer one runs.
func (p *Peers) delayPeer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backoffs[addr]
	if until := time.Now().Add(peerBackoff); until.After(b.until) {
		b.until = until
	}
	p.setBackoff(addr, b)
}

// startBackoff starts the backoff of a peer that did not respond and closes its connection.
func (p *Peers) startBackoff(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backoffs[addr]
	b.until = time.Now().Add(unreachableBackoff << b.failures)
	b.failures = min(b.failures+1, maxBackoffDoublings)
	p.setBackoff(addr, b)
	if c := p.conns[addr]; c != nil {
		_ = c.Close() // the connection is discarded in any case
		delete(p.conns, addr)
	}
}

// setBackoff stores the backoff of a peer. The caller holds p.mu.
func (p *Peers) setBackoff(addr string, b backoff) {
	if p.backoffs == nil {
		p.backoffs = map[string]backoff{}
	}
	p.backoffs[addr] = b
}

// endBackoff records that a peer has responded.
func (p *Peers) endBackoff(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.backoffs, addr)
	if p.respondedAt == nil {
		p.respondedAt = map[string]time.Time{}
	}
	p.respondedAt[addr] = time.Now()
}

// CountResponding returns how many of the peers that were called lately have responded, whether they reach the log or not, and how
// many have not.
func (p *Peers) CountResponding() (responding, silent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, addr := range p.Addresses() {
		switch b := p.backoffs[addr]; {
		case b.failures > 0 && now.Sub(b.until) < responseRetention:
			silent++
		case now.Sub(p.respondedAt[addr]) < responseRetention:
			responding++
		}
	}
	return responding, silent
}

// limitTransfer returns a context for a call to a peer that ends when nothing has arrived after a time, or when the response
// stalls.
func limitTransfer(ctx context.Context, start time.Duration) (context.Context, context.CancelFunc) {
	return watchdog.WithLimits(ctx, watchdog.Limits{Start: start, Stall: stallTimeout, Total: maxTransferTime})
}

// callPeer calls one peer. Its error is marked as errLogNotReached if no connection to the peer could be opened, or if the peer
// can't reach the log. A caller that gives up says nothing about the peer.
func (p *Peers) callPeer(ctx context.Context, addr, method string, params any) (response, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.startBackoff(addr)
		}
		return response{}, errors.Mark(err, errLogNotReached)
	}
	var resp response
	if err := c.call(ctx, method, params, &resp); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) && !c.receiver.isReceiving(stallTimeout) {
			p.startBackoff(addr)
		}
		return response{}, errors.Wrapf(err, "peerlog: %s at %s", method, addr)
	}
	p.endBackoff(addr)
	return resp, resp.asError()
}

// read reads from a log through the peer that served the last read, or through the first other peer that responds. The first
// read through a peer does not wait for records, so that peers that do not respond are soon passed over.
//
// A peer without a direct connection may itself wait for records of this host. So a read waits at such a peer only once all others
// were asked.
func (p *Peers) read(ctx context.Context, params readParams) (journaler.Batch, error) {
	lastGood, probes := p.pickReadPeers()
	if lastGood != "" && len(probes) == 0 {
		readCtx, cancel := limitTransfer(ctx, time.Duration(params.WaitMS)*time.Millisecond+probeReadTimeout)
		b, _, err := p.readAt(readCtx, lastGood, params)
		cancel()
		if isLogResponse(err) || ctx.Err() != nil {
			return b, err
		}
		probes = p.pickPeers()
	} else if lastGood != "" {
		probes = append([]string{lastGood}, probes...)
	}
	params.WaitMS = 0
	return p.probe(ctx, params, probes)
}

// pickReadPeers returns the peer that served the last read, and the peers to ask without waiting: if the first one has no direct
// connection, some of those that were not asked since; if there is none, some of all.
func (p *Peers) pickReadPeers() (lastGood string, probes []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastGood != "" && p.probed == nil {
		return p.lastGood, nil
	}
	return p.lastGood, p.pickPeersExcept(p.probed)
}

// probe reads through the first peer that has records or a direct connection, or else through the first one that responds.
func (p *Peers) probe(ctx context.Context, params readParams, addrs []string) (journaler.Batch, error) {
	start := time.Now()
	var indirect *journaler.Batch // response of a peer without a direct connection
	err := errors.Mark(errors.New("peerlog: no peer is known"), errLogNotReached)
	for _, addr := range addrs {
		probeCtx, cancel := limitTransfer(ctx, probeReadTimeout)
		var b journaler.Batch
		var noDirect bool
		b, noDirect, err = p.readAt(probeCtx, addr, params)
		cancel()
		switch {
		case err == nil && noDirect && len(b.Records) == 0:
			if indirect == nil {
				indirect = &b
			}
		case isLogResponse(err):
			return b, err
		}
		if ctx.Err() != nil || indirect != nil && time.Since(start) >= probeReadTimeout {
			break // at most one peer that does not respond delays a read that another one serves
		}
	}
	if indirect != nil {
		return *indirect, nil
	}
	return journaler.Batch{}, err
}

// readAt reads from a log through one peer and records whether that peer is good for further reads. It reports whether the peer has no
// direct connection.
func (p *Peers) readAt(ctx context.Context, addr string, params readParams) (b journaler.Batch, noDirect bool, err error) {
	sentAt := time.Now()
	resp, err := p.callPeer(ctx, addr, methodRead, params)
	if err == nil {
		b, err = resp.batch(sentAt)
	}
	if errors.Is(err, errLogNotReached) {
		p.delayPeer(addr)
	}
	noDirect = resp.Batch != nil && resp.Batch.NoDirect
	p.recordRead(addr, isLogResponse(err), noDirect)
	return b, noDirect, err
}

// recordRead records whether a peer has served a read and whether it has no direct connection.
func (p *Peers) recordRead(addr string, served, noDirect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case served && !noDirect:
		p.lastGood, p.probed = addr, nil
	case served && (p.lastGood == "" || p.lastGood == addr && p.probed == nil):
		p.lastGood, p.probed = addr, map[string]bool{addr: true}
	case !served && p.lastGood == addr:
		p.lastGood, p.probed = "", nil
	case p.probed != nil:
		p.probed[addr] = true
	}
}

// connect returns the open connection to a peer, or opens a new one.
func (p *Peers) connect(ctx context.Context, addr string) (*peerConn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil && !c.isClosed() {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := p.Meter.Wrap(meter.PeerKindHost, d.DialContext)(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c = newPeerConn(nc, p.Logger)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*peerConn{}
	}
	p.conns[addr] = c
	return c, nil
}

// remoteLog is a log that is reached through peers.
type remoteLog struct {
	peers *Peers
	name  string
}

// append appends records through a peer. It returns ErrOutcomeUnknown if a peer may have carried out the append without
// responding.
func (l *remoteLog) append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	resp, err := l.peers.call(ctx, methodAppend, appendParams{Log: l.name, Records: records, Condition: c})
	switch {
	case err == nil:
		return resp.Offset, nil
	case errors.Is(err, errLogNotReached):
		return 0, errors.Mark(err, journaler.ErrNotAppended)
	case resp.Failure == "":
		return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	return 0, err
}

func (l *remoteLog) read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	params := readParams{Log: l.name, From: from, WaitMS: model.Millis(wait.Milliseconds())}
	if wait > 0 {
		params.Tail = tailFirst
	}
	return l.peers.read(ctx, params)
}

func (l *remoteLog) readNewest(ctx context.Context, after string) (journaler.Page, error) {
	start := time.Now()
	resp, err := l.peers.call(ctx, methodNewest, newestParams{Log: l.name, After: after, Tail: tailFirst})
	if err != nil {
		return journaler.Page{}, err
	}
	return resp.page(start)
}
