// Package settings reads and validates the settings file of an entry host, which is JSON with comments and trailing commas. It
// reports all faults of a file at once.
package settings
