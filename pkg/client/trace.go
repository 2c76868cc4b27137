package client

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// sentTrace tells whether any byte of a request may have left this host.
type sentTrace struct {
	request *http.Request
	wrote   atomic.Bool
}

// traceSent attaches a trace to a request.
func traceSent(r *http.Request) *sentTrace {
	t := &sentTrace{}
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		// A connection is handed out before any byte is written on it.
		GotConn: func(httptrace.GotConnInfo) { t.wrote.Store(true) },
	})
	t.request = r.WithContext(ctx)
	return t
}

// failure is not-run when no connection was used, else unknown.
func (t *sentTrace) failure(err error) error {
	e := &model.Error{
		Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
		Message: "client: no whole answer: " + err.Error(),
		Remedy:  "ask for the state with the same id, or repeat with the same id",
	}
	if !t.wrote.Load() {
		e.Outcome = model.OutcomeNotRun
		e.Message = "client: cannot connect: " + err.Error()
		e.Remedy = "try another entry host"
	}
	return e
}
