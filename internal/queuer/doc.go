// Package queuer implements a bounded fair queue that orders items by urgency, workspace and caller.
// Its functions read no clock and take the time as an argument. A queue is not safe for concurrent use.
package queuer
