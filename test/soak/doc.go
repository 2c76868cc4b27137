// Package soak runs the built programs as separate processes, injects random faults from outside and checks the results
// that callers and workers observe.
package soak
