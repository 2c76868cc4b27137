// Package compressor compresses values that are stored in the log or sent to other hosts.
package compressor
