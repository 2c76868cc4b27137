// Package demo runs the scenario of the demo against a deployment of separate processes.
package demo
