package log

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fake/fault"
	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/logclient"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Handler returns the HTTP handler for the log's API and for its fault injection under /admin/.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{s}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{s}/records", l.serveRead)
	mux.HandleFunc("GET /v1/streams/{s}/newest", l.serveNewest)
	return l.Wrap(mux, l.stats)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req logclient.AppendRequest
	if !fault.ReadJSON(w, r, &req) {
		return
	}
	off, err := l.Append(r.PathValue("s"), req.Records, req.AppendCondition)
	if err != nil {
		writeError(w, err)
		return
	}
	fault.WriteJSON(w, http.StatusOK, logclient.AppendResponse{Offset: off})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if err := errors.Join(fromErr, waitErr); err != nil {
		fault.WriteError(w, http.StatusBadRequest, model.ErrorKindInvalid, "from and wait-ms must be numbers")
		return
	}
	b, err := l.Read(r.Context(), r.PathValue("s"), model.Offset(from), time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	fault.WriteJSON(w, http.StatusOK, b)
}

func (l *Log) serveNewest(w http.ResponseWriter, r *http.Request) {
	fault.WriteJSON(w, http.StatusOK, l.ReadNewest(r.PathValue("s"), r.URL.Query().Get("after")))
}

// writeError writes the response for an error of Append or Read; an error without a type of its own means overload.
func writeError(w http.ResponseWriter, err error) {
	var mismatch *journaler.OffsetMismatchError
	var seq *journaler.SequenceError
	var trimmed *journaler.TrimmedError
	switch {
	case errors.As(err, &mismatch):
		fault.WriteJSON(w, http.StatusConflict, logclient.RefusalResponse{Refusal: logclient.RefusedOffsetMismatch, EndOffset: mismatch.EndOffset})
	case errors.As(err, &seq):
		fault.WriteJSON(w, http.StatusConflict, logclient.RefusalResponse{Refusal: logclient.RefusedSequence, ExpectedSeq: seq.ExpectedSeq})
	case errors.Is(err, journaler.ErrFenced):
		fault.WriteJSON(w, http.StatusConflict, logclient.RefusalResponse{Refusal: logclient.RefusedFenced})
	case errors.As(err, &trimmed):
		fault.WriteJSON(w, http.StatusGone, logclient.RefusalResponse{Refusal: logclient.RefusedTrimmed, FirstOffset: trimmed.FirstOffset})
	default:
		w.Header().Set("Retry-After", "1")
		fault.WriteError(w, http.StatusTooManyRequests, model.ErrorKindOverloaded, "the log takes no appends at present")
	}
}
