package journaler

import (
	"context"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/fitter"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// Record is one keyed record of the log; an empty value is a tombstone that deletes the key.
type Record struct {
	Key    string       `json:"key"`
	Value  []byte       `json:"value,omitempty"`
	Offset model.Offset `json:"offset,omitempty"` // set in records read from the log
}

// The key of a record is its kind, followed by the ID of the job or host that it belongs to. The keys of the term and of the
// fleet have no ID.
const (
	kindSubmission   = "job/"
	kindCancellation = "cancel/"
	kindProgress     = "progress/"
	keyTerm          = "term"
	keyFleet         = "fleet"
	// kindHost sorts after all other kinds, so that a starting host can read the addresses alone, before it reads the jobs.
	kindHost = "zhost/"
)

// Term is the record with which a host becomes leader. The leader writes it again to renew the term and to resign.
type Term struct {
	Fence   model.FencingToken `json:"fence"`
	Host    model.HostID       `json:"host"`              // the leader
	Nonce   string             `json:"nonce"`             // random ID of the host's process, which changes with each restart
	Address string             `json:"address,omitempty"` // not used
	// FirstSeq is the sequence number of the first append of the term. Each candidate starts at a random number, so that the
	// log does not mistake the append of another candidate with the same fencing token for a retry.
	FirstSeq int64 `json:"first-seq"`
	Resigned bool  `json:"resign,omitempty"` // whether the leader gives up the term
	// ResignReason says why, if the leader does not shut down.
	ResignReason ResignReason `json:"resign-reason,omitempty"`
	Load         Load         `json:"load"`
}

// ResignReason says why a leader gives up its term.
type ResignReason string

// ResignedForMemory is the reason of a leader that comes near the memory limit of its host.
const ResignedForMemory ResignReason = "memory"

// Load is the leader's summary of the cluster's load. Entry hosts use it to decide whether to accept a job.
type Load struct {
	Capacity model.Accelerators `json:"capacity"` // total number of accelerators of the workers that accept tasks
	// AllEvacuated says that no worker may be used because an operator has evacuated all failure domains. A Capacity of 0 alone says nothing.
	AllEvacuated bool      `json:"all-evacuated,omitempty"`
	Backlog      []float64 `json:"waiting,omitempty"` // accepted work that is not done, in accelerator-seconds, by priority
	// Shared is, for the workspaces with the most work, the work that a workspace waits for within its share of the capacity, by priority and
	// like Backlog. SharedOthers is the most of any other workspace. Both are empty while there is little work or one workspace.
	Shared       map[model.WorkspaceID][]float64 `json:"shared,omitempty"`
	SharedOthers []float64                       `json:"shared-others,omitempty"`
	// RunTimes has the queues whose tasks run longer than their callers estimate, and under the empty name the mean of all runs if some callers
	// give no estimate. It is empty unless the leader learns run times.
	RunTimes map[model.QueueID]LearnedRunTime `json:"run-times,omitempty"`
	// Fleet is the most that leaders have seen of the workers. It tells jobs that none of them can run.
	Fleet fitter.Fleet `json:"fleet,omitempty"`
}

// LearnedRunTime is how long the tasks of a queue run in the mean.
type LearnedRunTime struct {
	MS     model.Millis `json:"ms"`
	Factor float64      `json:"factor,omitempty"` // multiple of the caller's estimate, where that says more than MS; 0 means that it says less
}

// FleetWorker is a worker to which a leader may have assigned tasks.
type FleetWorker struct {
	ID      model.HostID `json:"id"`
	Address string       `json:"address"`
	// Incarnation identifies the process of the worker; 0 means that it is unknown.
	Incarnation int64 `json:"incarnation,omitempty"`
	// RunsRecorded says that the worker gets no new tasks and that the progress records of the jobs list all its runs.
	RunsRecorded bool `json:"closed,omitempty"`
}

// Progress is the leader's record of the progress of a job.
type Progress struct {
	Fence  model.FencingToken `json:"fence"`
	State  model.JobState     `json:"state"`
	Reason string             `json:"reason,omitempty"` // reason for the state
	// Winner identifies the valid submission of the job; empty while there was only one under its ID.
	Winner string `json:"submission,omitempty"`
	// Steps holds the progress of each step that has any, keyed by StepKey.
	Steps map[string]StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of the tasks of one step; tasks are identified by their index.
type StepProgress struct {
	DoneTasks    BitSet                    `json:"done,omitempty"`        // finished tasks
	FailedRuns   map[int][]model.RunNumber `json:"failed,omitempty"`      // failed runs of each task
	Crashes      map[int]int               `json:"crashes,omitempty"`     // number of workers that have crashed under each task
	Checkpoints  map[int]model.Checkpoint  `json:"checkpoints,omitempty"` // newest checkpoint of each task
	RunningTasks map[model.HostID][]int    `json:"running,omitempty"`     // tasks that have a run, by worker
	// BlamelessTasks lists tasks in RunningTasks under which the end of the worker is no crash to count: the run is not known to have
	// begun, the end was announced, or the crash is counted in Crashes.
	BlamelessTasks []int `json:"blameless,omitempty"`
	// LateStarts lists the tasks of which a worker may carry out an earlier start request, beside RunningTasks.
	LateStarts map[model.HostID][]int `json:"late-starts,omitempty"`
}

// WithoutCheckpoints returns the progress without the checkpoints of tasks.
func (p *Progress) WithoutCheckpoints() *Progress {
	out := *p
	out.Steps = make(map[string]StepProgress, len(p.Steps))
	for key, s := range p.Steps {
		s.Checkpoints = nil
		out.Steps[key] = s
	}
	return &out
}

// StepKey returns the key "occurrence.step" of a step in a progress record.
func StepKey(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// NewSubmissionRecord returns the record that accepts a job.
func NewSubmissionRecord(s *model.Submission) (Record, error) {
	return encode(kindSubmission+string(s.ID), s)
}

// NewCancellationRecord returns the record that cancels a job of a workspace.
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

// HostAddress is the address at which an entry host serves its peers, and what they need to know about it.
type HostAddress struct {
	Host    model.HostID   `json:"host"`
	Address string         `json:"address"` // host:port
	Domain  model.DomainID `json:"domain"`
	// MemoryMB is the memory limit of the host's process; 0 means unknown.
	MemoryMB model.Megabytes `json:"memory-mb,omitempty"`
}

// NewHostRecord returns the record with which an entry host announces its address to its peers.
func NewHostRecord(h HostAddress) (Record, error) {
	return encode(kindHost+string(h.Host), h)
}

// ReadHostAddresses reads the addresses of the entry hosts from the log, without the other records.
func ReadHostAddresses(ctx context.Context, log Log) ([]HostAddress, error) {
	loader := SnapshotLoader{after: strings.TrimSuffix(kindHost, "/")}
	s, err := loader.Load(ctx, log)
	if err != nil {
		return nil, err
	}
	var out []HostAddress
	for _, r := range s.Records {
		var h HostAddress
		if kind, _ := splitKey(r.Key); kind != kindHost || len(r.Value) == 0 {
			continue
		}
		if err := decode(r.Value, &h); err != nil {
			return nil, errors.Wrapf(err, "journaler: decoding record %s", r.Key)
		}
		out = append(out, h)
	}
	return out, nil
}

// NewFleetRecord returns the record of the workers that a leader uses.
//
// The next leader must reach each of these workers or wait for the worker's lease to expire, even if the platform no longer
// lists the worker.
func NewFleetRecord(workers []FleetWorker) (Record, error) {
	return encode(keyFleet, workers)
}

// NewTombstones returns the tombstones that delete all records of a job.
func NewTombstones(id model.JobID) []Record {
	return []Record{
		{Key: kindSubmission + string(id)},
		{Key: kindCancellation + string(id)},
		{Key: kindProgress + string(id)},
	}
}

// cancellation is the value of a cancellation record.
type cancellation struct {
	Workspace model.WorkspaceID `json:"workspace"`
}

// splitKey splits a key into its kind and the ID of the job or host; a key without ID is a kind by itself.
func splitKey(key string) (kind string, id model.JobID) {
	kind, rest, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return kind + "/", model.JobID(rest)
}

// AddLateStart adds a task to LateStarts.
func (p *StepProgress) AddLateStart(id model.HostID, task int) {
	if p.LateStarts == nil {
		p.LateStarts = map[model.HostID][]int{}
	}
	p.LateStarts[id] = append(p.LateStarts[id], task)
}
