// Package resolver looks up the queue and the workspace of a call in the current configuration.
package resolver
