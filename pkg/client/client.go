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

// Headers of requests and answers.
const (
	HeaderRequestID  = "Request-Id"
	HeaderDeadline   = "Deadline-Ms" // remaining milliseconds
	HeaderIdempotent = "Idempotent"  // true or false; absent means false
	HeaderRepeat     = "Repeat"      // true when an earlier call with the same id may have been sent
	HeaderClass      = "Class"
	HeaderOutcome    = "Outcome"
	HeaderRunner     = "Runner"
)

// defaultMaxAnswer bounds an answer unless the client says otherwise.
const defaultMaxAnswer model.Bytes = 64 << 20

// Client sends requests to one entry host or to the balancer before them.
type Client struct {
	// BaseURL is the URL of the entry host, for example http://10.0.0.1:7000.
	BaseURL string
	// Token is the bearer token of the caller or operator.
	Token string
	// MaxAnswer bounds an answer that is read into memory; 0 means 64 MiB.
	MaxAnswer model.Bytes
	// HTTPClient is used when set, else http.DefaultClient.
	HTTPClient *http.Client
}

// send performs a request; a connection that could not be made is not-run, any later failure unknown.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, body)
	if err != nil {
		return nil, nil, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid,
			Message: "client: " + err.Error(), Remedy: "correct the address of the entry host",
		}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	sent := traceSent(r)
	resp, err := c.http().Do(sent.request)
	if err != nil {
		return nil, nil, sent.failure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	limit := int64(cmp.Or(c.MaxAnswer, defaultMaxAnswer))
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, sent.failure(err)
	}
	if int64(len(data)) > limit {
		// A cut answer would look whole.
		return nil, nil, &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindTooLarge,
			Message: "client: the answer is larger than " + strconv.FormatInt(limit, 10) + " bytes",
			Remedy:  "raise MaxAnswer of the client and repeat with the same id",
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

// do sends in as JSON and decodes the answer into out; either may be nil.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	return c.doWith(ctx, http.Header{}, method, path, in, out)
}

// doWith is do with additional headers.
func (c *Client) doWith(ctx context.Context, header http.Header, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
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
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &model.Error{
			Outcome: model.OutcomeUnknown, Kind: model.ErrorKindUpstream,
			Message: "client: cannot read the answer: " + err.Error(), Remedy: "check that the address is an entry host",
		}
	}
	return nil
}

// decodeError reads the typed error of an answer; other bodies give an error of kind upstream.
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
