package journaler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/sizer"
	"chestnutmux.example/chestnutmux/pkg/model"
)

const (
	// maxEndedSteps bounds the memory of the steps that are kept of an ended job. A leader that finds a run of the job looks up what the run
	// needs; without the steps it takes the worker for full.
	maxEndedSteps model.Bytes = 4 << 10
	// minEndedBytes is the size of payload and steps from which the record of an ended job replaces that of the submission in the log. A
	// smaller one costs less than to write another record.
	minEndedBytes model.Bytes = 1 << 10
)

// EndedForm returns what is kept of the submission of an ended job, of which callers ask only the state: neither its payload nor, if they are
// large, its steps. A digest tells whether another submission is the same.
func EndedForm(s *model.Submission) *model.Submission {
	if s.Digest != "" {
		return s
	}
	out := *s
	out.Payload, out.Digest = "", digest(s)
	if sizer.Steps(s.Steps) > maxEndedSteps {
		out.Steps = nil
	}
	return &out
}

// digest identifies the payload and the steps of a submission.
func digest(s *model.Submission) string {
	h := sha256.New()
	steps, err := json.Marshal(s.Steps)
	if err != nil {
		panic(err) // steps are numbers and strings
	}
	_, _ = h.Write(steps)
	_, _ = h.Write([]byte(s.Payload))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// NewEndedRecord returns a record that replaces the submission of an ended job in the log, so that hosts that start don't read and keep its
// payload. It reports false if the submission is so small that the record is not worth its cost.
func NewEndedRecord(s *model.Submission) (r Record, ok bool, err error) {
	if !isReplacedAtEnd(s) {
		return Record{}, false, nil
	}
	r, err = encode(kindSubmission+string(s.ID), EndedForm(s))
	return r, err == nil, errors.Wrap(err, "journaler: ended job")
}

// isReplacedAtEnd reports whether the leader replaces the record of a submission when the job ends.
func isReplacedAtEnd(s *model.Submission) bool {
	return s.Digest == "" && model.Bytes(len(s.Payload))+sizer.Steps(s.Steps) >= minEndedBytes
}

// Held returns the memory that the jobs of a workspace, and all jobs, take on a host that leads.
func (rep *Replica) Held(ws model.WorkspaceID) (workspace, total model.Bytes) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.heldBy[ws], rep.held
}

// setHeld changes the memory that a job takes. The caller holds rep.mu.
func (rep *Replica) setHeld(j *Job, n model.Bytes) {
	ws := j.Submission.Workspace
	rep.held += n - j.held
	if rep.heldBy[ws] += n - j.held; rep.heldBy[ws] == 0 {
		delete(rep.heldBy, ws)
	}
	j.held = n
}

// releaseEnded drops what is not needed of an ended job. The leader needs the submission of a cancelled one until it has written the final
// state. The caller holds rep.mu.
func (rep *Replica) releaseEnded(j *Job) {
	if j.Submission == nil || !j.endWritten {
		return
	}
	if isReplacedAtEnd(j.Submission) {
		j.recordBytes = 0 // that of the new record is part of what each job takes
	}
	j.Submission = EndedForm(j.Submission)
	rep.setHeld(j, sizer.HeldAfterEnd(j.Submission, j.recordBytes))
}
