// Package client sends requests of callers and operators to an entry host.
package client
