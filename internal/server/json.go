package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

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
// data are errors. After an error, the error response has been written.
func readJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	d.DisallowUnknownFields()
	err := d.Decode(target)
	if err == nil {
		if _, trailingErr := d.Token(); !errors.Is(trailingErr, io.EOF) {
			err = errors.New("more than one JSON value")
			if errors.HasType(trailingErr, (*http.MaxBytesError)(nil)) {
				err = trailingErr
			}
		}
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindTooLarge,
			Message: "the body is larger than " + strconv.FormatInt(maxBytes, 10) + " bytes", Remedy: "send less",
		})
		return false
	}
	writeError(w, &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
		Message: "cannot read the body: " + err.Error(), Remedy: "send one JSON object with the documented fields",
	})
	return false
}
