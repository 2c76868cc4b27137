// Package asserter counts and logs violations of run-time invariants.
package asserter
