// Package coordinator runs the background work of an entry host: it follows the log, takes part in leader elections and,
// while the host is the leader, runs the dispatcher.
package coordinator
