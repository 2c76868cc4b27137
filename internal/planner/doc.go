// Package planner runs the task that plans one failure domain: it owns the scheduler, directs the reserver and
// records starts and outcomes in the log.
package planner
