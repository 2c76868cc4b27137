// Package journaler stores the state of jobs durably in the platform's log.
//
// Records are keyed, and the log retains the newest record of each key. Entry hosts append submissions, cancellations
// and their addresses; the leader appends its term, the workers that it uses and the progress of jobs. Every host applies
// the same records in log order to its own replica of the state.
//
// A Log is a topic on the users' platform (package platform) and a stream of the log service (package logclient).
package journaler
