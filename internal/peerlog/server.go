package peerlog

import (
	"context"
	"encoding/json"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/recoverer"
	"chestnutmux.example/chestnutmux/internal/relaylimiter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// callTimeout bounds a call to the log on behalf of a peer, in addition to the wait of a read.
	callTimeout = time.Second
	// maxPeerWait bounds the wait of a read of a peer. Hosts wait for less than a second.
	maxPeerWait = 5 * time.Second
)

// Server calls logs on behalf of peers. It uses only this host's direct connections, so that hosts do not forward a call in a
// loop.
type Server struct {
	Logs      map[string]*FallbackLog // by name
	Logger    hclog.Logger
	Recoverer *recoverer.Recoverer  // handles panics while a call is served; may be nil
	Bodies    *bodyreader.Reader    // bounds the memory for requests; nil sets no limit
	Limiter   *relaylimiter.Limiter // bounds calls to the log and the memory for responses; nil sets no limit
}

// acceptRetryDelay is the delay before the next connection is accepted when the process has no descriptor left.
const acceptRetryDelay = 50 * time.Millisecond

// Serve serves peers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return errors.Wrap(err, "peerlog: accept")
		}
		st := newStream(boundedWriter{c})
		st.guard = newGuard(c, s.Bodies)
		handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
			return s.handle(ctx, st, req)
		})
		conn := jsonrpc2.NewConn(ctx, st, st.guard.handler(handler), withLogger(s.Logger))
		go func() {
			select {
			case <-conn.DisconnectNotify():
			case <-ctx.Done():
				_ = conn.Close() // it may be closed already
			}
		}()
	}
}

// withLogger sends the messages of the RPC library, such as responses that could not be sent to a disconnected peer, to the
// logger of the host.
func withLogger(l hclog.Logger) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(l.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
}

// handle serves one call of a peer and sends the attachment of the response. Errors of the log are part of the response.
func (s *Server) handle(ctx context.Context, st *stream, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	var resp response
	var hold relaylimiter.Hold
	defer hold.Release() // the attachment has been sent then
	err := s.Recoverer.Call("peer server", func() error { return s.callLog(ctx, req.Method, *req.Params, &resp, &hold) })
	if errors.Is(err, recoverer.ErrPanic) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	if errors.Is(err, errInvalidCall) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if err != nil {
		resp.setFailure(err)
	}
	resp.Attachment, err = st.attach(resp.records)
	return resp, err
}

// errBusy reports that this host does all that it can for its peers. Other hosts reach the log, too.
var errBusy = errors.Mark(errors.New("peerlog: the host serves too many calls of peers; call another one"), errLogNotReached)

// errInvalidCall marks calls that name an unknown method or log, or that can't be decoded.
var errInvalidCall = errors.New("peerlog: invalid call")

