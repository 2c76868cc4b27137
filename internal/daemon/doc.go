// Package daemon assembles the components of an entry host, runs them and shuts them down gracefully.
package daemon
