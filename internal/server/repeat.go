package server

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// asRepeat turns a refusal of a repeated request into one of unknown outcome: this call was not run, but the caller
// may have sent the request before, and the earlier call may have run.
func asRepeat(r *http.Request, err error) error {
	repeat, parseErr := strconv.ParseBool(r.Header.Get(client.HeaderRepeat))
	var e *model.Error
	if parseErr != nil || !repeat || !errors.As(err, &e) || e.Outcome != model.OutcomeNotRun {
		return err
	}
	unknown := *e
	unknown.Outcome = model.OutcomeUnknown
	return &unknown
}
