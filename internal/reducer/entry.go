package reducer

import (
	"encoding/json"

	"chestnutmux.example/chestnutmux/pkg/model"
	"github.com/cockroachdb/errors"
)

// ConfigEntry is one entry of the config stream; exactly one field is set.
type ConfigEntry struct {
	Publish  *Publish        `json:"publish,omitempty"`
	Snapshot *ConfigSnapshot `json:"snapshot,omitempty"`
}

// Publish asks for changes to the configuration; the publisher chooses the id to find the verdict by.
type Publish struct {
	ID string `json:"id"`
	model.Publish
}

// JobEntry is one entry of the jobs stream; exactly one field is set.
type JobEntry struct {
	Submitted *Submitted    `json:"submitted,omitempty"`
	Started   *Started      `json:"started,omitempty"`
	Ended     *Ended        `json:"ended,omitempty"`
	Cancel    *Cancel       `json:"cancel,omitempty"`
	Rehomed   *Rehomed      `json:"rehomed,omitempty"`
	Snapshot  *JobsSnapshot `json:"snapshot,omitempty"`
}

// Submitted accepts a job.
type Submitted struct {
	Spec model.JobSpec  `json:"spec"`
	Home model.DomainID `json:"home"`
	Host model.HostID   `json:"host"` // entry host that accepted it
}

// Started records the start of an attempt by the planner of the home failure domain.
type Started struct {
	Job     model.JobID    `json:"job"`
	Domain  model.DomainID `json:"domain"`
	Attempt int            `json:"attempt"`
}

// Ended records the outcome of a job, by the planner of the home failure domain.
type Ended struct {
	Job     model.JobID    `json:"job"`
	Domain  model.DomainID `json:"domain"`
	Attempt int            `json:"attempt"` // 0 when no attempt was started
	State   model.JobState `json:"state"`   // a final state
	Error   string         `json:"error,omitempty"`
}

// Cancel asks the planner of the home failure domain to end a job as cancelled.
type Cancel struct {
	Job model.JobID `json:"job"`
	By  string      `json:"by,omitempty"` // caller or operator
}

// Rehomed moves a job to another failure domain; section 3.3 of the design says when a host may write it.
type Rehomed struct {
	Job  model.JobID    `json:"job"`
	From model.DomainID `json:"from"`
	To   model.DomainID `json:"to"`
}

// ClaimEntry is one entry of the claims stream; exactly one field is set.
type ClaimEntry struct {
	Claim *Claim `json:"claim,omitempty"`
}

// Claim reserves a non-idempotent request for one entry host.
type Claim struct {
	Workspace model.WorkspaceID `json:"workspace"`
	Request   model.RequestID   `json:"request"`
	Host      model.HostID      `json:"host"`
}

// Encode returns the entry as the JSON value that the appender takes.
func Encode[E ConfigEntry | JobEntry | ClaimEntry](e E) (json.RawMessage, error) {
	b, err := json.Marshal(e)
	return b, errors.Wrap(err, "reducer: encode entry")
}

// decode returns the entries of a record in order. A malformed entry is the zero value, so that the other entries
// keep their index; the count says how many are malformed. An unknown kind (of a later version) is malformed too.
func decode[E any](data json.RawMessage, fields func(*E) int) ([]E, int) {
	var raw []json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return nil, 1
	}
	entries := make([]E, len(raw))
	malformed := 0
	for i, r := range raw {
		var e E
		if json.Unmarshal(r, &e) != nil || fields(&e) != 1 {
			malformed++
			continue
		}
		entries[i] = e
	}
	return entries, malformed
}

func configFields(e *ConfigEntry) int { return count(e.Publish != nil, e.Snapshot != nil) }

func jobFields(e *JobEntry) int {
	return count(e.Submitted != nil, e.Started != nil, e.Ended != nil, e.Cancel != nil, e.Rehomed != nil, e.Snapshot != nil)
}

func claimFields(e *ClaimEntry) int { return count(e.Claim != nil) }

func count(set ...bool) int {
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}
