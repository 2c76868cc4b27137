package peerclient

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// codeUnauthorized refuses calls on a connection without a valid hello.
const codeUnauthorized = -32001

// Server answers the calls of peers on a listener.
type Server struct {
	handler Handler
	opts    Options
}

// NewServer returns a server that passes calls to the handler.
func NewServer(h Handler, opts Options) *Server {
	return &Server{handler: h, opts: opts.withDefaults()}
}

// Serve accepts connections until the context ends, then closes them all and the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer l.Close()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			// Accept fails for a while when the process is out of file descriptors.
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "peerclient: accept")
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &connHandler{server: s, slots: make(chan struct{}, s.opts.MaxCalls)}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(writeBound{c, s.opts.Timeout}, lineCodec{s.opts.MaxMessage}), h)
	defer h.wait()
	defer conn.Close()
	timer := time.AfterFunc(s.opts.Timeout, func() {
		if !h.greeted.Load() {
			conn.Close()
		}
	})
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-conn.DisconnectNotify():
	}
}

// connHandler handles the calls of one connection.
type connHandler struct {
	server  *Server
	greeted atomic.Bool
	slots   chan struct{}
}

// Handle checks the hello and runs each further call in its own goroutine, bounded by slots.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	if !h.greeted.Load() {
		h.greet(ctx, conn, req)
		return
	}
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-h.slots }()
		ctx, cancel := context.WithTimeout(ctx, h.server.opts.Timeout)
		defer cancel()
		result, err := h.call(ctx, req)
		if err != nil {
			// A failed reply shows as a closed connection.
			_ = conn.ReplyWithError(ctx, req.ID, asRPCError(err))
			return
		}
		if err := conn.Reply(ctx, req.ID, result); errors.Is(err, ErrTooLarge) {
			_ = conn.ReplyWithError(ctx, req.ID, asRPCError(err))
		}
	}()
}

// wait returns when no call is in progress; it takes all slots, so that none can begin.
func (h *connHandler) wait() {
	for range cap(h.slots) {
		h.slots <- struct{}{}
	}
}

func (h *connHandler) greet(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var p hello
	want := h.server.opts.Secret
	ok := req.Method == methodHello && req.Params != nil && json.Unmarshal(*req.Params, &p) == nil
	if !ok || want != "" && subtle.ConstantTimeCompare([]byte(p.Secret), []byte(want)) != 1 {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
			Code: codeUnauthorized, Message: "hello with the shared secret is required",
		})
		_ = conn.Close()
		return
	}
	h.greeted.Store(true)
	_ = conn.Reply(ctx, req.ID, struct{}{})
}

func (h *connHandler) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHeartbeat:
		return dispatch(ctx, req, h.server.handler.Heartbeat)
	case methodConfigSince:
		return dispatch(ctx, req, h.server.handler.ConfigSince)
	case methodAnswer:
		return dispatch(ctx, req, h.server.handler.Answer)
	case methodJobsSince:
		return dispatch(ctx, req, h.server.handler.JobsSince)
	case methodExplain:
		return dispatch(ctx, req, h.server.handler.ExplainJob)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
}

func dispatch[P, R any](ctx context.Context, req *jsonrpc2.Request, f func(context.Context, P) (R, error)) (any, error) {
	var p P
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are missing"}
	}
	if err := json.Unmarshal(*req.Params, &p); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(ctx, p)
}

func asRPCError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
