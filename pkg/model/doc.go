// Package model defines the types that are shared by all packages of chestnutmux:
// identifiers, units, configuration objects, jobs, outcomes and errors.
package model
