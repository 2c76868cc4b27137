// Package publisher publishes configuration changes and follows the published configuration. Each record in the log holds
// the complete configuration. A publish appends a new record on the condition that the log has not grown since the
// configuration was read (optimistic concurrency control).
package publisher
