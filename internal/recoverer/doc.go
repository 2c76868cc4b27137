// Package recoverer keeps a panic in one part of a host from ending the process.
//
// It is used where a panic affects one message, call or term, and the code around it can drop that and go on. A part whose state
// may be inconsistent afterwards has to end, for example the term of a leader.
package recoverer
