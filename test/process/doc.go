// Package process tests the built programs as separate processes under failures of hosts, workers, runners, the log
// and the network.
package process
