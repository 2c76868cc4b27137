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
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 4 << 20
	// idleConns is the number of idle connections kept to a worker: a long poll and orders.
	idleConns = 3
	// idleTimeout closes connections that are not used.
	idleTimeout = time.Minute
)

// Dial opens a connection; it has the type of http.Transport.DialContext.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client implements dispatcher.Workers.
type Client struct {
	host model.HostID
	http *http.Client
}

// NewClient returns a client of the entry host.
func NewClient(host model.HostID, dial Dial) *Client {
	return &Client{host: host, http: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// RefusalReply is the body of an answer with status 409.
type RefusalReply struct {
	Refusal dispatcher.Refusal `json:"refusal"`
}

// Start implements dispatcher.Workers.
func (c *Client) Start(ctx context.Context, w model.Worker, o dispatcher.StartRequest) (dispatcher.Reply, error) {
	var r dispatcher.Reply
	return r, c.call(ctx, w, "start", o, &r)
}

// Stop implements dispatcher.Workers.
func (c *Client) Stop(ctx context.Context, w model.Worker, o dispatcher.StopRequest) (dispatcher.Reply, error) {
	var r dispatcher.Reply
	return r, c.call(ctx, w, "stop", o, &r)
}

// RenewLease implements dispatcher.Workers.
func (c *Client) RenewLease(ctx context.Context, w model.Worker, o dispatcher.RenewLeaseRequest) (dispatcher.Report, error) {
	var r dispatcher.Report
	return r, c.call(ctx, w, "hold", o, &r)
}

func (c *Client) call(ctx context.Context, w model.Worker, name string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Mark(err, dispatcher.ErrNotSent)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address+"/v1/"+name, bytes.NewReader(body))
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
		return errors.Wrapf(err, "workerclient: %s", name)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrapf(err, "workerclient: %s", name)
	}
	return outcome(resp.StatusCode, data, out)
}

// outcome decodes an answer.
func outcome(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(data, out), "workerclient: decode")
	case http.StatusConflict:
		var r RefusalReply
		if err := json.Unmarshal(data, &r); err != nil {
			return errors.Wrap(err, "workerclient: decode a refusal")
		}
		return &dispatcher.RefusedError{Reason: r.Refusal}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &dispatcher.RefusedError{Reason: dispatcher.RefusedUnhealthy}
	}
	return errors.Newf("workerclient: status %d", status)
}
