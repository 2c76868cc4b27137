// Package daemon wires the tasks of an entry host and shuts them down in order.
package daemon
