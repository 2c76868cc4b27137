package server

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Guards against a repeat that is refused before it reaches the backend and is then told that the request was not run,
// although an earlier call may have run it.
func TestRefusedRepeatIsUnknown(t *testing.T) {
	is := is.New(t)
	refusal := &model.Error{Outcome: model.OutcomeNotRun, Kind: model.ErrorKindUnauthorized}
	for repeat, want := range map[string]model.Outcome{
		"": model.OutcomeNotRun, "false": model.OutcomeNotRun, "true": model.OutcomeUnknown, "1": model.OutcomeUnknown,
	} {
		r := &http.Request{Header: http.Header{client.HeaderRepeat: {repeat}}}
		var e *model.Error
		is.True(errors.As(asRepeat(r, refusal), &e))
		is.Equal(e.Outcome, want)
	}
	is.Equal(refusal.Outcome, model.OutcomeNotRun) // the refusal itself may be shared
}
