package peerlog

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// dialTimeout bounds a connection attempt to a peer. It is well above one round trip between regions.
	dialTimeout = 300 * time.Millisecond
	// maxPeersPerCall is the maximum number of peers that one call tries.
	maxPeersPerCall = 3
	// peerBackoff is how long a peer is not called after it has failed.
	peerBackoff = time.Second
)

// Peers holds the connections to the other entry hosts.
type Peers struct {
	// Addresses returns the addresses of the other entry hosts, nearest first.
	Addresses func() []string
	Logger    hclog.Logger

	mu             sync.Mutex
	conns          map[string]*jsonrpc2.Conn
	suspendedUntil map[string]time.Time // end of the backoff of each peer that has failed
}

// call calls one peer after another until one of them has reached the log.
func (p *Peers) call(ctx context.Context, method string, params any) (reply, error) {
	err := errors.Mark(errors.New("peerlog: no peer is known"), errLogUnreached)
	for _, addr := range p.pickPeers() {
		var r reply
		if r, err = p.callPeer(ctx, addr, method, params); err == nil {
			err = r.asError()
		}
		if !errors.Is(err, errLogUnreached) {
			return r, err
		}
		p.suspend(addr)
		if ctx.Err() != nil {
			break
		}
	}
	return reply{}, err
}

// pickPeers returns the first maxPeersPerCall peers that are not in backoff, in random order to spread the load over them.
func (p *Peers) pickPeers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []string
	for _, addr := range p.Addresses() {
		if now.After(p.suspendedUntil[addr]) {
			out = append(out, addr)
		}
	}
	if n := min(len(out), maxPeersPerCall); n > 1 {
		rand.Shuffle(n, func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:n]
	}
	return out
}

// suspend starts the backoff of a peer and closes its connection.
func (p *Peers) suspend(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspendedUntil == nil {
		p.suspendedUntil = map[string]time.Time{}
	}
	p.suspendedUntil[addr] = time.Now().Add(peerBackoff)
	if c := p.conns[addr]; c != nil {
		_ = c.Close() // the connection is discarded in any case
		delete(p.conns, addr)
	}
}

func (p *Peers) callPeer(ctx context.Context, addr, method string, params any) (reply, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return reply{}, errors.Mark(err, errLogUnreached)
	}
	var r reply
	if err := c.Call(ctx, method, params, &r); err != nil {
		p.suspend(addr)
		return reply{}, errors.Wrapf(err, "peerlog: %s at %s", method, addr)
	}
	return r, nil
}

// connect returns the open connection to a peer, or opens a new one.
func (p *Peers) connect(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.DisconnectNotify():
		default:
			return c, nil
		}
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
	c = jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }), withLogger(p.Logger))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*jsonrpc2.Conn{}
	}
	p.conns[addr] = c
	return c, nil
}

// remoteLog is a log that is reached through peers.
type remoteLog struct {
	peers *Peers
	name  string
}

// append returns ErrOutcomeUnknown for a call that a peer may have carried out.
func (l *remoteLog) append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	r, err := l.peers.call(ctx, methodAppend, appendParams{Log: l.name, Records: records, Condition: c})
	switch {
	case err == nil:
		return r.Offset, nil
	case errors.Is(err, errLogUnreached):
		return 0, errors.Mark(err, journaler.ErrNotAppended)
	case r.Failure == "":
		return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	return 0, err
}

func (l *remoteLog) read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	r, err := l.peers.call(ctx, methodRead, readParams{Log: l.name, From: from, WaitMS: model.Millis(wait.Milliseconds())})
	if err != nil {
		return journaler.Batch{}, err
	}
	if r.Batch == nil {
		return journaler.Batch{}, errors.New("peerlog: a read was answered without a batch")
	}
	return *r.Batch, nil
}

func (l *remoteLog) readNewest(ctx context.Context, after string) (journaler.Page, error) {
	r, err := l.peers.call(ctx, methodNewest, newestParams{Log: l.name, After: after})
	if err != nil {
		return journaler.Page{}, err
	}
	if r.Page == nil {
		return journaler.Page{}, errors.New("peerlog: a look at the newest records was answered without a page")
	}
	return *r.Page, nil
}
