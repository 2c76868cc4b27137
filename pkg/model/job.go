package model

import (
	"encoding/json"
	"time"
)

// Span limits the distance between the members of a gang.
type Span string

// The spans, from the closest to the widest.
const (
	SpanRack   Span = "rack"   // all members in one rack
	SpanDomain Span = "domain" // all members in one failure domain; also the meaning of an empty span
)

// Shape describes the resources of a gang, a set of members that run at the same time on different workers.
type Shape struct {
	Workers      int          `json:"workers"`             // number of members; each member runs on a worker of its own
	Accelerators Accelerators `json:"accelerators"`        // per member
	Cores        Cores        `json:"cores,omitempty"`     // per member
	MemoryMB     Megabytes    `json:"memory-mb,omitempty"` // per member
	Span         Span         `json:"span,omitempty"`
}

// TotalAccelerators returns the number of accelerators of all members together.
func (s Shape) TotalAccelerators() Accelerators {
	return Accelerators(s.Workers) * s.Accelerators
}

// JobSpec is a job in the form that callers submit. It describes either one gang by its shape, or steps of tasks.
type JobSpec struct {
	ID             JobID           `json:"id"`
	Workspace      WorkspaceID     `json:"workspace"`
	Caller         CallerID        `json:"caller"`
	Class          ClassID         `json:"class"`
	Shape          Shape           `json:"shape,omitzero"`
	Steps          []Step          `json:"steps,omitempty"`   // used instead of Shape
	EstimatedRunMS Millis          `json:"run-ms,omitempty"`  // run time of the gang as estimated by the caller; often inaccurate
	Payload        json.RawMessage `json:"payload,omitempty"` // passed to the workers unchanged
}

const milliCoresPerCore = 1000

// Submission converts the job to the form that is stored and scheduled, and assigns it to the queue q. A shape becomes one
// step with a task per gang member.
func (s *JobSpec) Submission(q Queue) *Submission {
	steps := s.Steps
	if len(steps) == 0 {
		steps = []Step{{
			Count: s.Shape.Workers, Gang: true, OneRack: s.Shape.Span == SpanRack, MaxPerWorker: 1, EstimatedRunMS: s.EstimatedRunMS,
			Need: Resources{
				Cores: MilliCores(s.Shape.Cores) * milliCoresPerCore, MemoryMB: s.Shape.MemoryMB, Accelerators: s.Shape.Accelerators,
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
	JobQueued    JobState = "queued" // no task has been started yet
	JobRunning   JobState = "running"
	JobFinished  JobState = "finished"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// IsFinal reports whether a job in this state has ended.
func (s JobState) IsFinal() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// Job is an accepted job in the form that is reported to its caller.
type Job struct {
	Spec          JobSpec   `json:"spec"`
	State         JobState  `json:"state"`
	FailureReason string    `json:"error,omitempty"` // why the job failed
	AcceptedAt    time.Time `json:"accepted-at"`     // by the clock of the entry host that accepted the job
}
