// Package launcher runs the built programs of a deployment as separate processes, for the demo and the process tests.
// chestnutmux itself starts no processes.
package launcher
