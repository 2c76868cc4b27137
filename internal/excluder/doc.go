// Package excluder keeps a step off the workers on which it has failed.
package excluder
