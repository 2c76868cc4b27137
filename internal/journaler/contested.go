package journaler

import (
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Fingerprint identifies the workspace and the content of a submission, also in the form that is kept after the end of the job.
func Fingerprint(s *model.Submission) string {
	content := s.Digest
	if content == "" {
		content = digest(s)
	}
	return string(s.Workspace) + ":" + content
}

// applyFurtherSubmission applies the record of a submission under the ID of a job that is known. The first one in the log is valid. The log
// keeps only the newest record of each key, so that a snapshot may have another one; the leader then writes which is valid, and the record
// of the valid one again. It reports whether the record has an effect.
func (rep *Replica) applyFurtherSubmission(id model.JobID, j *Job, s *model.Submission, r Record) bool {
	own, other := Fingerprint(j.Submission), Fingerprint(s)
	if own == other {
		j.IsContested = false // the newest record is a valid one
		return false
	}
	isEarlier := r.Offset < j.submissionOffset && j.Winner == ""
	if isEarlier || j.Winner == other {
		rep.dropSubmission(j)
		rep.setSubmission(id, j, s, r)
		return true
	}
	j.IsContested = true
	rep.Logger.Warn("ignoring another submission under the id of a job", "job", id, "workspace", s.Workspace, "offset", r.Offset)
	return true
}

// applyWinner notes which submission is valid, and drops another one, whose record a snapshot had. The record of the valid one follows.
func (rep *Replica) applyWinner(j *Job, winner string) {
	if winner == "" {
		return
	}
	j.Winner = winner
	if j.Submission != nil && Fingerprint(j.Submission) != winner {
		rep.dropSubmission(j)
	}
}

// dropSubmission forgets the submission of a job. The caller holds rep.mu.
func (rep *Replica) dropSubmission(j *Job) {
	rep.adjustQueuedCount(j, -1)
	rep.setHeld(j, 0)
	j.Submission, j.Cancelled = nil, false
}

// NewWinnerRecords returns the records with which a leader restores the valid submission of a job whose newest record is of another one.
func NewWinnerRecords(j *Job, p Progress) ([]Record, error) {
	p.Winner = Fingerprint(j.Submission)
	progress, err := NewProgressRecord(j.Submission.ID, &p)
	if err != nil {
		return nil, errors.Wrap(err, "journaler: contested job")
	}
	submission, err := NewSubmissionRecord(j.Submission)
	return []Record{progress, submission}, errors.Wrap(err, "journaler: contested job")
}
