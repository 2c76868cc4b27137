// Package evacuator knows in which failure domains an operator has requested that nothing more be started, and whether this knowledge
// is recent enough to start anything.
//
// It uses neither the network nor a clock. The follower of the operator's records passes in what it has read, with the offset of each
// record in the log and with the times at which the end of the log was confirmed.
package evacuator
