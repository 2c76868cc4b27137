package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/journaler"
	"chestnutmux.example/chestnutmux/internal/watchdog"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// maxIdleConns is the maximum number of idle connections, kept for the long poll of each stream and for appends.
	maxIdleConns = 6
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Stream is a client of one stream of the log service. It implements journaler.Log.
type Stream struct {
	baseURL string // URL of the stream
	host    model.HostID
	http    *http.Client
}

// NewHTTPClient returns an HTTP client that all streams of a host can share.
func NewHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// NewStream returns a client of the named stream of the log service at the URL base. Each request names the entry host that
// sends it.
func NewStream(base, name string, host model.HostID, client *http.Client) *Stream {
	return &Stream{baseURL: base + "/v1/streams/" + name, host: host, http: client}
}

// Append implements journaler.Log.
func (s *Stream) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	body, err := json.Marshal(AppendRequest{Records: records, AppendCondition: c})
	if err != nil {
		return 0, errors.Mark(err, journaler.ErrNotAppended)
	}
	status, data, err := s.do(ctx, http.MethodPost, "/records", nil, body)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, errors.Mark(err, journaler.ErrNotAppended) // the request was not sent
		}
		return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	switch status {
	case http.StatusOK:
		var response AppendResponse
		if err := json.Unmarshal(data, &response); err != nil {
			return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
		}
		return response.Offset, nil
	case http.StatusConflict:
		return 0, decodeRefusal(data)
	}
	return 0, errors.Mark(errors.Newf("logclient: append answered with status %d", status), journaler.ErrNotAppended)
}

// Read implements journaler.Log.
func (s *Stream) Read(ctx context.Context, from model.Offset, wait time.Duration) (journaler.Batch, error) {
	q := url.Values{
		"from":    {strconv.FormatInt(int64(from), 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var b journaler.Batch
	return b, s.get(ctx, "/records", q, &b)
}

// ReadNewest implements journaler.Log.
func (s *Stream) ReadNewest(ctx context.Context, after string) (journaler.Page, error) {
	var p journaler.Page
	return p, s.get(ctx, "/newest", url.Values{"after": {after}}, &p)
}

// get sends a GET request and decodes the body of the response into out.
func (s *Stream) get(ctx context.Context, path string, q url.Values, out any) error {
	status, data, err := s.do(ctx, http.MethodGet, path, q, nil)
	switch {
	case err != nil:
		return errors.Wrap(err, "logclient")
	case status == http.StatusGone:
		return decodeRefusal(data)
	case status != http.StatusOK:
		return errors.Newf("logclient: read answered with status %d", status)
	}
	return errors.Wrap(json.Unmarshal(data, out), "logclient: decode")
}

// decodeRefusal decodes the response body of a refused call and returns the error that it describes.
func decodeRefusal(data []byte) error {
	var r RefusalResponse
	if err := json.Unmarshal(data, &r); err != nil {
		return errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	switch r.Refusal {
	case RefusedOffsetMismatch:
		return &journaler.OffsetMismatchError{EndOffset: r.EndOffset}
	case RefusedSequence:
		return &journaler.SequenceError{ExpectedSeq: r.ExpectedSeq}
	case RefusedTrimmed:
		return &journaler.TrimmedError{FirstOffset: r.FirstOffset}
	case RefusedFenced:
		return journaler.ErrFenced
	}
	return errors.Newf("logclient: unknown refusal %q", r.Refusal)
}

// do sends a request and returns the status code and the body of the response.
func (s *Stream) do(ctx context.Context, method, path string, q url.Values, body []byte) (int, []byte, error) {
	u := s.baseURL + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Host-Id", string(s.host))
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(&watchdog.Reader{Ctx: ctx, R: resp.Body}, maxResponseBytes))
	return resp.StatusCode, data, err
}
