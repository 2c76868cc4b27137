// Package queuer is a bounded fair queue: by urgency, then by workspace, then by caller.
// It is pure: time is an argument, and it is not safe for concurrent use.
package queuer
