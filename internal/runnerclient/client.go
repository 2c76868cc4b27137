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

const (
	// DefaultMaxResponseBytes is the maximum size of a response body if the service sets none.
	DefaultMaxResponseBytes model.Bytes = 8 << 20
	// dialTimeout allows for one lost SYN, which is retransmitted after 1 s, with a round-trip time of 40 ms between regions.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed, so that connections opened for a burst don't stay open.
	idleTimeout = time.Minute
)

// Options configures a Client.
type Options struct {
	Addr             string      // host:port of the runner
	MaxConns         int         // maximum number of connections from this host to the runner, at least 1
	MaxResponseBytes model.Bytes // maximum size of a response body; 0 selects DefaultMaxResponseBytes
	// OnWrongResponse is called when a response carries the id of another request, with the name of the violation and a
	// description; it may be nil.
	OnWrongResponse func(name, detail string)
}

// Request is a request to a runner.
type Request struct {
	ID          model.RequestID
	ContentType string
	Body        []byte
	Deadline    time.Time // zero means none
}

// Response is the complete response of a runner.
type Response struct {
	Body        []byte
	ContentType string
	Status      Status
}

// Status is the status that a runner reports in a response or a refusal.
type Status struct {
	FreeSlots int  // number of free slots of the runner, -1 if not reported
	Leaving   bool // the runner will stop and accepts no new requests
}

// Error is the error of a failed request. It states whether the request may have run.
type Error struct {
	NotRun      bool // the request was certainly not run; otherwise its outcome is unknown
	MayHaveSent bool // at least one byte of the request may have been sent
	Status      Status
	Err         error // cause of the failure
}

// Error returns the outcome and the cause as text.
func (e *Error) Error() string {
	outcome := model.OutcomeUnknown
	if e.NotRun {
		outcome = model.OutcomeNotRun
	}
	return fmt.Sprintf("runnerclient: %s: %v", outcome, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Err }

// IsNotRun reports whether err states that the request was certainly not run.
func IsNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotRun
}

// Client sends requests to one runner. It is safe for concurrent use.
type Client struct {
	opts      Options
	mu        sync.Mutex
	transport *http.Transport
}

// New returns a client without opening a connection.
func New(o Options) *Client {
	o.MaxConns = max(o.MaxConns, 1)
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return &Client{opts: o, transport: newTransport(o.MaxConns)}
}

func newTransport(conns int) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true, // the body length is compared with Content-Length
		MaxResponseHeaderBytes: 64 << 10,
	}
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c}, nil
}

// SetMaxConns sets the maximum number of connections. Requests in progress finish on their connections, which may exceed the
// new maximum until then.
func (c *Client) SetMaxConns(n int) {
	n = max(n, 1)
	c.mu.Lock()
	old := c.transport
	if old.MaxConnsPerHost == n {
		c.mu.Unlock()
		return
	}
	// The limits of a transport can't be changed while it is in use.
	c.transport = newTransport(n)
	c.mu.Unlock()
	old.CloseIdleConnections()
}

// Close closes idle connections; requests in progress finish.
func (c *Client) Close() { c.currentTransport().CloseIdleConnections() }

func (c *Client) currentTransport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transport
}

// Send sends the request once and returns the complete response, or an *Error.
func (c *Client) Send(ctx context.Context, req Request) (Response, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	var writes writeTracker
	httpReq, err := c.newRequest(httptrace.WithClientTrace(ctx, writes.clientTrace()), req)
	if err != nil {
		return Response{}, &Error{NotRun: true, Status: Status{FreeSlots: -1}, Err: err}
	}
	tr := c.currentTransport()
	resp, err := tr.RoundTrip(httpReq)
	if err != nil {
		// The transport may still be writing the request, so its connections are closed before the outcome is determined.
		sent := writes.abortConns()
		return Response{}, &Error{NotRun: !sent, MayHaveSent: sent, Status: Status{FreeSlots: -1}, Err: err}
	}
	defer resp.Body.Close()
	return c.readResponse(resp, req)
}

// newRequest creates the HTTP request. It leaves GetBody unset and sets no Idempotency-Key, so that http.Transport does not
// send the request again on another connection after it may have been written.
func (c *Client) newRequest(ctx context.Context, req Request) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(req.Body)) // hides the type of the reader, so that net/http does not set GetBody
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.opts.Addr+"/v1/run", body)
	if err != nil {
		return nil, err
	}
	httpReq.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		httpReq.Body = http.NoBody
	}
	httpReq.Header.Set("Request-Id", string(req.ID))
	if req.ContentType != "" {
		httpReq.Header.Set("Content-Type", req.ContentType)
	}
	if !req.Deadline.IsZero() {
		remaining := time.Until(req.Deadline)
		if remaining <= 0 {
			return nil, context.DeadlineExceeded
		}
		httpReq.Header.Set("Deadline-Ms", strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	return httpReq, nil
}

// readResponse reads and checks the response. It returns an *Error with NotRun set only if the runner refused the request.
func (c *Client) readResponse(resp *http.Response, req Request) (Response, error) {
	st := parseStatus(resp.Header)
	unknown := func(format string, args ...any) (Response, error) {
		return Response{}, &Error{MayHaveSent: true, Status: st, Err: errors.Newf(format, args...)}
	}
	responseID := resp.Header.Get("Request-Id")
	if responseID != string(req.ID) && (responseID != "" || resp.StatusCode == http.StatusOK) {
		if c.opts.OnWrongResponse != nil {
			c.opts.OnWrongResponse("answer-of-other-request", fmt.Sprintf("runner %s answered %q to request %q", c.opts.Addr, responseID, req.ID))
		}
		return unknown("answer carries the id %q instead of %q", responseID, req.ID)
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Not-Run") == "true" {
		return Response{}, &Error{NotRun: true, MayHaveSent: true, Status: st, Err: errors.New("runner refused the request")}
	}
	if resp.StatusCode != http.StatusOK {
		return unknown("runner answered with status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return unknown("answer states no length, so that a cut one could not be told from a whole one")
	}
	if resp.ContentLength > int64(c.opts.MaxResponseBytes) {
		return unknown("answer of %d bytes exceeds the limit of %d", resp.ContentLength, c.opts.MaxResponseBytes)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.opts.MaxResponseBytes)+1))
	if err != nil {
		return unknown("read answer: %w", err)
	}
	if len(body) > int(c.opts.MaxResponseBytes) {
		return unknown("answer exceeds the limit of %d bytes", c.opts.MaxResponseBytes)
	}
	if resp.ContentLength >= 0 && resp.ContentLength != int64(len(body)) {
		return unknown("answer has %d bytes instead of %d", len(body), resp.ContentLength)
	}
	return Response{Body: body, ContentType: resp.Header.Get("Content-Type"), Status: st}, nil
}

func parseStatus(h http.Header) Status {
	st := Status{FreeSlots: -1, Leaving: h.Get("Leaving") == "true"}
	if n, err := strconv.Atoi(h.Get("Free-Slots")); err == nil && n >= 0 {
		st.FreeSlots = n
	}
	return st
}
