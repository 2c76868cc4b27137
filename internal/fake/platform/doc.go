// Package platform starts a whole deployment of fakes in one process: the log, the host
// list, workers, runners, relays and an admin listener that sets faults by name.
package platform
