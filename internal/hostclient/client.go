package hostclient

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// maxListBytes bounds the size of the host list. A deployment of ten thousand hosts needs about 2 MB, 200 bytes per host.
const maxListBytes = 16 << 20

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client reads the host list and caches the last list that it has read.
type Client struct {
	url  string
	host model.HostID
	http *http.Client

	mu     sync.Mutex
	cached ReadResult
}

// ReadResult is the host list according to the last successful read, and the error of the latest read.
type ReadResult struct {
	Hosts  []Host
	ReadAt time.Time // time at which the request of the last successful read was sent; zero before that read
	Err    error     // error of the latest read, nil if it succeeded
	// Unchanged says that the last successful read found the same list as the one before.
	Unchanged bool

	tag string // entity tag of Hosts, empty if the service sent none
}

// Age returns the maximum age of the list at the time now.
func (r ReadResult) Age(now time.Time) time.Duration { return now.Sub(r.ReadAt) }

// NewClient returns a client that reads the host list from the service at addr for the given entry host; a nil dial means
// plain TCP.
func NewClient(addr string, host model.HostID, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{url: "http://" + addr + "/v1/hosts", host: host, http: &http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		},
	}}
}

// Read reads the list and updates the cache. If the read fails, it returns the cached list with Err set.
//
// The request carries the entity tag of the cached list, so that a service that supports tags sends the list only when it has
// changed. The transport requests compression by default.
func (c *Client) Read(ctx context.Context) ReadResult {
	start := time.Now()
	knownTag := c.Cached().tag
	next, err := c.get(ctx, knownTag)
	next.ReadAt = start
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.cached.Err = err
	case start.Before(c.cached.ReadAt):
		// A read that started later has already updated the cache.
	case !next.Unchanged:
		c.cached = next
	case c.cached.tag == knownTag:
		c.cached.ReadAt, c.cached.Err, c.cached.Unchanged = start, nil, true
	}
	return c.cached
}

// Cached returns the cached list without a request to the service.
func (c *Client) Cached() ReadResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cached
}

// get requests the list. It returns the hosts and their tag, or only Unchanged if the list still has the tag knownTag.
func (c *Client) get(ctx context.Context, knownTag string) (ReadResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return ReadResult{}, errors.Wrap(err, "hostclient: request")
	}
	req.Header.Set("Host-Id", string(c.host))
	if knownTag != "" {
		req.Header.Set("If-None-Match", knownTag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ReadResult{}, errors.Wrap(err, "hostclient: read host list")
	}
	defer resp.Body.Close()
	if knownTag != "" && resp.StatusCode == http.StatusNotModified {
		return ReadResult{Unchanged: true}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return ReadResult{}, errors.Newf("hostclient: read host list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return ReadResult{}, errors.Wrap(err, "hostclient: read host list")
	}
	if len(data) > maxListBytes {
		return ReadResult{}, errors.Newf("hostclient: host list exceeds %d bytes", maxListBytes)
	}
	var l HostList
	if err := json.Unmarshal(data, &l); err != nil {
		return ReadResult{}, errors.Wrap(err, "hostclient: decode host list")
	}
	return ReadResult{Hosts: l.Hosts, tag: resp.Header.Get("ETag")}, nil
}
