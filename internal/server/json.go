package server

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/connlimiter"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// statusByErrorKind maps the kind of an error to the HTTP status of the response. Other kinds have status 502.
var statusByErrorKind = map[model.ErrorKind]int{
	model.ErrorKindInvalid:        http.StatusBadRequest,
	model.ErrorKindConflict:       http.StatusConflict,
	model.ErrorKindUnauthorized:   http.StatusUnauthorized,
	model.ErrorKindForbidden:      http.StatusForbidden,
	model.ErrorKindNotFound:       http.StatusNotFound,
	model.ErrorKindLogUnavailable: http.StatusServiceUnavailable,
	model.ErrorKindNotReady:       http.StatusServiceUnavailable,
	model.ErrorKindOverloaded:     http.StatusTooManyRequests,
	model.ErrorKindDeadline:       http.StatusGatewayTimeout,
	model.ErrorKindDraining:       http.StatusServiceUnavailable,
	model.ErrorKindNeverRunnable:  http.StatusUnprocessableEntity,
	model.ErrorKindAlreadyClaimed: http.StatusConflict,
	model.ErrorKindNoRunner:       http.StatusServiceUnavailable,
	model.ErrorKindUpstream:       http.StatusBadGateway,
	model.ErrorKindTooLarge:       http.StatusRequestEntityTooLarge,
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeEncoded(w, status, data)
}

// writeEncoded writes a response that is encoded already.
func writeEncoded(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	setWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// setWriteDeadline limits the time for writing the response, so that a client that does not read it is disconnected.
func setWriteDeadline(w http.ResponseWriter) {
	// An error is possible only if the writer has no connection, as in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeError writes an error as a *model.Error; an error of another type gets the outcome unknown.
func writeError(w http.ResponseWriter, err error) {
	var e *model.Error
	if !errors.As(err, &e) {
		e = &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
			Message: err.Error(), Remedy: "repeat with the same id",
		}
	}
	status, ok := statusByErrorKind[e.Kind]
	if !ok {
		status = http.StatusBadGateway
	}
	writeErrorWithStatus(w, status, e)
}

// writeErrorWithStatus writes an error with the given HTTP status and the headers that go with the error.
func writeErrorWithStatus(w http.ResponseWriter, status int, e *model.Error) {
	if e.Outcome != "" {
		w.Header().Set(client.HeaderOutcome, string(e.Outcome))
	}
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if e.Kind == model.ErrorKindDraining {
		w.Header().Set("Connection", "close")
	}
	writeJSON(w, status, e)
}

// readJSON decodes a body of at most maxBytes bytes into target and reports whether it succeeded. Unknown fields and trailing
// data are errors. After an error, the error response has been written. The caller releases the body's charge when the request is
// done.
func (s *Server) readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) (release func(), ok bool) {
	body, err := s.Bodies.Read(r.Body, r.ContentLength, maxBytes, connlimiter.OfRequest(r))
	if err != nil {
		writeError(w, unknownIfRetry(r, bodyReadError(w, r, err, maxBytes, "send less")))
		return nil, false
	}
	endDecoding, err := s.startDecoding(r, len(body.Data))
	if err != nil {
		body.Release()
		return nil, false // the caller has disconnected
	}
	defer endDecoding()
	d := json.NewDecoder(bytes.NewReader(body.Data))
	d.DisallowUnknownFields()
	err = d.Decode(target)
	if err == nil {
		if _, trailingErr := d.Token(); !errors.Is(trailingErr, io.EOF) {
			err = errors.New("more than one JSON value")
		}
	}
	if err == nil {
		return body.Release, true
	}
	body.Release()
	writeError(w, &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
		Message: "cannot read the body: " + err.Error(), Remedy: "send one JSON object with the documented fields",
	})
	return nil, false
}
