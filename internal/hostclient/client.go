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

// maxList bounds the host list; the design size has about ten thousand hosts of 200 bytes.
const maxList = 16 << 20

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client reads the host list and keeps the last one.
type Client struct {
	url  string
	host model.HostID
	http *http.Client

	mu   sync.Mutex
	last Snapshot
}

// Snapshot is a host list with its age.
type Snapshot struct {
	Hosts  []Host
	ReadAt time.Time // when the request for it was sent; zero means that none was read yet
	Err    error     // of the latest read, nil when it succeeded
	// Unchanged says that the latest read found the list of the read before.
	Unchanged bool

	tag string // entity tag of Hosts, empty when the service gives none
}

// Age returns how old the list is at most.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.ReadAt) }

// NewClient returns a client of the entry host for the service at the address; a nil dial means plain TCP.
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

// Read reads the list; when that fails the last list is returned with the error set.
//
// The request names the list that is known, so that a service that supports entity tags sends only changes. The
// transport asks for compression by itself.
func (c *Client) Read(ctx context.Context) Snapshot {
	start := time.Now()
	known := c.Cached().tag
	next, err := c.get(ctx, known)
	next.ReadAt = start
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.last.Err = err
	case start.Before(c.last.ReadAt):
		// A later read has already answered.
	case !next.Unchanged:
		c.last = next
	case c.last.tag == known:
		c.last.ReadAt, c.last.Err, c.last.Unchanged = start, nil, true
	}
	return c.last
}

// Cached returns the last list without reading.
func (c *Client) Cached() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// get returns the hosts and their tag, or only Unchanged when the tag of the list is still known.
func (c *Client) get(ctx context.Context, known string) (Snapshot, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "hostclient: request")
	}
	req.Header.Set("Host-Id", string(c.host))
	if known != "" {
		req.Header.Set("If-None-Match", known)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "hostclient: read host list")
	}
	defer resp.Body.Close()
	if known != "" && resp.StatusCode == http.StatusNotModified {
		return Snapshot{Unchanged: true}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return Snapshot{}, errors.Newf("hostclient: read host list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "hostclient: read host list")
	}
	if len(data) > maxList {
		return Snapshot{}, errors.Newf("hostclient: host list exceeds %d bytes", maxList)
	}
	var l HostList
	if err := json.Unmarshal(data, &l); err != nil {
		return Snapshot{}, errors.Wrap(err, "hostclient: decode host list")
	}
	return Snapshot{Hosts: l.Hosts, tag: resp.Header.Get("ETag")}, nil
}
