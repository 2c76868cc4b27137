package server

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/client"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// unknownIfRetry changes the outcome of an error from not-run to unknown if the request is a retry. The error says only that
// this attempt was not run; an earlier attempt may have been run.
func unknownIfRetry(r *http.Request, err error) error {
	isRetry, parseErr := strconv.ParseBool(r.Header.Get(client.HeaderRepeat))
	var e *model.Error
	if parseErr != nil || !isRetry || !errors.As(err, &e) || e.Outcome != model.OutcomeNotRun {
		return err
	}
	unknown := *e
	unknown.Outcome = model.OutcomeUnknown
	return &unknown
}
