package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against the outcome not-run for a retry that is refused before it reaches the backend, although an earlier attempt
// may have been run.
func TestRefusedRetryIsUnknown(t *testing.T) {
	is := is.New(t)
	refusal := &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized}
	for header, want := range map[string]model.Outcome{
		"": model.OutcomeNotRun, "false": model.OutcomeNotRun, "true": model.OutcomeUnknown, "1": model.OutcomeUnknown,
	} {
		r := &http.Request{Header: http.Header{client.HeaderRepeat: {header}}}
		var e *model.Error
		is.True(errors.As(unknownIfRetry(r, refusal), &e))
		is.Equal(e.Outcome, want)
	}
	is.Equal(refusal.Outcome, model.OutcomeNotRun) // the original error is not modified, since it may be shared
}

// Guards against a connection that stays open after the refusal of a body, with a read deadline that was meant to end it.
func TestRefusedBodyEndsConnection(t *testing.T) {
	is := is.New(t)
	s := newTestServer(&fakeBackend{})
	s.Bodies.Budget.SetCapacity(1)
	r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader("{}"))
	r.Header.Set("Authorization", "Bearer caller-red")
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.Equal(w.Header().Get("Connection"), "close")
}
