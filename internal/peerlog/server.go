package peerlog

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"chestnutmux.example/chestnutmux/internal/journaler"
)

// callTimeout bounds a call to the log for a peer, beyond its wait.
const callTimeout = time.Second

// Server calls the log for peers; it uses only this host's own way to the log.
type Server struct {
	Logs   map[string]*FallbackLog // by name
	Logger hclog.Logger
}

// Serve answers peers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "peerlog: accept")
		}
		stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
		conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)), logTo(s.Logger))
		go func() {
			select {
			case <-conn.DisconnectNotify():
			case <-ctx.Done():
				_ = conn.Close() // it may be closed already
			}
		}()
	}
}

// logTo keeps the lines of a connection, such as answers to a peer that has gone, in the log of the host.
func logTo(l hclog.Logger) jsonrpc2.ConnOpt {
	return jsonrpc2.SetLogger(l.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
}

// handle answers one call; failures of the log are part of the answer.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	var r reply
	err := s.call(ctx, req.Method, *req.Params, &r)
	if errors.Is(err, errBadCall) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if err != nil {
		r.fail(err)
	}
	return r, nil
}

// errBadCall marks calls that can't be decoded.
var errBadCall = errors.New("peerlog: bad call")

func (s *Server) call(ctx context.Context, method string, params json.RawMessage, r *reply) error {
	switch method {
	case methodAppend:
		var p appendParams
		log, err := s.decode(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		r.Offset, err = log.Append(ctx, p.Records, p.Condition)
		return err
	case methodRead:
		var p readParams
		log, err := s.decode(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		wait := time.Duration(p.WaitMS) * time.Millisecond
		ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		defer cancel()
		b, err := log.Read(ctx, p.From, wait)
		r.Batch = &b
		return err
	case methodNewest:
		var p newestParams
		log, err := s.decode(params, &p, func() string { return p.Log })
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		page, err := log.ReadNewest(ctx, p.After)
		r.Page = &page
		return err
	}
	return errors.Mark(errors.Newf("peerlog: no method %q", method), errBadCall)
}

// decode reads the parameters and returns the log that they name.
func (s *Server) decode(params json.RawMessage, p any, name func() string) (journaler.Log, error) {
	if err := json.Unmarshal(params, p); err != nil {
		return nil, errors.Mark(err, errBadCall)
	}
	f := s.Logs[name()]
	if f == nil {
		return nil, errors.Mark(errors.Newf("peerlog: no log %q", name()), errBadCall)
	}
	if f.DirectDown() {
		return nil, errNoLog
	}
	return f.Direct, nil
}
