// Package cli implements the command line of the chestnutmux binary.
package cli
