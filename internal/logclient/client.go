package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// HostHeader carries the entry host's id on every request.
const HostHeader = "Host-Id"

// maxReply bounds the body of a reply, so that a faulty log service cannot exhaust the 64 MB of a daemon.
const maxReply = 32 << 20

// defaultRetry is the retry-after of an error whose reply named none.
const defaultRetry = time.Second

// Client talks to one log service; it is safe for concurrent use.
type Client struct {
	base string
	host model.HostID
	http *http.Client
}

// New returns a client for the log service at base ("http://host:port"); a nil hc means a client of its own.
func New(base string, host model.HostID, hc *http.Client) *Client {
	if hc == nil {
		hc = NewHTTP(nil)
	}
	return &Client{base: strings.TrimRight(base, "/"), host: host, http: hc}
}

// NewHTTP returns the HTTP client that New uses, with connections that dial opens; nil means plain TCP.
func NewHTTP(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 90 * time.Second,
	}}
}

// Append appends one record and returns its offset; the error is a *model.Error that says not-run or unknown.
func (c *Client) Append(ctx context.Context, s Stream, id string, data json.RawMessage) (model.Offset, error) {
	body, err := json.Marshal(AppendRequest{ID: id, Data: data})
	if err != nil {
		return 0, &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindInvalid,
			Message: fmt.Sprintf("logclient: record %s is not valid JSON: %v", id, err), Remedy: "append JSON data",
		}
	}
	var reply AppendReply
	_, err = c.do(ctx, http.MethodPost, c.url(s, nil), body, func(b []byte) error {
		var err error
		reply, err = DecodeAppendReply(b)
		return err
	})
	return reply.Offset, err
}

// Read returns at most limit records from the offset on, waiting up to wait for the first one. A read below the
// oldest offset kept fails with kind trimmed; the reply then carries First when the log service reported it.
//
// A reply that exceeds the bound is asked for again with fewer records: after a flood of submissions a thousand records
// of 256 KB can follow each other, and a reader that kept its limit would never get past them.
func (c *Client) Read(ctx context.Context, s Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, error) {
	for {
		reply, body, err := c.read(ctx, s, from, limit, wait)
		if err == nil || len(body) <= maxReply || limit <= 1 {
			return reply, err
		}
		limit = max(1, limit/fewer)
	}
}

// fewer divides the limit of a read whose reply was too large.
const fewer = 8

func (c *Client) read(ctx context.Context, s Stream, from model.Offset, limit int, wait time.Duration) (ReadReply, []byte, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(int64(from), 10)},
		"max":     {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply ReadReply
	body, err := c.do(ctx, http.MethodGet, c.url(s, query), nil, func(b []byte) error {
		var err error
		reply, err = DecodeReadReply(b)
		return err
	})
	if IsTrimmed(err) {
		// The body of a 410 is optional; without it the caller asks First.
		var trimmed ReadReply
		if json.Unmarshal(body, &trimmed) == nil && trimmed.First > from {
			reply.First, reply.Next = trimmed.First, trimmed.Next
		}
	}
	return reply, body, err
}

// First returns the oldest offset still kept in the stream, which equals the next offset when the stream is empty.
func (c *Client) First(ctx context.Context, s Stream) (model.Offset, error) {
	reply, err := c.Read(ctx, s, 0, 1, 0)
	if err == nil || (IsTrimmed(err) && reply.First > 0) {
		return reply.First, nil
	}
	if !IsTrimmed(err) {
		return 0, err
	}
	// A read past the end returns no records but the bounds of the stream.
	reply, err = c.Read(ctx, s, 1<<62, 1, 0)
	return reply.First, err
}

// DecodeAppendReply decodes the reply to an append.
func DecodeAppendReply(b []byte) (AppendReply, error) {
	var reply struct {
		Offset *model.Offset `json:"offset"`
	}
	if err := json.Unmarshal(b, &reply); err != nil {
		return AppendReply{}, errors.Wrap(err, "logclient: append reply")
	}
	if reply.Offset == nil || *reply.Offset < 0 {
		return AppendReply{}, errors.New("logclient: append reply has no valid offset")
	}
	return AppendReply{Offset: *reply.Offset}, nil
}

