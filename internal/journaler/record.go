package journaler

import (
	"strconv"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Record is one keyed record of the log; an empty value drops the key.
type Record struct {
	Key    string       `json:"key"`
	Value  []byte       `json:"value,omitempty"`
	Offset model.Offset `json:"offset,omitempty"` // set on reading
}

// The key of a record is its kind, followed by the job it belongs to.
const (
	kindSubmission   = "job/"
	kindCancellation = "cancel/"
	kindProgress     = "progress/"
	keyTerm          = "term"
	keyFleet         = "fleet"
	kindHost         = "host/"
)

// Term is the record by which a host leads and renews its lead.
type Term struct {
	Fence   model.FencingToken `json:"fence"`
	Host    model.HostID       `json:"host"`
	Nonce   string             `json:"nonce"` // tells apart two lives of a host
	Address string             `json:"address,omitempty"`
	// FirstSeq is the number of the append that wrote the term; each leader starts at a random one, so that the log
	// does not take the append of a rival with the same fence as a repeat.
	FirstSeq int64 `json:"first-seq"`
	Resigned bool  `json:"resign,omitempty"` // the leader shuts down
	Load     Load  `json:"load"`
}

// Load is the leader's summary of the queues, by which every host decides whether to accept a job.
type Load struct {
	Capacity model.Accelerators `json:"capacity"`          // of all workers that take tasks
	Backlog  []float64          `json:"waiting,omitempty"` // accelerator-seconds of accepted work not yet done, by priority
}

// FleetWorker is a worker that a leader may have given tasks to.
type FleetWorker struct {
	ID      model.HostID `json:"id"`
	Address string       `json:"address"`
	// Closed tells that the worker gets no new tasks, and that the progress of the jobs names all runs it has.
	Closed bool `json:"closed,omitempty"`
}

// Progress is the leader's record of what a job has done.
type Progress struct {
	Fence  model.FencingToken `json:"fence"`
	State  model.JobState     `json:"state"`
	Reason string             `json:"reason,omitempty"`
	// Steps holds the progress of the steps that have any, by "occurrence.step".
	Steps map[string]StepProgress `json:"steps,omitempty"`
}

// StepProgress is what the tasks of one step have done.
type StepProgress struct {
	DoneTasks    BitSet                    `json:"done,omitempty"`
	FailedRuns   map[int][]model.RunNumber `json:"failed,omitempty"`      // failed runs by task
	Checkpoints  map[int]model.Checkpoint  `json:"checkpoints,omitempty"` // newest by task
	RunningTasks map[model.HostID][]int    `json:"running,omitempty"`     // tasks with a run, by worker
}

// StepKey names a step of an occurrence in a progress record.
func StepKey(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// NewSubmissionRecord returns the record that accepts a job.
func NewSubmissionRecord(s *model.Submission) (Record, error) {
	return encode(kindSubmission+string(s.ID), s)
}

// NewCancellationRecord returns the record that cancels a job.
func NewCancellationRecord(id model.JobID, ws model.WorkspaceID) (Record, error) {
	return encode(kindCancellation+string(id), cancellation{Workspace: ws})
}

// NewProgressRecord returns the record of a job's progress.
func NewProgressRecord(id model.JobID, p *Progress) (Record, error) {
	return encode(kindProgress+string(id), p)
}

// NewTermRecord returns the record of a term.
func NewTermRecord(t Term) (Record, error) {
	return encode(keyTerm, t)
}

// HostAddress is where an entry host answers its peers.
type HostAddress struct {
	Host    model.HostID   `json:"host"`
	Address string         `json:"address"` // host:port
	Domain  model.DomainID `json:"domain"`
}

// NewHostRecord returns the record by which peers find an entry host.
func NewHostRecord(h HostAddress) (Record, error) {
	return encode(kindHost+string(h.Host), h)
}

// NewFleetRecord returns the record of the workers that a leader uses.
//
// A successor must reach each of them or wait for its lease to expire, also when the platform's list has lost them.
func NewFleetRecord(workers []FleetWorker) (Record, error) {
	return encode(keyFleet, workers)
}

// NewTombstones returns the records that drop all records of a job.
func NewTombstones(id model.JobID) []Record {
	return []Record{
		{Key: kindSubmission + string(id)},
		{Key: kindCancellation + string(id)},
		{Key: kindProgress + string(id)},
	}
}

type cancellation struct {
	Workspace model.WorkspaceID `json:"workspace"`
}

// cutKey splits a key into its kind and job.
func cutKey(key string) (kind string, id model.JobID) {
	kind, rest, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return kind + "/", model.JobID(rest)
}
