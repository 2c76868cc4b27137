// Command chestnutmux is the entry host daemon and the command line of operators and callers.
package main
