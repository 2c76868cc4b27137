// Package log is a fake of the log service: streams of keyed records with conditional appends, writers that are fenced
// by epochs, long-polling reads and queries for the newest record of each key.
package log
