// Package spooler holds the submissions of an entry host while the log can't be reached, and appends them in batches, the most
// urgent and oldest first.
package spooler
