// Package dispatcher is the scheduling loop of the leader: it starts, monitors and stops the runs of all jobs on the workers.
//
// A dispatcher serves one term. A single goroutine owns all its state; worker sessions and log appends report to it through
// events. State that has to survive the term is written to the log. The runs on each worker are learned from its reports.
package dispatcher
