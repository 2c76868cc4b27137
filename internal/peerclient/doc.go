// Package peerclient connects entry hosts with JSON-RPC 2.0 over TCP, one JSON
// object a line: Server answers the calls of peers, Client calls them.
package peerclient
