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

// Submit hands in a job; a repeat with the same id and content is one job.
func (c *Client) Submit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var j model.Job
	err := c.do(ctx, http.MethodPost, "/v1/jobs", spec, &j)
	return j, err
}

// Resubmit hands a job in again after an unknown outcome; a refusal of it is unknown too.
func (c *Client) Resubmit(ctx context.Context, spec model.JobSpec) (model.Job, error) {
	var j model.Job
	err := c.doWith(ctx, http.Header{HeaderRepeat: {"true"}}, http.MethodPost, "/v1/jobs", spec, &j)
	return j, unsent(true, err)
}

// Job returns a job, after waiting up to wait for it to end.
func (c *Client) Job(ctx context.Context, id model.JobID, wait time.Duration) (model.Job, error) {
	var j model.Job
	path := "/v1/jobs/" + url.PathEscape(string(id)) + "?wait-ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.do(ctx, http.MethodGet, path, nil, &j)
	return j, err
}

// Jobs lists the jobs of the caller's workspace that are waiting, running or ended recently.
func (c *Client) Jobs(ctx context.Context) ([]model.Job, error) {
	var reply model.JobsResponse
	err := c.do(ctx, http.MethodGet, "/v1/jobs", nil, &reply)
	return reply.Jobs, err
}

// Cancel asks for the end of a job.
func (c *Client) Cancel(ctx context.Context, id model.JobID) error {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil, nil)
}

// Explain tells why a job waits.
func (c *Client) Explain(ctx context.Context, id model.JobID) (model.Explanation, error) {
	var e model.Explanation
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id))+"/explain", nil, &e)
	return e, err
}

// CallRequest describes a service request.
type CallRequest struct {
	Service    model.ServiceID
	RequestID  model.RequestID // UUIDv7 when not idempotent
	Class      model.ClassID   // empty means the service's first class
	Idempotent bool
	IsRetry    bool // an earlier call with the same id may have been sent
	Deadline   time.Time
	Body       []byte
}

// CallResponse is the whole answer to a service request.
type CallResponse struct {
	Body   []byte
	Runner model.HostID
}

// Call sends a service request and waits for its answer; a failure is a *model.Error with an outcome.
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
		return CallResponse{}, unsent(call.IsRetry, err)
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

// unsent makes a not-run unknown when an earlier call with the id may have been sent: this host only knows of its own.
func unsent(repeat bool, err error) error {
	var e *model.Error
	if repeat && errors.As(err, &e) && e.Outcome == model.OutcomeNotRun {
		u := *e
		u.Outcome = model.OutcomeUnknown
		return &u
	}
	return err
}
