// Package relay is a TCP relay between two machines. Tests use it to interrupt and restore the connections between them.
package relay
