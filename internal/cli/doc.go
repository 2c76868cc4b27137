// Package cli implements the command line of the chestnutmux binary. Each command is a type whose fields are its arguments and
// flags, from which kong derives their names.
package cli
