// Package worker is a fake of a worker. Table is its lease table, a state machine
// without sockets that takes time as an argument; Worker serves a table over HTTP;
// Ledger counts across workers what tests check.
package worker
