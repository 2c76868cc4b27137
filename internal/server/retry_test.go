package server

import (
	"net/http"
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
