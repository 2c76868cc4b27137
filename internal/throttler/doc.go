// Package throttler bounds the memory of requests that a host sends.
package throttler
