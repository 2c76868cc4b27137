package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/bodyreader"
	"chestnutmux.example/chestnutmux/internal/connlimiter"
	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// defaultCallTimeout is the timeout of a service request without the header Deadline-Ms.
	defaultCallTimeout = 30 * time.Second
	// maxCallTimeout limits how long a service request can occupy a connection and a slot.
	maxCallTimeout = 10 * time.Minute
	// maxIDLen limits the length of the ids that callers choose, because entry hosts keep them in memory and in the log.
	maxIDLen = 128
)

func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request, id Identity) {
	var spec model.JobSpec
	release, ok := s.readJSON(w, r, maxJSONBytes, &spec)
	if !ok {
		return
	}
	defer release()
	if spec.Workspace != "" && spec.Workspace != id.Workspace {
		writeError(w, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindForbidden,
			Message: "the token belongs to another workspace", Remedy: "leave the workspace out or use its own token",
		})
		return
	}
	isRetry, err := parseBoolHeader(r, client.HeaderRepeat)
	if err != nil {
		writeError(w, err)
		return
	}
	jobID, err := checkedJobID(spec.ID)
	if err != nil {
		writeError(w, err)
		return
	}
	spec.ID, spec.Workspace, spec.Caller = scopedJobID(id.Workspace, jobID), id.Workspace, id.Caller
	job, err := s.Backend.Submit(r.Context(), spec)
	if err != nil {
		err = unscopedError(id.Workspace, err)
		if isRetry {
			err = unknownIfNotRun(err)
		}
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusAccepted, unscopedJob(id.Workspace, job))
}

// unknownIfNotRun changes the outcome of a refused resubmission from not-run to unknown, because the record of an earlier
// submission may be in the log or may still arrive there.
func unknownIfNotRun(err error) error {
	var e *model.Error
	if !errors.As(err, &e) || e.Outcome != model.OutcomeNotRun {
		return err
	}
	unknown := *e
	unknown.Outcome = model.OutcomeUnknown
	return &unknown
}

func (s *Server) handleListJobs(w http.ResponseWriter, r *http.Request, id Identity) {
	s.lists.write(w, r, s.Logger, func() (any, error) {
		jobs, err := s.Backend.Jobs(r.Context(), id.Workspace)
		if err != nil {
			return nil, err
		}
		visible := make([]model.Job, 0, len(jobs))
		for _, j := range jobs {
			visible = append(visible, unscopedJob(id.Workspace, j))
		}
		return model.JobsResponse{Jobs: visible}, nil
	})
}

func (s *Server) handleGetJob(w http.ResponseWriter, r *http.Request, id Identity) {
	wait, err := parseWait(r)
	if err != nil {
		writeError(w, err)
		return
	}
	job, err := s.Backend.Job(r.Context(), id.Workspace, pathJobID(r, id), time.Now().Add(wait))
	if err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	writeJSON(w, http.StatusOK, unscopedJob(id.Workspace, job))
}

// pathJobID returns the scoped id of the job in the path of the request.
func pathJobID(r *http.Request, id Identity) model.JobID {
	return scopedJobID(id.Workspace, model.JobID(r.PathValue("id")))
}

// parseWait returns the value of the query parameter wait-ms, limited to maxPollWait.
func parseWait(r *http.Request) (time.Duration, error) {
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
	return min(time.Duration(min(ms, maxPollWait.Milliseconds()))*time.Millisecond, maxPollWait), nil
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, id Identity) {
	if err := s.Backend.Cancel(r.Context(), id.Workspace, pathJobID(r, id)); err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Server) handleExplain(w http.ResponseWriter, r *http.Request, id Identity) {
	e, err := s.Backend.Explain(r.Context(), id.Workspace, pathJobID(r, id))
	if err != nil {
		writeError(w, unscopedError(id.Workspace, err))
		return
	}
	e.Job, e.Reason = model.JobID(r.PathValue("id")), unscopedText(id.Workspace, e.Reason)
	writeJSON(w, http.StatusOK, e)
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, id Identity) {
	req, err := parseCall(r, id)
	if err != nil {
		writeError(w, unknownIfRetry(r, err))
		return
	}
	maxBytes := int64(s.Backend.MaxBodyBytes(req.Service))
	body, err := s.Bodies.Read(r.Body, r.ContentLength, maxBytes, connlimiter.OfRequest(r))
	if err != nil {
		writeError(w, unknownIfRetry(r, bodyReadError(w, r, err, maxBytes, "send less, or ask an operator to raise max-body of the service")))
		return
	}
	defer body.Release()
	req.Body = body.Data
	response, err := s.Backend.Call(r.Context(), req)
	if err != nil {
		writeError(w, err)
		return
	}
	h := w.Header()
	h.Set(client.HeaderRequestID, string(req.RequestID))
	h.Set(client.HeaderOutcome, string(model.OutcomeAnswered))
	h.Set(client.HeaderRunner, string(response.Runner))
	h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	setWriteDeadline(w)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(response.Body)
}

// bodyRetryDelayMS is when a client whose body was refused may try again.
const bodyRetryDelayMS = 2000

// refuseBody lets the connection of a request end with the response, without reading the rest of its body.
func refuseBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	connlimiter.OfRequest(r).Refuse()
}

// bodyReadError converts an error in reading the body of a request. The outcome is not-run, because nothing was done with the
// request yet. If the rest of the body is not wanted, the connection ends with the response.
func bodyReadError(w http.ResponseWriter, r *http.Request, err error, maxBytes int64, tooLargeRemedy string) error {
	switch {
	case errors.Is(err, bodyreader.ErrTooLarge):
		refuseBody(w, r)
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindTooLarge,
			Message: "the body is larger than " + strconv.FormatInt(maxBytes, 10) + " bytes", Remedy: tooLargeRemedy,
		}
	case errors.Is(err, bodyreader.ErrNoBudget):
		refuseBody(w, r)
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindOverloaded, RetryAfterMS: bodyRetryDelayMS,
			Message: "requests in progress use the memory for bodies", Remedy: "repeat after retry-after",
		}
	case errors.Is(err, bodyreader.ErrTooSlow):
		refuseBody(w, r)
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, RetryAfterMS: bodyRetryDelayMS,
			Message: "the body did not arrive in time", Remedy: "repeat after retry-after, and send the whole body in one go",
		}
	}
	return &model.Error{
		Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
		Message: "the body ended early: " + err.Error(), Remedy: "send the whole body",
	}
}

// parseBoolHeader returns the value of a boolean header; a missing header is false.
func parseBoolHeader(r *http.Request, name string) (bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "the header " + name + " is neither true nor false", Remedy: "correct the header",
		}
	}
	return value, nil
}

// parseCall returns the service request that the path and the headers describe, without its body.
func parseCall(r *http.Request, id Identity) (AuthenticatedCall, error) {
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
	if req.Idempotent, err = parseBoolHeader(r, client.HeaderIdempotent); err != nil {
		return req, err
	}
	if req.IsRetry, err = parseBoolHeader(r, client.HeaderRepeat); err != nil {
		return req, err
	}
	timeout := defaultCallTimeout
	if text := r.Header.Get(client.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return req, &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindDeadline,
				Message: "the deadline has passed or is no number of milliseconds",
				Remedy:  "send the remaining milliseconds in the header Deadline-Ms",
			}
		}
		timeout = time.Duration(min(ms, maxCallTimeout.Milliseconds())) * time.Millisecond
	}
	req.Deadline = time.Now().Add(timeout)
	return req, nil
}
