package client

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// connTrace records whether a request got a connection. Without one, no part of the request can have been sent.
type connTrace struct {
	request *http.Request
	gotConn atomic.Bool
}

// traceConn returns a connTrace whose field request is a copy of r that updates the trace when it is sent.
func traceConn(r *http.Request) *connTrace {
	t := &connTrace{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		// net/http calls GotConn before it writes any byte of the request.
		GotConn: func(httptrace.GotConnInfo) { t.gotConn.Store(true) },
	})
	t.request = r.WithContext(ctx)
	return t
}

// requestError converts an error of the transport to a *model.Error. Its outcome is not-run if the request got no connection,
// and unknown otherwise.
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
