// Package reserver holds the authority of an entry host over the workers of its
// failure domain: the planner's term, the gang protocol and the leases.
//
// Reserver is a state machine without sockets, goroutines or clocks. Events go
// in through Handle, batches for workers and reports for the scheduler come out
// of Drain. Driver owns a Reserver, sends its batches and feeds it the replies.
package reserver
