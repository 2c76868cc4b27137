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
	// dialTimeout bounds a connection attempt to a peer: one round trip between regions with room to spare.
	dialTimeout = 300 * time.Millisecond
	// peerTries is the number of peers that one call tries.
	peerTries = 3
	// peerPause is how long a peer that failed is left out.
	peerPause = time.Second
)

// Peers holds the connections to other entry hosts; its zero value knows none.
type Peers struct {
	// Addresses returns the addresses of the other entry hosts, nearest first.
	Addresses func() []string
	Logger    hclog.Logger

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	bad   map[string]time.Time // until when a peer is left out
}

// call asks one peer after the other until one has reached the log.
func (p *Peers) call(ctx context.Context, method string, params any) (reply, error) {
	err := errors.Mark(errors.New("peerlog: no peer is known"), errNoLog)
	for _, addr := range p.choose() {
		var r reply
		if r, err = p.callOne(ctx, addr, method, params); err == nil {
			err = r.err()
		}
		if !errors.Is(err, errNoLog) {
			return r, err
		}
		p.leaveOut(addr)
		if ctx.Err() != nil {
			break
		}
	}
	return reply{}, err
}

// choose returns a few usable peers, the near ones in random order so that they share the work.
func (p *Peers) choose() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []string
	for _, addr := range p.Addresses() {
		if now.After(p.bad[addr]) {
			out = append(out, addr)
		}
	}
	if n := min(len(out), peerTries); n > 1 {
		rand.Shuffle(n, func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:n]
	}
	return out
}

func (p *Peers) leaveOut(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bad == nil {
		p.bad = map[string]time.Time{}
	}
	p.bad[addr] = time.Now().Add(peerPause)
	if c := p.conns[addr]; c != nil {
		_ = c.Close() // it is of no more use
		delete(p.conns, addr)
	}
}

func (p *Peers) callOne(ctx context.Context, addr, method string, params any) (reply, error) {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return reply{}, errors.Mark(err, errNoLog)
	}
	var r reply
	if err := c.Call(ctx, method, params, &r); err != nil {
		p.leaveOut(addr)
		return reply{}, errors.Wrapf(err, "peerlog: %s at %s", method, addr)
	}
	return r, nil
}

// conn returns the open connection to a peer, or a new one.
func (p *Peers) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
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
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return struct{}{}, nil }), logTo(p.Logger))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*jsonrpc2.Conn{}
	}
	p.conns[addr] = c
	return c, nil
}

// remote is one log as reached through peers.
type remote struct {
	peers *Peers
	name  string
}

// append returns ErrUnknown for a call that a peer may have carried out.
func (l *remote) append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	r, err := l.peers.call(ctx, methodAppend, appendParams{Log: l.name, Records: records, Condition: c})
	switch {
	case err == nil:
		return r.Offset, nil
	case errors.Is(err, errNoLog):
		return 0, errors.Mark(err, journaler.ErrRejected)
	case r.Failure == "":
		return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	return 0, err
}

func (l *remote) read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	r, err := l.peers.call(ctx, methodRead, readParams{Log: l.name, From: from, WaitMS: model.Millis(wait.Milliseconds())})
	if err != nil {
		return journaler.Batch{}, err
	}
	if r.Batch == nil {
		return journaler.Batch{}, errors.New("peerlog: a read was answered without a batch")
	}
	return *r.Batch, nil
}

func (l *remote) newest(ctx context.Context, after string) (journaler.Page, error) {
	r, err := l.peers.call(ctx, methodNewest, newestParams{Log: l.name, After: after})
	if err != nil {
		return journaler.Page{}, err
	}
	if r.Page == nil {
		return journaler.Page{}, errors.New("peerlog: a look at the newest records was answered without a page")
	}
	return *r.Page, nil
}
