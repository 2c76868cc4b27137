package client

import (
	"context"
	"net/http"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Config returns the configuration in force on the entry host.
func (c *Client) Config(ctx context.Context) (model.ConfigResponse, error) {
	var reply model.ConfigResponse
	err := c.do(ctx, http.MethodGet, "/v1/config", nil, &reply)
	return reply, err
}

// Publish changes the configuration; the error tells a conflict, faults or an unreachable log.
func (c *Client) Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	var reply model.PublishResponse
	err := c.do(ctx, http.MethodPost, "/v1/config", p, &reply)
	return reply.Version, err
}

// Status describes the entry host.
func (c *Client) Status(ctx context.Context) (model.HostStatus, error) {
	var s model.HostStatus
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// SetLogLevel changes the log level of the entry host until it restarts.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	return c.do(ctx, http.MethodPut, "/v1/log-level", map[string]string{"level": level}, nil)
}

// Drain makes the entry host shut down gracefully.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", nil, nil)
}
