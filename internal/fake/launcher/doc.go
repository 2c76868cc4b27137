// Package launcher starts the built programs of a deployment as separate processes, for the demo and the process
// tests. The product itself starts no processes.
package launcher
