package server

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// scopeSep separates the workspace from the id that a caller chose; names of workspaces do not contain it.
const scopeSep = ":"

// scoped returns the id under which a job of the workspace is known to all hosts and workers. Without the workspace
// in it, the callers of one workspace could find out the ids of another one or take them first.
func scoped(ws model.WorkspaceID, id model.JobID) model.JobID {
	return model.JobID(string(ws) + scopeSep + string(id))
}

// newJobID checks the id that a caller chose, or makes one.
func newJobID(id model.JobID) (model.JobID, error) {
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

// unscoped returns the job as its caller knows it.
func unscoped(ws model.WorkspaceID, j model.Job) model.Job {
	j.Spec.ID = model.JobID(strings.TrimPrefix(string(j.Spec.ID), string(ws)+scopeSep))
	j.FailureReason = unscopedText(ws, j.FailureReason)
	return j
}

var scopedID = regexp.MustCompile(`\b(job|gang|id) ([a-z][a-z0-9-]*):([^\s;,]+)`)

// unscopedText gives the ids in a text as the callers of the workspace know them, and withholds those of others.
func unscopedText(ws model.WorkspaceID, text string) string {
	return scopedID.ReplaceAllStringFunc(text, func(found string) string {
		m := scopedID.FindStringSubmatch(found)
		if m[2] != string(ws) {
			return m[1] + " of another workspace"
		}
		return m[1] + " " + m[3]
	})
}

// unscopedError does the same for the message of an error.
func unscopedError(ws model.WorkspaceID, err error) error {
	var e *model.Error
	if !errors.As(err, &e) {
		return err
	}
	u := *e
	u.Message = unscopedText(ws, e.Message)
	return &u
}
