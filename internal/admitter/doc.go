// Package admitter implements admission control of new jobs, based on the leader's summary of the queues.
package admitter