// callLog calls the log that the parameters name and stores the result in resp. The room that the call takes is added to hold.
func (s *Server) callLog(ctx context.Context, method string, params json.RawMessage, resp *response, hold *relaylimiter.Hold) error {
	var ok bool
	switch method {
	case methodAppend:
		var p appendParams
		f, err := s.decodeParams(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		direct, err := f.direct()
		if err != nil {
			return err
		}
		if *hold, ok = s.Limiter.Append(); !ok {
			return errBusy
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		resp.Offset, err = direct.Append(ctx, p.Records, p.Condition)
		if !isLogResponse(err) {
			f.markDirectDown(err) // a host that reads through a relay would not notice it otherwise
		}
		return err
	case methodRead:
		var p readParams
		f, err := s.decodeParams(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		arrivedAt := time.Now()
		b, err := s.readForPeer(ctx, f, p, hold)
		f.Metrics.countServed(f.Name, b.Records)
		err = errors.CombineErrors(err, resp.setBatch(b, arrivedAt))
		resp.Batch.NoDirect = !f.canRelay()
		return err
	case methodNewest:
		var p newestParams
		f, err := s.decodeParams(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		arrivedAt := time.Now()
		page, err := s.readNewestForPeer(ctx, f, p, hold)
		f.Metrics.countServed(f.Name, page.Records)
		return errors.CombineErrors(err, resp.setPage(page, arrivedAt))
	}
	return errors.Mark(errors.Newf("peerlog: no method %q", method), errInvalidCall)
}

// decodeParams decodes the parameters into p and returns the log that they name.
func (s *Server) decodeParams(params json.RawMessage, p any, name func() string) (*FallbackLog, error) {
	if err := json.Unmarshal(params, p); err != nil {
		return nil, errors.Mark(err, errInvalidCall)
	}
	f := s.Logs[name()]
	if f == nil {
		return nil, errors.Mark(errors.Newf("peerlog: no log %q", name()), errInvalidCall)
	}
	return f, nil
}

// direct returns the direct connection to the log, or errLogNotReached while it is down.
func (f *FallbackLog) direct() (journaler.Log, error) {
	if f.DirectDown() {
		return nil, errLogNotReached
	}
	return f.Direct, nil
}

// readForPeer serves a read of a peer from the tail if the peer allows it and the tail has the records, else over the direct
// connection. The response is small enough to reach a peer with a slow link before the peer gives up.
func (s *Server) readForPeer(ctx context.Context, f *FallbackLog, p readParams, hold *relaylimiter.Hold) (journaler.Batch, error) {
	wait := min(max(time.Duration(p.WaitMS)*time.Millisecond, 0), maxPeerWait)
	if p.Tail == tailOnly {
		b, err := f.readForGroup(ctx, p.From, wait)
		return s.holdBatch(b, err, hold)
	}
	if p.Tail != tailNever {
		if b, ok := f.tail.read(ctx, p.From, wait); ok {
			return s.holdBatch(b, nil, hold)
		}
	}
	direct, err := f.direct()
	if err != nil {
		return journaler.Batch{}, err
	}
	var ok bool
	if *hold, ok = s.Limiter.Read(relaylimiter.ReadBytes); !ok {
		return journaler.Batch{}, errBusy
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	b, err := readConfirmed(ctx, shortReads{direct}, p.From, wait)
	b.Records = limitBytes(b.Records)
	hold.EndCall(sizeOf(b.Records))
	return b, err
}

// holdBatch takes room for a batch that this host has in its memory until it has been sent.
func (s *Server) holdBatch(b journaler.Batch, err error, hold *relaylimiter.Hold) (journaler.Batch, error) {
	var ok bool
	if *hold, ok = s.Limiter.Response(sizeOf(b.Records)); !ok {
		return journaler.Batch{}, errBusy
	}
	return b, err
}

// readNewestForPeer serves a page of newest records from the snapshot if the peer allows it and the snapshot is recent, else over
// the direct connection.
func (s *Server) readNewestForPeer(ctx context.Context, f *FallbackLog, p newestParams, hold *relaylimiter.Hold) (journaler.Page, error) {
	var ok bool
	if p.Tail != tailNever {
		page, err := f.snapshot.page(p.After)
		if *hold, ok = s.Limiter.Response(sizeOf(page.Records)); !ok {
			return journaler.Page{}, errBusy
		}
		if err == nil || p.Tail == tailOnly {
			return page, err
		}
	}
	direct, err := f.direct()
	if err != nil {
		return journaler.Page{}, err
	}
	if *hold, ok = s.Limiter.Read(relaylimiter.PageBytes); !ok {
		return journaler.Page{}, errBusy
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	page, err := direct.ReadNewest(ctx, p.After)
	page.ConfirmedAt = start
	hold.EndCall(sizeOf(page.Records))
	return page, err
}

// shortReader is a log that bounds the size of what a read returns.
type shortReader interface {
	ReadAtMost(ctx context.Context, offset model.Offset, wait time.Duration, maxBytes int) (journaler.Batch, error)
}

// shortReads is a log whose reads return no more than is sent to a peer, if the log can do that.
type shortReads struct{ journaler.Log }

// Read implements journaler.Log.
func (l shortReads) Read(ctx context.Context, offset model.Offset, wait time.Duration) (journaler.Batch, error) {
	if r, ok := l.Log.(shortReader); ok {
		return r.ReadAtMost(ctx, offset, wait, relaylimiter.ReadBytes)
	}
	return l.Log.Read(ctx, offset, wait)
}

// sizeOf returns the size of records.
func sizeOf(records []journaler.Record) int64 {
	n := int64(0)
	for _, r := range records {
		n += int64(recordBytes(r))
	}
	return n
}
