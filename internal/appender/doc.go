// Package appender writes entries to one stream of the log service. It batches
// the entries of concurrent callers into one record (group commit) and repeats
// an append without an answer under the same record id until it is confirmed.
package appender
