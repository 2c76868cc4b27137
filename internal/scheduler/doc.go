// Package scheduler decides which jobs of one failure domain start, are
// preempted or are rejected. It is pure: the caller passes the time, reports
// what happened to gangs, and carries out the decisions of each pass.
//
// A Scheduler is used by one goroutine at a time. Reports may come twice and in
// any order; a report about an unknown or superseded gang is ignored.
package scheduler
