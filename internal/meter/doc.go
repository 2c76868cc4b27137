// Package meter counts the bytes and messages on connections by kind of peer, and reads the CPU time and memory use of the
// process.
package meter
