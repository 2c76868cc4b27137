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

// TotalAccelerators returns the accelerators of all members.
func (s Shape) TotalAccelerators() Accelerators {
	return Accelerators(s.Workers) * s.Accelerators
}

// JobSpec is what a caller submits: the shape of one gang, or steps of tasks.
type JobSpec struct {
	ID             JobID           `json:"id"`
	Workspace      WorkspaceID     `json:"workspace"`
	Caller         CallerID        `json:"caller"`
	Class          ClassID         `json:"class"`
	Shape          Shape           `json:"shape,omitzero"`
	Steps          []Step          `json:"steps,omitempty"`   // instead of a shape
	EstimatedRunMS Millis          `json:"run-ms,omitempty"`  // declared run time of the shape, often far off
	Payload        json.RawMessage `json:"payload,omitempty"` // handed to the workers unread
}

// milliPerCore converts cores to thousandths of a core.
const milliPerCore = 1000

// Submission returns the job as it is stored and run, in the given queue.
func (s *JobSpec) Submission(q Queue) *Submission {
	steps := s.Steps
	if len(steps) == 0 {
		steps = []Step{{
			Count: s.Shape.Workers, Gang: true, OneRack: s.Shape.Span == SpanRack, MaxPerWorker: 1, EstimatedRunMS: s.EstimatedRunMS,
			Need: Resources{
				Cores: MilliCores(s.Shape.Cores) * milliPerCore, MemoryMB: s.Shape.MemoryMB, Accelerators: s.Shape.Accelerators,
			},
		}}
	}
	return &Submission{
		ID: s.ID, Workspace: s.Workspace, Caller: s.Caller, Queue: q, Payload: string(s.Payload), Steps: steps,
	}
}

// JobState is the state of an accepted job.
type JobState string

// The states of a job; the last three are final.
const (
	JobQueued    JobState = "queued" // no task has started
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// IsFinal reports whether the state is an outcome.
func (s JobState) IsFinal() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// Job is an accepted job as its caller sees it.
type Job struct {
	Spec          JobSpec   `json:"spec"`
	State         JobState  `json:"state"`
	FailureReason string    `json:"error,omitempty"` // reason of failed
	AcceptedAt    time.Time `json:"accepted-at"`     // on the clock of the host that accepted it
}
