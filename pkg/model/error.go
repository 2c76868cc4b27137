package model

import "fmt"

// Outcome says whether a request was run.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the request was run and its response is complete
	OutcomeNotRun   Outcome = "not-run"  // it is certain that the request was not run
	OutcomeUnknown  Outcome = "unknown"  // the request may have been run
)

// ErrorKind is the machine-readable kind of an Error.
type ErrorKind string

// The kinds of errors.
const (
	ErrorKindInvalid        ErrorKind = "invalid"
	ErrorKindConflict       ErrorKind = "conflict"
	ErrorKindUnauthorized   ErrorKind = "unauthorized"
	ErrorKindForbidden      ErrorKind = "forbidden"
	ErrorKindNotFound       ErrorKind = "not-found"
	ErrorKindLogUnavailable ErrorKind = "log-unavailable"
	ErrorKindNotReady       ErrorKind = "not-ready"
	ErrorKindOverloaded     ErrorKind = "overloaded"
	ErrorKindDeadline       ErrorKind = "deadline"
	ErrorKindDraining       ErrorKind = "draining"
	ErrorKindNeverRunnable  ErrorKind = "never-runnable"
	ErrorKindAlreadyClaimed ErrorKind = "already-claimed"
	ErrorKindNoRunner       ErrorKind = "no-runner"
	ErrorKindUpstream       ErrorKind = "upstream"
	ErrorKindTooLarge       ErrorKind = "too-large"
	ErrorKindTrimmed        ErrorKind = "trimmed"
)

// Error is the error of all interfaces of an entry host.
type Error struct {
	Outcome        Outcome       `json:"outcome,omitempty"`
	Kind           ErrorKind     `json:"kind"`
	Message        string        `json:"message"`
	Remedy         string        `json:"remedy,omitempty"` // what the caller or operator can do about the error
	RetryAfterMS   Millis        `json:"retry-after-ms,omitempty"`
	RequestIDSpent bool          `json:"spent-id,omitempty"` // the request id can't be used again; a retry needs a new id
	Faults         []ConfigFault `json:"faults,omitempty"`   // reasons why a published configuration is invalid
}

// Error returns the kind, the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// ConfigFault is a rule of the validator that a configuration object violates.
type ConfigFault struct {
	Kind    ObjectKind `json:"kind"`
	Name    string     `json:"name"`
	Field   string     `json:"field"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}
