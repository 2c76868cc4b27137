// Package differ computes the changes between two configurations.
package differ
