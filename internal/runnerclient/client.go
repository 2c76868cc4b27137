package runnerclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Bounds of a client.
const (
	// DefaultMaxBody bounds an answer when the service sets no bound.
	DefaultMaxBody model.Bytes = 8 << 20
	// dialTimeout covers one lost SYN (retransmitted after 1 s) over the 40 ms round trip between regions.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that a burst left behind.
	idleTimeout = time.Minute
)

// Options are the address and bounds of a client.
type Options struct {
	Addr     string      // host:port of the runner
	MaxConns int         // this host's share of the runner's connections, at least 1
	MaxBody  model.Bytes // largest answer, 0 means DefaultMaxBody
	// Invariant is called when an answer carries the id of another request; it may be nil.
	Invariant func(name, detail string)
}

// Request is one request to a runner.
type Request struct {
	ID          model.RequestID
	ContentType string
	Body        []byte
	Deadline    time.Time // zero means none
}

// Answer is the whole answer of a runner.
type Answer struct {
	Body        []byte
	ContentType string
	Status      Status
}

// Status is what a runner says about itself with an answer or a refusal.
type Status struct {
	FreeSlots int // -1 when not stated
	Leaving   bool
}

// Error says whether a failed request can have run.
type Error struct {
	NotRun    bool // certain; otherwise unknown
	BytesSent bool // whether any byte of the request may have left this host
	Status    Status
	Err       error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string {
	outcome := model.OutcomeUnknown
	if e.NotRun {
		outcome = model.OutcomeNotRun
	}
	return fmt.Sprintf("runnerclient: %s: %v", outcome, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the error says with certainty that the request was not run.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotRun
}

// Client sends requests to one runner; it is safe for concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	tr   *http.Transport
}

// New returns a client; it opens no connection.
func New(o Options) *Client {
	o.MaxConns = max(o.MaxConns, 1)
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	return &Client{opts: o, tr: newTransport(o.MaxConns)}
}

func newTransport(conns int) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true, // the body length is checked against Content-Length
		MaxResponseHeaderBytes: 64 << 10,
	}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// SetMaxConns changes the share of connections; requests in progress finish on the old ones.
func (c *Client) SetMaxConns(n int) {
	n = max(n, 1)
	c.mu.Lock()
	old := c.tr
	if old.MaxConnsPerHost == n {
		c.mu.Unlock()
		return
	}
	// A transport's limits can't change while it is in use.
	c.tr = newTransport(n)
	c.mu.Unlock()
	old.CloseIdleConnections()
}

// Close releases the idle connections; requests in progress finish.
func (c *Client) Close() { c.transport().CloseIdleConnections() }

func (c *Client) transport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tr
}

// Send sends the request once and returns the whole answer, or an *Error.
func (c *Client) Send(ctx context.Context, req Request) (Answer, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	var t tracker
	hreq, err := c.newRequest(httptrace.WithClientTrace(ctx, t.trace()), req)
	if err != nil {
		return Answer{}, &Error{NotRun: true, Status: Status{FreeSlots: -1}, Err: err}
	}
	tr := c.transport()
	resp, err := tr.RoundTrip(hreq)
	if err != nil {
		// The transport may still hold the request, so its connection is closed before the answer is given.
		sent := t.abandon()
		return Answer{}, &Error{NotRun: !sent, BytesSent: sent, Status: Status{FreeSlots: -1}, Err: err}
	}
	defer resp.Body.Close()
	return c.read(resp, req)
}

// newRequest leaves GetBody unset and sets no Idempotency-Key, so that http.Transport does not
// replay the request on a second connection once it may have been written.
func (c *Client) newRequest(ctx context.Context, req Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(req.Body)) // the type hides the reader from GetBody
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.opts.Addr+"/v1/run", body)
	if err != nil {
		return nil, err
	}
	hreq.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		hreq.Body = http.NoBody
	}
	hreq.Header.Set("Request-Id", string(req.ID))
	if req.ContentType != "" {
		hreq.Header.Set("Content-Type", req.ContentType)
	}
	if !req.Deadline.IsZero() {
		left := time.Until(req.Deadline)
		if left <= 0 {
			return nil, context.DeadlineExceeded
		}
		hreq.Header.Set("Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	}
	return hreq, nil
}

func (c *Client) read(resp *http.Response, req Request) (Answer, error) {
	st := status(resp.Header)
	unknown := func(format string, args ...any) (Answer, error) {
		return Answer{}, &Error{BytesSent: true, Status: st, Err: errors.Newf(format, args...)}
	}
	echoed := resp.Header.Get("Request-Id")
	if echoed != string(req.ID) && (echoed != "" || resp.StatusCode == http.StatusOK) {
		if c.opts.Invariant != nil {
			c.opts.Invariant("answer-of-other-request", fmt.Sprintf("runner %s answered %q to request %q", c.opts.Addr, echoed, req.ID))
		}
		return unknown("answer carries the id %q instead of %q", echoed, req.ID)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Not-Run") == "true" {
		return Answer{}, &Error{NotRun: true, BytesSent: true, Status: st, Err: errors.New("runner refused the request")}
	}
	if resp.StatusCode != http.StatusOK {
		return unknown("runner answered with status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return unknown("answer states no length, so that a cut one could not be told from a whole one")
	}
	if resp.ContentLength > int64(c.opts.MaxBody) {
		return unknown("answer of %d bytes exceeds the limit of %d", resp.ContentLength, c.opts.MaxBody)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.opts.MaxBody)+1))
	if err != nil {
		return unknown("read answer: %w", err)
	}
	if len(body) > int(c.opts.MaxBody) {
		return unknown("answer exceeds the limit of %d bytes", c.opts.MaxBody)
	}
	if resp.ContentLength >= 0 && resp.ContentLength != int64(len(body)) {
		return unknown("answer has %d bytes instead of %d", len(body), resp.ContentLength)
	}
	return Answer{Body: body, ContentType: resp.Header.Get("Content-Type"), Status: st}, nil
}

func status(h http.Header) Status {
	st := Status{FreeSlots: -1, Leaving: h.Get("Leaving") == "true"}
	if n, err := strconv.Atoi(h.Get("Free-Slots")); err == nil && n >= 0 {
		st.FreeSlots = n
	}
	return st
}
