// Package differ finds the changes that turn one configuration set into another.
package differ
