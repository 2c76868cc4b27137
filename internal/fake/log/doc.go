// Package log is a fake of the platform's log service: append-only streams with
// offsets, retention and a rate limit. Records are kept over a restart.
package log
