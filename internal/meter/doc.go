// Package meter counts the bytes and messages of connections per kind of peer, and the process's CPU time and memory.
package meter
