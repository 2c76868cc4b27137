package model

import (
	"encoding/json"
	"time"
)

// Span bounds how far apart the members of a gang may be placed.
type Span string

// The spans, closest first.
const (
	SpanRack   Span = "rack"
	SpanDomain Span = "domain" // the zero value of a shape means this one
)

// Shape describes the resources of a gang; a gang of one worker is a plain task.
type Shape struct {
	Workers      int          `json:"workers"`             // members, one a worker
	Accelerators Accelerators `json:"accelerators"`        // per member
	Cores        Cores        `json:"cores,omitempty"`     // per member
	MemoryMB     Megabytes    `json:"memory-mb,omitempty"` // per member
	Span         Span         `json:"span,omitempty"`
}

// Total returns the accelerators of all members.
func (s Shape) Total() Accelerators {
	return Accelerators(s.Workers) * s.Accelerators
}

// JobSpec is what a caller submits.
type JobSpec struct {
	ID        JobID           `json:"id"`
	Workspace WorkspaceID     `json:"workspace"`
	Caller    CallerID        `json:"caller"`
	Class     ClassID         `json:"class"`
	Shape     Shape           `json:"shape"`
	RunMS     Millis          `json:"run-ms,omitempty"`  // declared run time, often far off
	Payload   json.RawMessage `json:"payload,omitempty"` // handed to the workers unread
}

// JobState is the state of a job in the log.
type JobState string

// The states of a job; the last four are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobNotRun    JobState = "not-run" // accepted, later found unable to run, never started
)

// Final reports whether the state is an outcome.
func (s JobState) Final() bool {
	switch s {
	case JobFinished, JobFailed, JobCancelled, JobNotRun:
		return true
	}
	return false
}

// Job is an accepted job as folded from the log.
type Job struct {
	Spec       JobSpec   `json:"spec"`
	Home       DomainID  `json:"home"` // only this failure domain starts it
	State      JobState  `json:"state"`
	Attempt    int       `json:"attempt"`         // number of the latest attempt, 0 before the first
	Error      string    `json:"error,omitempty"` // reason of failed or not-run
	AcceptedAt time.Time `json:"accepted-at"`
	StartedAt  time.Time `json:"started-at,omitzero"` // start of the latest attempt
	EndedAt    time.Time `json:"ended-at,omitzero"`
	Offset     Offset    `json:"offset"` // of the record that accepted it
}
