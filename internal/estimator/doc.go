// Package estimator learns from finished runs how long the tasks of a step run. It has no clock and no network; durations are passed in.
package estimator
