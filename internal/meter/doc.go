// Package meter counts the bytes and messages that connections transfer, by kind of peer, and reads the CPU time and memory use
// of the process.
package meter
