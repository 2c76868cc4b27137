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
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 16 << 20
	// idleConns is the number of idle connections kept: one long poll a stream, and appends.
	idleConns = 6
	// idleTimeout closes connections that are not used.
	idleTimeout = time.Minute
)

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Stream is one stream of the log service; it implements journaler.Log.
type Stream struct {
	url  string
	host model.HostID
	http *http.Client
}

// NewHTTPClient returns the HTTP client that all streams of a host share.
func NewHTTPClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// NewStream returns the stream of the log service at the base URL, as used by the entry host.
func NewStream(base, name string, host model.HostID, client *http.Client) *Stream {
	return &Stream{url: base + "/v1/streams/" + name, host: host, http: client}
}

// Append implements journaler.Log.
func (s *Stream) Append(ctx context.Context, records []journaler.Record, c journaler.AppendCondition) (model.Offset, error) {
	body, err := json.Marshal(AppendRequest{Records: records, AppendCondition: c})
	if err != nil {
		return 0, errors.Mark(err, journaler.ErrRejected)
	}
	status, data, err := s.exchange(ctx, http.MethodPost, "/records", nil, body)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, errors.Mark(err, journaler.ErrRejected)
		}
		return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
	}
	switch status {
	case http.StatusOK:
		var reply AppendReply
		if err := json.Unmarshal(data, &reply); err != nil {
			return 0, errors.Mark(err, journaler.ErrOutcomeUnknown)
		}
		return reply.Offset, nil
	case http.StatusConflict:
		return 0, refusal(data)
	}
	return 0, errors.Mark(errors.Newf("logclient: append answered with status %d", status), journaler.ErrRejected)
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

func (s *Stream) get(ctx context.Context, path string, q url.Values, out any) error {
	status, data, err := s.exchange(ctx, http.MethodGet, path, q, nil)
	switch {
	case err != nil:
		return errors.Wrap(err, "logclient")
	case status == http.StatusGone:
		return refusal(data)
	case status != http.StatusOK:
		return errors.Newf("logclient: read answered with status %d", status)
	}
	return errors.Wrap(json.Unmarshal(data, out), "logclient: decode")
}

// refusal returns the typed error of a refusal.
func refusal(data []byte) error {
	var r RefusalReply
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

func (s *Stream) exchange(ctx context.Context, method, path string, q url.Values, body []byte) (int, []byte, error) {
	u := s.url + path
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, data, err
}
