// Package placer chooses workers for tasks, and the running work to preempt for them.
//
// It takes the workers with their free resources, and returns a place for each task. It changes nothing but its arguments. The
// caller starts and stops the runs and keeps their state.
package placer
