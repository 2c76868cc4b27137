// Package estimator learns how long jobs of a workspace and class run, since
// declared run times are often far off.
package estimator
