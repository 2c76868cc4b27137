package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/dispatcher"
	"chestnutmux.example/chestnutmux/internal/gatekeeper"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxResponseBytes is the maximum size of a response body. Longer bodies are cut off.
	maxResponseBytes = 4 << 20
	// maxIdleConns is the maximum number of idle connections kept to a worker. The long poll uses one connection; the others
	// are for start and stop requests.
	maxIdleConns = gatekeeper.MaxRequests + 1
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
)

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client implements dispatcher.WorkerClient over HTTP.
type Client struct {
	host model.HostID
	http *http.Client
}

// NewClient returns a client that identifies itself as the given entry host and opens connections with dial.
func NewClient(host model.HostID, dial DialFunc) *Client {
	return &Client{host: host, http: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// RefusalResponse is the body of a response with status 409 (Conflict), with which a worker refuses a request.
type RefusalResponse struct {
	Refusal dispatcher.Refusal `json:"refusal"`
}

// Start implements dispatcher.WorkerClient.
func (c *Client) Start(ctx context.Context, w model.Worker, req dispatcher.StartRequest) (dispatcher.Response, error) {
	var resp dispatcher.Response
	return resp, c.post(ctx, w, "start", req, &resp)
}

// Stop implements dispatcher.WorkerClient.
func (c *Client) Stop(ctx context.Context, w model.Worker, req dispatcher.StopRequest) (dispatcher.Response, error) {
	var resp dispatcher.Response
	return resp, c.post(ctx, w, "stop", req, &resp)
}

// RenewLease implements dispatcher.WorkerClient.
func (c *Client) RenewLease(ctx context.Context, w model.Worker, req dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	var report dispatcher.Report
	return report, c.post(ctx, w, "hold", req, &report)
}

// post sends a request to a worker and decodes the response into out. An error marked with dispatcher.ErrNotSent means that the
// worker has not received the request.
func (c *Client) post(ctx context.Context, w model.Worker, operation string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Mark(err, dispatcher.ErrNotSent)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address+"/v1/"+operation, bytes.NewReader(body))
	if err != nil {
		return errors.Mark(err, dispatcher.ErrNotSent)
	}
	req.Header.Set("Host-Id", string(c.host))
	req.Header.Set("Worker-Id", string(w.ID))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return errors.Mark(err, dispatcher.ErrNotSent)
		}
		return errors.Wrapf(err, "workerclient: %s", operation)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "workerclient: %s", operation)
	}
	return decodeResponse(resp.StatusCode, data, out)
}

// decodeResponse decodes the body of a successful response into out, and converts any other status to an error.
func decodeResponse(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(data, out), "workerclient: decoding a response")
	case http.StatusConflict:
		var r RefusalResponse
		if err := json.Unmarshal(data, &r); err != nil {
			return errors.Wrap(err, "workerclient: decoding a refusal")
		}
		return &dispatcher.RefusedError{Reason: r.Refusal}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &dispatcher.RefusedError{Reason: dispatcher.RefusedUnhealthy}
	}
	return errors.Newf("workerclient: worker responded with unexpected status %d", status)
}
