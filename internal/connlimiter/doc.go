// Package connlimiter bounds the connections that clients open, in all and by client address. At a bound, a connection that has
// waited for its client gives way to a new one.
package connlimiter
