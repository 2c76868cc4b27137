package model

import "fmt"

// Outcome says whether a request was run. For the submission of a job, it says whether the job was accepted.
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
	ErrorKindInvalid        ErrorKind = "invalid"         // the request or the configuration is malformed or breaks a rule
	ErrorKindConflict       ErrorKind = "conflict"        // the id belongs to other work, or another publish changed the same object
	ErrorKindUnauthorized   ErrorKind = "unauthorized"    // no token or an unknown one
	ErrorKindForbidden      ErrorKind = "forbidden"       // the token does not allow the request
	ErrorKindNotFound       ErrorKind = "not-found"       // the path, the job or the service does not exist
	ErrorKindLogUnavailable ErrorKind = "log-unavailable" // the log could not be reached, refused an append or did not confirm it
	ErrorKindNotReady       ErrorKind = "not-ready"       // the entry host lacks a configuration, or has not yet read enough of the log or the host list
	ErrorKindOverloaded     ErrorKind = "overloaded"      // too much work is queued or in progress
	ErrorKindDeadline       ErrorKind = "deadline"        // the deadline passed, the caller disconnected or the log did not confirm a record in time
	ErrorKindDraining       ErrorKind = "draining"        // the entry host is shutting down
	ErrorKindNeverRunnable  ErrorKind = "never-runnable"  // the job exceeds the declared workers or the quota
	ErrorKindAlreadyClaimed ErrorKind = "already-claimed" // an entry host has claimed the request before, and its result is not available
	ErrorKindNoRunner       ErrorKind = "no-runner"       // no runner of the service is listed
	ErrorKindUpstream       ErrorKind = "upstream"        // a runner, or for the client the entry host, failed or sent no valid response
	ErrorKindTooLarge       ErrorKind = "too-large"       // the header or a body exceeds its size limit
	ErrorKindTrimmed        ErrorKind = "trimmed"         // the claim of the request is no longer in the log
)

// Error is the error that all interfaces of an entry host and the client return.
type Error struct {
	Outcome           Outcome       `json:"outcome,omitempty"`
	Kind              ErrorKind     `json:"kind"`
	Message           string        `json:"message"`
	Remedy            string        `json:"remedy,omitempty"`         // what the caller or operator can do about the error
	RetryAfterMS      Millis        `json:"retry-after-ms,omitempty"` // Retry-After hint, the delay before a retry; 0 means no hint
	RequestIDUnusable bool          `json:"spent-id,omitempty"`       // the request id can't be used again; a retry needs a new id
	Faults            []ConfigFault `json:"faults,omitempty"`         // reasons why a published configuration is invalid
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
