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

// Dial opens a connection; it has the type of http.Transport.DialContext.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

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
}

// Age returns how old the list is at most.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.ReadAt) }

// NewClient returns a client of the entry host for the service at the address; a nil dial means plain TCP.
func NewClient(addr string, host model.HostID, dial Dial) *Client {
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
func (c *Client) Read(ctx context.Context) Snapshot {
	start := time.Now()
	hosts, err := c.get(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.last.Err = err
	case start.Before(c.last.ReadAt):
		// A later read has already answered.
	default:
		c.last = Snapshot{Hosts: hosts, ReadAt: start}
	}
	return c.last
}

// Last returns the last list without reading.
func (c *Client) Last() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *Client) get(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "hostclient: request")
	}
	req.Header.Set("Host-Id", string(c.host))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "hostclient: read host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("hostclient: read host list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	if err != nil {
		return nil, errors.Wrap(err, "hostclient: read host list")
	}
	if len(data) > maxList {
		return nil, errors.Newf("hostclient: host list exceeds %d bytes", maxList)
	}
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errors.Wrap(err, "hostclient: decode host list")
	}
	return l.Hosts, nil
}
