// Package admitter implements admission control of new jobs, based on the load that the leader has published.
package admitter
