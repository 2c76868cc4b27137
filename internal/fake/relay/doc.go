// Package relay is a TCP relay for the connections between two entry hosts, which tests cut and heal.
package relay
