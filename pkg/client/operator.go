package client

import (
	"context"
	"net/http"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Config returns the configuration in force on the entry host.
func (c *Client) Config(ctx context.Context) (model.ConfigResponse, error) {
	var response model.ConfigResponse
	err := c.do(ctx, http.MethodGet, "/v1/config", nil, &response)
	return response, err
}

// Publish changes the configuration and returns the new version. The kind of the error distinguishes a conflict with another
// publish, an invalid configuration and an unreachable log.
func (c *Client) Publish(ctx context.Context, p model.PublishRequest) (model.ConfigVersion, error) {
	var response model.PublishResponse
	err := c.do(ctx, http.MethodPost, "/v1/config", p, &response)
	return response.Version, err
}

// Status returns the status of the entry host.
func (c *Client) Status(ctx context.Context) (model.HostStatus, error) {
	var s model.HostStatus
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// SetLogLevel changes the log level of the entry host until it restarts.
func (c *Client) SetLogLevel(ctx context.Context, level string) error {
	return c.do(ctx, http.MethodPut, "/v1/log-level", map[string]string{"level": level}, nil)
}

// Drain starts the graceful shutdown of the entry host and returns without waiting for it.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", nil, nil)
}
