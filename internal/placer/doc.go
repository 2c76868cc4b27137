// Package placer chooses the workers for tasks, and the running work to preempt for them.
//
// It has no side effects beyond its arguments: it takes the workers with their free resources and returns places. The caller
// keeps the state and starts and stops the runs.
package placer
