// Package worker is a fake of the workers of a deployment. Fleet is a state machine without network access that gets the
// current time as an argument; Worker serves one of its workers over HTTP; LedgerReport has the counts and the violations
// of the scheduler's guarantees that tests check.
package worker
