// Package asserter counts and logs violations of invariants at run time.
package asserter
