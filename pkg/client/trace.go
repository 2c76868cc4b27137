package client

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// connTrace records whether a request got a connection, so that part of it may have been sent.
type connTrace struct {
	request *http.Request
	gotConn atomic.Bool
}

// traceConn returns a trace with a copy of the request that reports to it.
func traceConn(r *http.Request) *connTrace {
	t := &connTrace{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		// net/http calls GotConn before it writes any byte of the request.
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
	t.request = r.WithContext(ctx)
	return t
}

// requestError converts a transport error; the outcome is not-run if the request got no connection, else unknown.
func (t *connTrace) requestError(err error) error {
	e := &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
		Message: "client: no whole answer: " + err.Error(),
		Remedy:  "ask for the state with the same id, or repeat with the same id",
	}
	if !t.gotConn.Load() {
		e.Outcome = model.OutcomeNotRun
		e.Message = "client: cannot connect: " + err.Error()
		e.Remedy = "try another entry host"
	}
	return e
}
