// Package reserver holds the authority of an entry host over the workers of its
// failure domain: the planner's term, the gang protocol and the leases.
//
// Reserver is a state machine without sockets, goroutines or clocks. Events go
// in through Handle, batches for workers and reports for the scheduler come out
// of Drain. Driver owns a Reserver, sends its batches and feeds it the replies.
//
// Leases are granted such that they end within one task lease of the time at which a
// majority of the workers last confirmed the term. This assumes that a worker applies a
// batch within Config.Call of its being sent or not at all; a worker that applies a
// renewal later, and is cut off before the next batch, holds its tasks for longer.
package reserver
