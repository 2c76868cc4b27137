// Package settings reads and validates the settings file of an entry host, which is JSON with comments. It reports all
// faults of a file at once.
package settings
