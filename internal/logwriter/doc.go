// Package logwriter writes log lines in the background, so that a slow output never blocks the program. Lines that exceed the
// capacity of the queue or the rate limit are dropped and counted.
package logwriter
