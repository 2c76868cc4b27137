// Package peerlog lets an entry host reach the log through another entry host while its own connection to the log is down.
//
// The hosts of a deployment call each other with JSON-RPC 2.0. They find each other through the log, to which each host
// appends its address.
package peerlog
