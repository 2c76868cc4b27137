// Package dispatcher implements the scheduling loop of the leader, which starts, monitors and stops the runs of all jobs on the
// workers.
//
// A dispatcher serves one term. A single goroutine owns all its state; worker sessions and log appends send it events. State
// that has to survive the term is written to the log. A new leader learns from the reports of the workers which runs they have.
package dispatcher
