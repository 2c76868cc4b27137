package model

import "fmt"

// Outcome tells a caller what became of its request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run" // only where that is certain
	OutcomeUnknown  Outcome = "unknown"
)

// ErrorKind is the machine-readable kind of an error.
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

// Error is the typed error of all interfaces; its remedy says what the reader can do.
type Error struct {
	Outcome        Outcome       `json:"outcome,omitempty"`
	Kind           ErrorKind     `json:"kind"`
	Message        string        `json:"message"`
	Remedy         string        `json:"remedy,omitempty"`
	RetryAfterMS   Millis        `json:"retry-after-ms,omitempty"`
	RequestIDSpent bool          `json:"spent-id,omitempty"` // the request id can't be used again, a repeat needs a new one
	Faults         []ConfigFault `json:"faults,omitempty"`
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// ConfigFault is one fault of a configuration set.
type ConfigFault struct {
	Kind    ObjectKind `json:"kind"`
	Name    string     `json:"name"`
	Field   string     `json:"field"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
}
