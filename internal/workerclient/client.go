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

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxReply bounds an answer; a full list of a few hundred tasks with their specs fits.
const maxReply = 8 << 20

// bufferSize is that of a connection in each direction, in bytes.
const bufferSize = 1 << 10

// Error says why a batch got no usable answer.
type Error struct {
	Outcome model.Outcome // not-run when no connection could be made, otherwise unknown
	Err     error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string { return "workerclient: " + string(e.Outcome) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsNotRun reports whether the error says that the batch certainly was not applied.
func IsNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Outcome == model.OutcomeNotRun
}

// Dial opens a connection; it has the type of http.Transport.DialContext.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends batches to workers and keeps connections for reuse.
type Client struct {
	host model.HostID
	http *http.Client
}

// NewClient returns a client that names this host in its requests; a nil dial means plain TCP.
func NewClient(host model.HostID, dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{host: host, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 1, // one batch at a time goes to a worker
			MaxConnsPerHost:     2,
			IdleConnTimeout:     2 * time.Minute, // longer than two polls at the design size
			// A planner keeps about a thousand connections, and a poll and its answer fit these buffers.
			WriteBufferSize: bufferSize,
			ReadBufferSize:  bufferSize,
			// The header that asks for compression costs more than an answer to a poll could save.
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send sends one batch to the worker at the address; the context bounds the whole exchange.
func (c *Client) Send(ctx context.Context, addr string, b Batch) (Reply, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return Reply{}, &Error{model.OutcomeNotRun, err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/ops", bytes.NewReader(body))
	if err != nil {
		return Reply{}, &Error{model.OutcomeNotRun, err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("User-Agent", "") // left out: it would be a tenth of a poll
	req.Header.Set("Host-Id", string(c.host))
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return Reply{}, &Error{model.OutcomeNotRun, err}
		}
		return Reply{}, &Error{model.OutcomeUnknown, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	switch {
	case err != nil:
		return Reply{}, &Error{model.OutcomeUnknown, err}
	case len(data) > maxReply:
		return Reply{}, &Error{model.OutcomeUnknown, errors.Newf("answer exceeds %d bytes", maxReply)}
	}
	var r Reply
	if err := json.Unmarshal(data, &r); err != nil {
		return Reply{}, &Error{model.OutcomeUnknown, errors.Wrapf(err, "status %d", resp.StatusCode)}
	}
	// A refused term may come with an error status; the body then names the term.
	if resp.StatusCode != http.StatusOK && r.Error == "" {
		return Reply{}, &Error{model.OutcomeUnknown, errors.Newf("status %d", resp.StatusCode)}
	}
	return r, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
