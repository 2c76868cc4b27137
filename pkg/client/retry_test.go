package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// scriptedTransport responds to each request with the next element of responses, where nil means success, and records the
// requests.
type scriptedTransport struct {
	responses []*model.Error
	headers   []http.Header
	bodies    []string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if len(s.responses) == 0 {
		return nil, errors.New("no more requests were expected")
	}
	body, _ := io.ReadAll(r.Body)
	s.headers, s.bodies = append(s.headers, r.Header), append(s.bodies, string(body))
	e := s.responses[0]
	s.responses = s.responses[1:]
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
	resp.Header.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if e != nil {
		data, err := json.Marshal(e)
		resp.StatusCode, resp.Body = http.StatusServiceUnavailable, io.NopCloser(strings.NewReader(string(data)))
		return resp, err
	}
	return resp, nil
}

func (s *scriptedTransport) client() *Client {
	return &Client{BaseURL: "http://test", HTTPClient: &http.Client{Transport: s}}
}

func newError(kind model.ErrorKind, outcome model.Outcome, retryAfterMS model.Millis) *model.Error {
	return &model.Error{Kind: kind, Outcome: outcome, RetryAfterMS: retryAfterMS}
}

func outcomeOf(t *testing.T, err error) model.Outcome {
	t.Helper()
	var e *model.Error
	if !errors.As(err, &e) {
		t.Fatalf("not a *model.Error: %v", err)
	}
	return e.Outcome
}

// Guards against retries that are sent too early, with another id or body, or without the header that marks a retry.
func TestCallWithRetryMarksRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedTransport{responses: []*model.Error{
			newError(model.ErrorKindOverloaded, model.OutcomeNotRun, 3000), newError(model.ErrorKindOverloaded, model.OutcomeUnknown, 1000), nil,
		}}
		start := time.Now()
		_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r", Body: []byte("b")}, RetryPolicy{Deadline: start.Add(time.Minute)})
		is.NoErr(err)
		is.True(time.Since(start) >= 4*time.Second)
		is.Equal(len(s.headers), 3)
		for i, h := range s.headers {
			is.Equal(h.Get(HeaderRequestID), "r")
			is.Equal(s.bodies[i], "b")
			is.Equal(h.Get(HeaderRepeat) == "true", i > 0)
		}
	})
}

// Guards against reporting not-run when an earlier attempt had an unknown outcome.
func TestRetryKeepsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedTransport{responses: []*model.Error{
			newError(model.ErrorKindNotReady, model.OutcomeNotRun, 100),
			newError(model.ErrorKindNotReady, model.OutcomeUnknown, 100),
			newError(model.ErrorKindInvalid, model.OutcomeNotRun, 0),
		}}
		_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r"}, RetryPolicy{Deadline: time.Now().Add(time.Minute)})
		is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
		is.Equal(len(s.headers), 3)
	})
}

// Guards against marking a submission as a retry although all earlier attempts were not run, and against a missing mark if the
// job may have been submitted before.
func TestSubmitWithRetryMarksRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, sentBefore := range []bool{false, true} {
			is := is.New(t)
			overloaded := newError(model.ErrorKindOverloaded, model.OutcomeNotRun, 1000)
			s := &scriptedTransport{responses: []*model.Error{overloaded, overloaded, nil}}
			retryPolicy := RetryPolicy{Deadline: time.Now().Add(time.Minute), SentBefore: sentBefore}
			if sentBefore {
				overloaded.Outcome = model.OutcomeUnknown // the outcome that the server gives to a refused retry
			}
			_, err := s.client().SubmitWithRetry(t.Context(), model.JobSpec{ID: "j"}, retryPolicy)
			is.NoErr(err)
			is.Equal(len(s.headers), 3)
			for _, h := range s.headers {
				is.Equal(h.Get(HeaderRepeat) == "true", sentBefore)
			}
		}
	})
}

// Guards against retries that cannot succeed or are not safe: after an invalid request, an unknown outcome or with an unusable
// request id, or past the deadline.
func TestRetryStopsOnFinalError(t *testing.T) {
	idUnusable := newError(model.ErrorKindLogUnavailable, model.OutcomeNotRun, 1000)
	idUnusable.RequestIDUnusable = true
	for name, e := range map[string]*model.Error{
		"invalid":             newError(model.ErrorKindInvalid, model.OutcomeNotRun, 0),
		"unknown":             newError(model.ErrorKindUpstream, model.OutcomeUnknown, 1000),
		"unusable id":         idUnusable,
		"delay past deadline": newError(model.ErrorKindOverloaded, model.OutcomeNotRun, 60_000),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &scriptedTransport{responses: []*model.Error{e}}
				_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r"}, RetryPolicy{Deadline: time.Now().Add(30 * time.Second)})
				is.Equal(outcomeOf(t, err), e.Outcome)
				is.Equal(len(s.headers), 1)
			})
		})
	}
}

// Guards against a delay that continues after the context has ended, and against retries of a job without an id, which could
// create several jobs.
func TestRetryEndsWithContextOrWithoutID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		overloaded := newError(model.ErrorKindOverloaded, model.OutcomeNotRun, 10_000)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		s := &scriptedTransport{responses: []*model.Error{overloaded}}
		_, err := s.client().SubmitWithRetry(ctx, model.JobSpec{ID: "j"}, RetryPolicy{Deadline: start.Add(time.Hour)})
		is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
		is.Equal(time.Since(start), time.Second)
		s = &scriptedTransport{responses: []*model.Error{overloaded}}
		_, err = s.client().SubmitWithRetry(t.Context(), model.JobSpec{}, RetryPolicy{Deadline: start.Add(time.Hour)})
		is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
	})
}

// Guards against a wrong outcome when no connection can be made: not-run for a first attempt, unknown for a retry.
func TestRefusedConnectionOutcome(t *testing.T) {
	is := is.New(t)
	c := &Client{BaseURL: "http://127.0.0.1:1"} // nothing listens on this port
	_, err := c.Call(t.Context(), CallRequest{Service: "s", RequestID: "r"})
	is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
	_, err = c.Call(t.Context(), CallRequest{Service: "s", RequestID: "r", IsRetry: true})
	is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
	_, err = c.Resubmit(t.Context(), model.JobSpec{ID: "j"})
	is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
}

// Guards against returning a response that was truncated at the size limit as if it were complete.
func TestResponseLimit(t *testing.T) {
	for size, complete := range map[model.Bytes]bool{1: false, 2: true} {
		is := is.New(t)
		s := &scriptedTransport{responses: []*model.Error{nil}} // the body is {}
		c := s.client()
		c.MaxResponseBytes = size
		response, err := c.Call(t.Context(), CallRequest{RequestID: "r"})
		is.Equal(err == nil, complete)
		is.Equal(string(response.Body) == "{}", complete)
	}
}

// Guards against a panic or an error without a kind when the response does not come from an entry host.
func FuzzDecodeError(f *testing.F) {
	f.Add(`{"outcome":"not-run","kind":"overloaded","message":"m","retry-after-ms":5,"faults":[{"kind":"workspace"}]}`)
	f.Add(`<html>502</html>`)
	f.Add(`{"kind":""}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		var e *model.Error
		if err := decodeError(&http.Response{Status: "502 Bad Gateway"}, []byte(body)); !errors.As(err, &e) || e.Kind == "" {
			t.Fatal(err)
		}
	})
}
