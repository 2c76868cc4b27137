// Package demo runs the demo scenario on a deployment whose entry hosts and fakes are separate processes.
package demo
