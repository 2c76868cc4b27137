package server

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// defaultDeadline is given to a service request that names none.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds the time that a request may hold a connection and a slot.
	maxDeadline = 10 * time.Minute
	// maxIDLen bounds ids that callers choose; they are kept in memory and in the log.
	maxIDLen = 128
)

func (s *Server) submit(w http.ResponseWriter, r *http.Request, id Identity) {
	var spec model.JobSpec
	if !readJSON(w, r, maxJSON, &spec) {
		return
	}
	if spec.Workspace != "" && spec.Workspace != id.Workspace {
		writeError(w, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindForbidden,
			Message: "the token belongs to another workspace", Remedy: "leave the workspace out or use its own token",
		})
		return
	}
	repeat, err := flagOf(r, client.HeaderRepeat)
	if err != nil {
		writeError(w, err)
		return
	}
	own, err := newJobID(spec.ID)
	if err != nil {
		writeError(w, err)
		return
	}
	spec.ID, spec.Workspace, spec.Caller = scoped(id.Workspace, own), id.Workspace, id.Caller
	job, err := s.Backend.Submit(r.Context(), spec)
	if err != nil {
		err = unscopedError(id.Workspace, err)
		if repeat {
			err = unknownError(err)
		}
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, unscoped(id.Workspace, job))
}

// unknownError makes the refusal of a repeated submission unknown: the record of the first one may still be on its way.
func unknownError(err error) error {
	var e *model.Error
	if !errors.As(err, &e) || e.Outcome != model.OutcomeNotRun {
		return err
	}
	u := *e
	u.Outcome = model.OutcomeUnknown
	return &u
}

func (s *Server) jobs(w http.ResponseWriter, r *http.Request, id Identity) {
	jobs, err := s.Backend.Jobs(r.Context(), id.Workspace)
	if err != nil {
		writeError(w, err)
		return
	}
	own := make([]model.Job, 0, len(jobs))
	for _, j := range jobs {
		own = append(own, unscoped(id.Workspace, j))
	}
	writeJSON(w, http.StatusOK, model.JobsResponse{Jobs: own})
}

func (s *Server) job(w http.ResponseWriter, r *http.Request, id Identity) {
	wait, err := waitOf(r)
	if err != nil {
		writeError(w, err)
		return
	}
	job, err := s.Backend.Job(r.Context(), id.Workspace, jobIDOf(r, id), time.Now().Add(wait))
	if err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	writeJSON(w, http.StatusOK, unscoped(id.Workspace, job))
}

// jobIDOf returns the id of the path within the caller's workspace.
func jobIDOf(r *http.Request, id Identity) model.JobID {
	return scoped(id.Workspace, model.JobID(r.PathValue("id")))
}

// waitOf reads the parameter wait-ms of a long poll.
func waitOf(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait-ms")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0, &model.Error{
			Kind: model.ErrorKindInvalid, Message: "wait-ms is no whole number of milliseconds",
			Remedy: "give a number of 0 or more",
		}
	}
	return min(time.Duration(min(ms, maxWait.Milliseconds()))*time.Millisecond, maxWait), nil
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, id Identity) {
	if err := s.Backend.Cancel(r.Context(), id.Workspace, jobIDOf(r, id)); err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, id Identity) {
	e, err := s.Backend.Explain(r.Context(), id.Workspace, jobIDOf(r, id))
	if err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	e.Job, e.Reason = model.JobID(r.PathValue("id")), unscopedText(id.Workspace, e.Reason)
	writeJSON(w, http.StatusOK, e)
}

func (s *Server) call(w http.ResponseWriter, r *http.Request, id Identity) {
	req, err := requestOf(r, id)
	if err != nil {
		writeError(w, asRepeat(r, err))
		return
	}
	limit := int64(s.Backend.MaxBodySize(req.Service))
	req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		writeError(w, asRepeat(r, bodyError(err, limit)))
		return
	}
	answer, err := s.Backend.Call(r.Context(), req)
	if err != nil {
		writeError(w, err)
		return
	}
	h := w.Header()
	h.Set(client.HeaderRequestID, string(req.RequestID))
	h.Set(client.HeaderOutcome, string(model.OutcomeAnswered))
	h.Set(client.HeaderRunner, string(answer.Runner))
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	boundWrite(w)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Body)
}

// bodyError explains why the body of a service request could not be read; nothing was sent to a runner.
func bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindTooLarge,
			Message: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes",
			Remedy:  "send less, or ask an operator to raise max-body of the service",
		}
	}
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
		Message: "the body ended early: " + err.Error(), Remedy: "send the whole body",
	}
}

// flagOf reads a header that is true or false; absent means false.
func flagOf(r *http.Request, name string) (bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return false, nil
	}
	set, err := strconv.ParseBool(text)
	if err != nil {
		return false, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "the header " + name + " is neither true nor false", Remedy: "correct the header",
		}
	}
	return set, nil
}

func requestOf(r *http.Request, id Identity) (AuthenticatedCall, error) {
	req := AuthenticatedCall{Workspace: id.Workspace, Caller: id.Caller}
	req.Service = model.ServiceID(r.PathValue("service"))
	req.Class = model.ClassID(r.Header.Get(client.HeaderClass))
	req.RequestID = model.RequestID(r.Header.Get(client.HeaderRequestID))
	if req.RequestID == "" || len(req.RequestID) > maxIDLen {
		return req, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: "no usable Request-Id",
			Remedy: "send a UUIDv7 in the header Request-Id, the same one in each repeat",
		}
	}
	var err error
	if req.Idempotent, err = flagOf(r, client.HeaderIdempotent); err != nil {
		return req, err
	}
	if req.IsRetry, err = flagOf(r, client.HeaderRepeat); err != nil {
		return req, err
	}
	wait := defaultDeadline
	if text := r.Header.Get(client.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return req, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindDeadline,
				Message: "the deadline has passed or is no number of milliseconds",
				Remedy:  "send the remaining milliseconds in the header Deadline-Ms",
			}
		}
		wait = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	req.Deadline = time.Now().Add(wait)
	return req, nil
}
