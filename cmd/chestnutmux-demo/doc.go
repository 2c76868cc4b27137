// Command chestnutmux-demo starts a complete deployment on loopback addresses, submits a job and service requests, kills the
// leader while the job is running, and prints the result of each step as a line of JSON.
package main
