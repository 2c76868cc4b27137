// Package leaselimiter bounds what a leader does, and for how long its worker leases last, without a confirmation of the log. Its successor
// relies on these bounds.
package leaselimiter
