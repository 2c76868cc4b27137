// Command capacity measures the control load of entry hosts as real processes against fakes in one process, and its
// benchmarks measure the state per job, record and host; docs/CAPACITY.md names the command behind each figure.
package main
