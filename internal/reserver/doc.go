// Package reserver decides how many workers of a service are withheld as headroom for more urgent work that is expected.
//
// It has neither network nor clock: the caller passes the time, the workers, and the work that runs and waits.
package reserver
