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

// script answers each request with the next error, or with success for nil, and keeps the headers.
type script struct {
	errors []*model.Error
	seen   []http.Header
	bodies []string
}

func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	if len(s.errors) == 0 {
		return nil, errors.New("no more requests were expected")
	}
	body, _ := io.ReadAll(r.Body)
	s.seen, s.bodies = append(s.seen, r.Header), append(s.bodies, string(body))
	e := s.errors[0]
	s.errors = s.errors[1:]
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("{}"))}
	resp.Header.Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if e != nil {
		data, err := json.Marshal(e)
		resp.StatusCode, resp.Body = http.StatusServiceUnavailable, io.NopCloser(strings.NewReader(string(data)))
		return resp, err
	}
	return resp, nil
}

func (s *script) client() *Client {
	return &Client{BaseURL: "http://test", HTTPClient: &http.Client{Transport: s}}
}

func refusal(kind model.ErrorKind, outcome model.Outcome, after model.Millis) *model.Error {
	return &model.Error{Kind: kind, Outcome: outcome, RetryAfterMS: after}
}

func outcomeOf(t *testing.T, err error) model.Outcome {
	t.Helper()
	var e *model.Error
	if !errors.As(err, &e) {
		t.Fatalf("no typed error: %v", err)
	}
	return e.Outcome
}

// Guards against repeats that come too early, change the id or are not marked as repeats.
func TestCallRetryRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{errors: []*model.Error{
			refusal(model.ErrorKindOverloaded, model.OutcomeNotRun, 3000), refusal(model.ErrorKindOverloaded, model.OutcomeUnknown, 1000), nil,
		}}
		start := time.Now()
		_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r", Body: []byte("b")}, RetryPolicy{Deadline: start.Add(time.Minute)})
		is.NoErr(err)
		is.True(time.Since(start) >= 4*time.Second)
		is.Equal(len(s.seen), 3)
		for i, h := range s.seen {
			is.Equal(h.Get(HeaderRequestID), "r")
			is.Equal(s.bodies[i], "b")
			is.Equal(h.Get(HeaderRepeat) == "true", i > 0)
		}
	})
}

// Guards against an unknown outcome that a later refusal hides.
func TestRetryKeepsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{errors: []*model.Error{
			refusal(model.ErrorKindNotReady, model.OutcomeNotRun, 100),
			refusal(model.ErrorKindNotReady, model.OutcomeUnknown, 100),
			refusal(model.ErrorKindInvalid, model.OutcomeNotRun, 0),
		}}
		_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r"}, RetryPolicy{Deadline: time.Now().Add(time.Minute)})
		is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
		is.Equal(len(s.seen), 3)
	})
}

// Guards against a submission that is marked as a repeat after certain refusals, or not marked though it may be one.
func TestSubmitRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, repeat := range []bool{false, true} {
			is := is.New(t)
			busy := refusal(model.ErrorKindOverloaded, model.OutcomeNotRun, 1000)
			s := &script{errors: []*model.Error{busy, busy, nil}}
			r := RetryPolicy{Deadline: time.Now().Add(time.Minute), SentBefore: repeat}
			if repeat {
				busy.Outcome = model.OutcomeUnknown // as the server answers a refused repeat
			}
			_, err := s.client().SubmitWithRetry(t.Context(), model.JobSpec{ID: "j"}, r)
			is.NoErr(err)
			is.Equal(len(s.seen), 3)
			for _, h := range s.seen {
				is.Equal(h.Get(HeaderRepeat) == "true", repeat)
			}
		}
	})
}

// Guards against repeats where they cannot help or are not safe.
func TestRetryStops(t *testing.T) {
	spent := refusal(model.ErrorKindLogUnavailable, model.OutcomeNotRun, 1000)
	spent.RequestIDSpent = true
	for name, e := range map[string]*model.Error{
		"invalid":             refusal(model.ErrorKindInvalid, model.OutcomeNotRun, 0),
		"unknown":             refusal(model.ErrorKindUpstream, model.OutcomeUnknown, 1000),
		"spent id":            spent,
		"pause past deadline": refusal(model.ErrorKindOverloaded, model.OutcomeNotRun, 60_000),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{errors: []*model.Error{e}}
				_, err := s.client().CallWithRetry(t.Context(), CallRequest{RequestID: "r"}, RetryPolicy{Deadline: time.Now().Add(30 * time.Second)})
				is.Equal(outcomeOf(t, err), e.Outcome)
				is.Equal(len(s.seen), 1)
			})
		})
	}
}

// Guards against a pause that outlives its caller, and against repeated submissions that are different jobs.
func TestRetryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := refusal(model.ErrorKindOverloaded, model.OutcomeNotRun, 10_000)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		s := &script{errors: []*model.Error{busy}}
		_, err := s.client().SubmitWithRetry(ctx, model.JobSpec{ID: "j"}, RetryPolicy{Deadline: start.Add(time.Hour)})
		is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
		is.Equal(time.Since(start), time.Second)
		s = &script{errors: []*model.Error{busy}}
		_, err = s.client().SubmitWithRetry(t.Context(), model.JobSpec{}, RetryPolicy{Deadline: start.Add(time.Hour)})
		is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
	})
}

// Guards against a request that was sent and counts as not run, and against the reverse.
func TestConnectionOutcome(t *testing.T) {
	is := is.New(t)
	c := &Client{BaseURL: "http://127.0.0.1:1"} // nothing listens on this port
	_, err := c.Call(t.Context(), CallRequest{Service: "s", RequestID: "r"})
	is.Equal(outcomeOf(t, err), model.OutcomeNotRun)
	_, err = c.Call(t.Context(), CallRequest{Service: "s", RequestID: "r", IsRetry: true})
	is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
	_, err = c.Resubmit(t.Context(), model.JobSpec{ID: "j"})
	is.Equal(outcomeOf(t, err), model.OutcomeUnknown)
}

// Guards against an answer that is cut at the bound and looks whole.
func TestLargeAnswer(t *testing.T) {
	for size, whole := range map[model.Bytes]bool{1: false, 2: true} {
		is := is.New(t)
		s := &script{errors: []*model.Error{nil}} // answers {}
		c := s.client()
		c.MaxAnswer = size
		answer, err := c.Call(t.Context(), CallRequest{RequestID: "r"})
		is.Equal(err == nil, whole)
		is.Equal(string(answer.Body) == "{}", whole)
	}
}

// Guards against an answer of something else than an entry host that gives an error without kind, or a panic.
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
