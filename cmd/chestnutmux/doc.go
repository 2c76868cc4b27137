// Command chestnutmux runs an entry host, and is the command-line client of callers and operators.
package main
