// Package admitter decides at once whether a new job is accepted, from the leader's summary of the queues.
package admitter
