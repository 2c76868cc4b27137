// Package peerlog lets an entry host follow the log through another host of its group, and reach the log through any other
// entry host while its own connection to the log is down.
//
// The entry hosts of package platform call each other with JSON-RPC 2.0; records travel as attachments of the messages. The
// hosts learn each other's addresses from the log, to which each host appends its own. Package daemon does not use peerlog.
package peerlog
