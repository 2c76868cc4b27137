// Package settings reads the settings file of an entry host, JSON with comments, and checks it whole.
package settings
