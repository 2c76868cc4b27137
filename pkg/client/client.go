package client

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Names of HTTP headers of requests and responses.
const (
	HeaderRequestID  = "Request-Id"  // id of a service request; the response carries it, too
	HeaderDeadline   = "Deadline-Ms" // milliseconds left until the deadline
	HeaderIdempotent = "Idempotent"  // true if the request may be run more than once; absent means false
	HeaderRepeat     = "Repeat"      // true for a retry: an earlier request with the same id may have been sent
	HeaderClass      = "Class"       // class of the request
	HeaderOutcome    = "Outcome"     // a model.Outcome
	HeaderRunner     = "Runner"      // id of the runner that processed the request
)

// defaultMaxResponseBytes is the maximum size of a response body if Client.MaxResponseBytes is 0.
const defaultMaxResponseBytes model.Bytes = 64 << 20

// Client sends requests to an entry host or to a load balancer in front of the entry hosts.
type Client struct {
	// BaseURL is the URL of the entry host, for example http://10.0.0.1:7000.
	BaseURL string
	// Token is the bearer token of the caller or operator.
	Token string
	// MaxResponseBytes is the maximum size of a response body, which is read into memory; 0 means 64 MiB.
	MaxResponseBytes model.Bytes
	// HTTPClient sends the requests; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// send sends a request and reads the response. The outcome of an error is not-run if no connection could be made, and
// unknown after any later failure.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, body)
	if err != nil {
		return nil, nil, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "client: " + err.Error(), Remedy: "correct the address of the entry host",
		}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	trace := traceConn(req)
	resp, err := c.http().Do(trace.request)
	if err != nil {
		return nil, nil, trace.requestError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	limit := int64(cmp.Or(c.MaxResponseBytes, defaultMaxResponseBytes))
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, trace.requestError(err)
	}
	if int64(len(data)) > limit {
		// The body is discarded, because the caller could take the truncated body for a complete one.
		return nil, nil, &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindTooLarge,
			Message: "client: the answer is larger than " + strconv.FormatInt(limit, 10) + " bytes",
			Remedy:  "raise MaxResponseBytes of the client and repeat with the same id",
		}
	}
	return resp, data, nil
}

func (c *Client) http() *http.Client {
	if c.HTTPClient != nil {
		return c.HTTPClient
	}
	return http.DefaultClient
}

// do sends the value request as JSON and decodes the body of the response into the value response; either may be nil.
func (c *Client) do(ctx context.Context, method, path string, request, response any) error {
	return c.doWithHeader(ctx, http.Header{}, method, path, request, response)
}

// doWithHeader does the same as do and sends additional headers.
func (c *Client) doWithHeader(ctx context.Context, header http.Header, method, path string, request, response any) error {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return &model.Error{
				Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
				Message: "client: " + err.Error(), Remedy: "correct the request",
			}
		}
		body = bytes.NewReader(data)
		header.Set("Content-Type", "application/json")
	}
	resp, data, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp, data)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(data, response); err != nil {
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
			Message: "client: cannot read the answer: " + err.Error(), Remedy: "check that the address is an entry host",
		}
	}
	return nil
}

// decodeError decodes the *model.Error in the body of an error response. A body that holds none, for example one from a load
// balancer, yields an error of kind upstream with the outcome unknown.
func decodeError(resp *http.Response, data []byte) error {
	e := &model.Error{}
	if err := json.Unmarshal(data, e); err != nil || e.Kind == "" {
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
			Message: "client: status " + resp.Status, Remedy: "check that the address is an entry host",
		}
	}
	return e
}
