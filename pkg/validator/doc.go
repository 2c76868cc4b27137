// Package validator validates a complete configuration and reports all faults
// at once, in a stable order, each with a remedy. Each entry host repeats the
// validation when it replays the config stream, so any change to its results
// needs a new SchemaVersion.
package validator
