// Package cli holds the commands of the chestnutmux binary.
package cli
