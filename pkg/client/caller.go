package client

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Submit submits a job. Submitting it again with the same id and content does not create a second job.
func (c *Client) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var j model.Job
	err := c.do(ctx, http.MethodPost, "/v1/jobs", spec, &j)
	return j, err
}

// Resubmit submits a job again after a submission of unknown outcome. If it is refused, the outcome stays unknown, because
// the first submission may have been accepted.
func (c *Client) Resubmit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var j model.Job
	err := c.doWithHeader(ctx, http.Header{HeaderRepeat: {"true"}}, http.MethodPost, "/v1/jobs", spec, &j)
	return j, unknownIfRetry(true, err)
}

// Job returns a job when it has ended, or in its current state after the duration wait.
func (c *Client) Job(ctx context.Context, id model.JobID, wait time.Duration) (model.Job, error) {
	var j model.Job
	path := "/v1/jobs/" + url.PathEscape(string(id)) + "?wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.do(ctx, http.MethodGet, path, nil, &j)
	return j, err
}

// Jobs lists the jobs of the caller's workspace that are queued, are running or have ended recently.
func (c *Client) Jobs(ctx context.Context) ([]model.Job, error) {
	var response model.JobsResponse
	err := c.do(ctx, http.MethodGet, "/v1/jobs", nil, &response)
	return response.Jobs, err
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id model.JobID) error {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil)
}

// Explain returns the reason for the state of a job, for example why it is still queued.
func (c *Client) Explain(ctx context.Context, id model.JobID) (model.Explanation, error) {
	var e model.Explanation
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id))+"/explain", nil, &e)
	return e, err
}

// CallRequest is a service request.
type CallRequest struct {
	Service    model.ServiceID
	RequestID  model.RequestID // a UUIDv7 unless the request is idempotent
	Class      model.ClassID   // empty means the first class of the service
	Idempotent bool            // the request may be run more than once
	IsRetry    bool            // the request may have been sent before with the same id
	Deadline   time.Time       // the zero time leaves the deadline to the entry host
	Body       []byte
}

// CallResponse is the response to a service request.
type CallResponse struct {
	Body   []byte
	Runner model.HostID // runner that processed the request
}

// Call sends a service request and waits for the response. Each error is a *model.Error with an outcome.
func (c *Client) Call(ctx context.Context, call CallRequest) (CallResponse, error) {
	header := http.Header{}
	header.Set(HeaderRequestID, string(call.RequestID))
	header.Set(HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	if call.IsRetry {
		header.Set(HeaderRepeat, "true")
	}
	if call.Class != "" {
		header.Set(HeaderClass, string(call.Class))
	}
	if !call.Deadline.IsZero() {
		header.Set(HeaderDeadline, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	}
	path := "/v1/services/" + url.PathEscape(string(call.Service)) + "/call"
	resp, data, err := c.send(ctx, http.MethodPost, path, header, bytes.NewReader(call.Body))
	if err != nil {
		return CallResponse{}, unknownIfRetry(call.IsRetry, err)
	}
	if resp.StatusCode != http.StatusOK {
		return CallResponse{}, decodeError(resp, data)
	}
	if got := resp.Header.Get(HeaderRequestID); got != string(call.RequestID) {
		return CallResponse{}, &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
			Message: "client: the answer belongs to request " + got,
			Remedy:  "repeat with the same id",
		}
	}
	return CallResponse{Body: data, Runner: model.HostID(resp.Header.Get(HeaderRunner))}, nil
}

// unknownIfRetry changes the outcome of an error from not-run to unknown if the request is a retry: the error refers to this
// attempt only, and an earlier attempt with the same id may have been run.
func unknownIfRetry(isRetry bool, err error) error {
	var e *model.Error
	if isRetry && errors.As(err, &e) && e.Outcome == model.OutcomeNotRun {
		unknown := *e
		unknown.Outcome = model.OutcomeUnknown
		return &unknown
	}
	return err
}
