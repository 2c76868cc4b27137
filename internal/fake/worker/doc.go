// Package worker is a fake of the workers of a deployment. Fleet simulates all of them without a network and
// gets the current time as an argument; Worker serves one of them over HTTP; LedgerReport has the counts and the violations
// of the scheduler's guarantees that tests check.
package worker
