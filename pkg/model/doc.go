// Package model holds the types that all parts of chestnutmux share:
// identifiers, units, configuration objects, jobs, outcomes and errors.
package model
