// Package validator checks a complete configuration set and reports all faults
// at once, in a stable order, each with a remedy. The check is part of the fold
// of the config stream: a change to its results needs a new Schema.
package validator