// DecodeReadReply decodes the reply to a read and checks that its offsets ascend within its bounds.
func DecodeReadReply(b []byte) (ReadReply, error) {
	var reply ReadReply
	if err := json.Unmarshal(b, &reply); err != nil {
		return ReadReply{}, errors.Wrap(err, "logclient: read reply")
	}
	if reply.First < 0 || reply.Next < reply.First {
		return ReadReply{}, errors.Newf("logclient: read reply has bounds %d to %d", reply.First, reply.Next)
	}
	last := model.Offset(-1)
	for _, rec := range reply.Records {
		if rec.Offset <= last || rec.Offset >= reply.Next {
			return ReadReply{}, errors.Newf("logclient: read reply has offset %d after %d, next %d", rec.Offset, last, reply.Next)
		}
		last = rec.Offset
	}
	return reply, nil
}

// IsTrimmed reports whether the error says that the records asked for are no longer kept.
func IsTrimmed(err error) bool {
	var e *model.Error
	return errors.As(err, &e) && e.Kind == model.KindTrimmed
}

// NotRun reports whether the error says that the request certainly had no effect.
func NotRun(err error) bool {
	var e *model.Error
	return errors.As(err, &e) && e.Outcome == model.OutcomeNotRun
}

func (c *Client) url(s Stream, query url.Values) string {
	u := c.base + "/v1/streams/" + url.PathEscape(string(s)) + "/records"
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

// do sends one request and hands the body of a successful reply to decode; it returns the body of any reply.
func (c *Client) do(ctx context.Context, method, u string, body []byte, decode func([]byte) error) ([]byte, error) {
	// Without a connection nothing can have been written, so that the request certainly had no effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, failure(model.OutcomeNotRun, defaultRetry, "request: %v", err)
	}
	req.Header.Set(HostHeader, string(c.host))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, failure(model.OutcomeNotRun, defaultRetry, "no connection: %v", err)
		}
		return nil, failure(model.OutcomeUnknown, defaultRetry, "no answer: %v", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if resp.StatusCode/100 != 2 {
		return b, statusError(resp)
	}
	if err == nil && len(b) > maxReply {
		err = errors.Newf("logclient: reply exceeds %d bytes", maxReply)
	}
	if err == nil {
		err = decode(b)
	}
	if err != nil {
		return b, failure(model.OutcomeUnknown, defaultRetry, "answer unreadable: %v", err)
	}
	return b, nil
}

func statusError(resp *http.Response) error {
	retry := defaultRetry
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && n >= 0 && n <= 3600 {
		retry = time.Duration(n) * time.Second
	}
	code := resp.StatusCode
	switch {
	case code == http.StatusGone:
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindTrimmed,
			Message: "logclient: the records asked for are no longer kept",
			Remedy:  "start from a snapshot or from a peer",
		}
	case code == http.StatusRequestEntityTooLarge:
		return &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.KindTooLarge,
			Message: "logclient: the log service refused the record as too large",
			Remedy:  "send a smaller request",
		}
	case code == http.StatusServiceUnavailable,
		code >= 400 && code < 500 && code != http.StatusRequestTimeout:
		return failure(model.OutcomeNotRun, retry, "refused with status %d", code)
	}
	return failure(model.OutcomeUnknown, retry, "status %d", code)
}

func failure(outcome model.Outcome, retry time.Duration, format string, args ...any) error {
	return &model.Error{
		Outcome: outcome, Kind: model.KindLogUnavailable,
		Message: "logclient: " + fmt.Sprintf(format, args...),
		Remedy:  "retry later with the same id", RetryAfterMS: model.Millis(retry.Milliseconds()),
	}
}
