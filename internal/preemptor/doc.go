// Package preemptor decides whether a waiting step preempts less urgent work.
//
// It has neither network nor clock: the caller passes the time, the waiting work, and what a preemption would stop.
package preemptor
