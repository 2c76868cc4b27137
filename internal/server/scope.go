package server

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// scopeSeparator separates the workspace from the job id that a caller chose. Names of workspaces can't contain it.
const scopeSeparator = ":"

// scopedJobID returns the id by which entry hosts and workers know the job. It contains the workspace; otherwise, the callers of
// one workspace could find out or take the job ids of another.
func scopedJobID(ws model.WorkspaceID, id model.JobID) model.JobID {
	return model.JobID(string(ws) + scopeSeparator + string(id))
}

// checkedJobID returns the id that a caller chose if its length is valid, or a new id if the caller chose none.
func checkedJobID(id model.JobID) (model.JobID, error) {
	switch {
	case id == "":
		v, err := uuid.NewV7()
		return model.JobID(v.String()), err
	case len(id) > maxIDLen:
		return "", &model.Error{
			Outcome: model.OutcomeNotRun, Kind: model.ErrorKindInvalid, Message: "the job id is too long",
			Remedy: "use up to 128 printable ASCII characters without space and slash, such as a UUID",
		}
	}
	return id, nil
}

// unscopedJob returns the job with the id that callers of the workspace use, also in the reason of its failure.
func unscopedJob(ws model.WorkspaceID, j model.Job) model.Job {
	j.Spec.ID = model.JobID(strings.TrimPrefix(string(j.Spec.ID), string(ws)+scopeSeparator))
	j.FailureReason = unscopedText(ws, j.FailureReason)
	return j
}

// scopedIDPattern matches a scoped id in the text of a reason or an error.
var scopedIDPattern = regexp.MustCompile(`\b(job|gang|id) ([a-z][a-z0-9-]*):([^\s;,]+)`)

// unscopedText replaces the scoped ids in a text with those that callers of the workspace use, and hides the ids of other
// workspaces.
func unscopedText(ws model.WorkspaceID, text string) string {
	return scopedIDPattern.ReplaceAllStringFunc(text, func(match string) string {
		groups := scopedIDPattern.FindStringSubmatch(match)
		if groups[2] != string(ws) {
			return groups[1] + " of another workspace"
		}
		return groups[1] + " " + groups[3]
	})
}

// unscopedError applies unscopedText to the message of an error.
func unscopedError(ws model.WorkspaceID, err error) error {
	var e *model.Error
	if !errors.As(err, &e) {
		return err
	}
	unscoped := *e
	unscoped.Message = unscopedText(ws, e.Message)
	return &unscoped
}
